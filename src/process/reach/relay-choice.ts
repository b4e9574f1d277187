import {gossipIntervalMs} from '../fleet/gossip-interval.js';
import type {Peer, PeerTable} from '../fleet/peer-table.js';
import type {ReachReports} from './reach-reports.js';
import type {ReachTable} from './reach-table.js';
import {
  RelayHosts,
  type RelayDemand,
  type RelayHost,
  type RelayOutcome,
} from './relay-hosts.js';
import {RelayLoad} from './relay-load.js';

/**
 * Maximum number of open relayed requests of this host at another one. A host that is heard again after a time, or the
 * only one left, would otherwise get all of them, in addition to those of its own callers.
 */
export const maxOpenPerHost = 32;
/** Time since a host reached a service within which it is used, in milliseconds, and in intervals between messages. */
const freshMs = 3000;
const freshIntervals = 3;
/** Minimum number of hosts of the own zone for which the others are left alone. */
const minZoneHosts = 2;

/** Dependencies of a {@link RelayChoice}. */
export interface RelayChoiceParts {
  readonly table: ReachTable;
  readonly reports: ReachReports;
  readonly peers: PeerTable;
  /** Availability zone of this host. */
  readonly zone: string;
  /** Region of each availability zone. */
  readonly regions: ReadonlyMap<string, string>;
  /** Version of the configuration in force; 0 if none is known. */
  readonly configuration: () => number;
  /** Random number in [0, 1). */
  readonly random: () => number;
  /** TCP port for relayed requests, the same on all hosts; absent if none are relayed. */
  readonly relayPort?: number;
}

/** Chooses among the hosts that report that they reach the targets of a service. */
export class RelayChoice extends RelayHosts {
  private readonly load = new RelayLoad();

  /** @param parts - Dependencies. */
  constructor(private readonly parts: RelayChoiceParts) {
    super();
  }

  override choose(demand: RelayDemand, nowMs: number): RelayHost | undefined {
    const {relayPort, table} = this.parts;
    const reach = table.all.get(demand.service);
    if (!reach?.cut || relayPort === undefined) return undefined;
    const peer = this.best(demand, reach.cut.sinceMs, nowMs);
    if (!peer) return undefined;
    // A request that another host failed or refused has had its share of trials.
    const mayBeTrial = demand.exclude.size === 0 && !demand.isWaiting;
    if (mayBeTrial && reach.takeTrial(nowMs, demand.isRepeatable)) {
      return undefined;
    }
    this.load.begun(peer.host);
    return {host: peer.host, address: `${peer.ip}:${relayPort}`};
  }

  override ended(host: string, outcome: RelayOutcome, nowMs: number): void {
    this.load.ended(host, outcome, nowMs);
  }

  private best(
    demand: RelayDemand,
    cutSinceMs: number,
    nowMs: number,
  ): Peer | undefined {
    const {load} = this;
    const {configuration, peers, random} = this.parts;
    const heard = peers.heard(nowMs);
    const intervalMs = gossipIntervalMs(peers.all.length);
    const maxAgeMs = Math.max(freshMs, intervalMs * freshIntervals);
    const sinceMs = Math.max(cutSinceMs, nowMs - maxAgeMs);
    const able = heard.filter(
      peer =>
        this.reaches(peer, demand, sinceMs) &&
        !load.isAvoided(peer.host, nowMs) &&
        load.open(peer.host) < maxOpenPerHost,
    );
    // A host with a newer configuration refuses requests until this one has it as well.
    const same = able.filter(
      ({message}) => message?.feedUpdate.configuration === configuration(),
    );
    const usable = same.length > 0 ? same : able;
    const willing = usable.filter(({host}) => !load.hasRefused(host, nowMs));
    const ready = willing.length > 0 ? willing : usable;
    const near = this.inZone(ready, heard, demand.service);
    const [first, second] = [near, near].map(
      list => list[Math.floor(random() * list.length)] as Peer | undefined,
    );
    if (!first || !second) return first;
    return this.loadOf(second) < this.loadOf(first) ? second : first;
  }

  private reaches(
    {host, message, zone}: Peer,
    {exclude, regions: allowed, service}: RelayDemand,
    sinceMs: number,
  ): boolean {
    const {configuration, regions, reports, zone: ownZone} = this.parts;
    if (!message || message.leaving || exclude.has(host)) return false;
    if (message.feedUpdate.configuration < configuration()) return false;
    const region = regions.get(zone);
    // A caller of another region may be here because its own hosts fail, so this region has no right to the body either.
    const isInRegion =
      allowed.length === 0
        ? region === regions.get(ownZone)
        : region !== undefined && allowed.includes(region);
    return isInRegion && reports.reachedAtMs(host, service) > sinceMs;
  }

  /**
   * Keeps the hosts of the own zone if each of them has to help at most one host there, or else all.
   */
  private inZone(
    ready: readonly Peer[],
    heard: readonly Peer[],
    service: string,
  ): readonly Peer[] {
    const {reports, zone} = this.parts;
    const near = ready.filter(peer => peer.zone === zone);
    const lost = heard.filter(
      peer => peer.zone === zone && reports.isCutOff(peer.host, service),
    );
    const needed = Math.max(minZoneHosts, lost.length + 1);
    return near.length >= needed ? near : ready;
  }

  /** Open requests of a host as it reports them, and those that this host has sent there. */
  private loadOf({host, message}: Peer): number {
    const reports = Object.values(message?.targetReports ?? {});
    const reported = reports.reduce((sum, {load}) => sum + load, 0);
    return reported + this.load.open(host);
  }
}
