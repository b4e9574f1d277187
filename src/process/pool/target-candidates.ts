import type {TargetConnectionPool} from '../../connection/gateway/target-connections.js';
import type {SlotRequest} from '../../request/gateway/dispatcher.js';
import type {CanaryRouter} from '../../version/deployment/canary-router.js';
import type {DeploymentState} from '../../version/deployment/deployment-state.js';
import type {RouteTable} from '../../version/deployment/route-table.js';
import {gossipIntervalMs} from '../fleet/gossip-interval.js';
import {sharingHosts} from '../fleet/known-hosts.js';
import type {ZoneTransfers} from '../zones/zone-transfers.js';
import type {BrittleUse} from './brittle-use.js';
import type {PlacementRequest} from './choose-target.js';
import type {PooledTarget} from './pooled-target.js';
import type {SlotShares} from './slot-shares.js';
import type {TargetLimits} from './target-limits.js';
import {chooseByZone, chooseFitting, type ZoneChoice} from './zone-choice.js';
import type {HostDemand} from './weighted-slot-shares.js';

/** Share of a target's connection limit that all hosts together use. */
const connectionShare = 0.85;
/**
 * Gossip interval from which the reports of other hosts arrive too late to choose among all targets, in
 * milliseconds: several requests arrive at a target in this time.
 */
const lateUpdateMs = 300;
/** Number of random targets that are candidates besides those with a local slot, per request. */
const sampledTargets = 8;
/**
 * Cost of a slot that belongs to another host, in milliseconds of estimated time, because that host may
 * send a request there too.
 */
const remotePenaltyMs = 60;

/**
 * Largest share of its slots that may be taken at a target for hosts to use slots of others there, by rank; later ranks
 * have the last value. Beyond it several hosts would use the same slot, and requests would wait at the target, which
 * knows no ranks. The difference keeps room for the most urgent rank.
 */
const borrowedUsage = [0.85, 0.5] as const;
/** Number of slots per host of a service below which most hosts own too few to leave those of others alone. */
const minSlotsPerHost = 2;

/** What decides which targets a request may use. */
export interface CandidateParts {
  readonly state: DeploymentState;
  readonly routes: () => RouteTable | undefined;
  readonly limits: TargetLimits;
  readonly canaryRouter: CanaryRouter;
  /** Whether all hosts that may be running are known; assumed if absent. */
  readonly knowsHosts?: () => boolean;
  /** Whether the deployment state is recent enough to choose targets from it. */
  readonly isViewCurrent: () => boolean;
  /** Names of all hosts that may be running, including this one. */
  readonly hosts: () => readonly string[];
  /** Random number in [0, 1). */
  readonly random: () => number;
  readonly regions: ReadonlyMap<string, string>;
  /**
   * Looks up the slots of a service that the callers of each host ask for. If present, slots belong to hosts in
   * proportion, and those of others are left alone on busy targets while the reports of hosts arrive late.
   */
  readonly demandOf?: (service: string) => HostDemand;
  /** Decides how many requests leave the zone; absent if all zones' targets are one pool. */
  readonly transfers?: ZoneTransfers;
}

/** A target of the pool and its connections. */
export interface PoolMember {
  readonly target: PooledTarget;
  readonly connections: TargetConnectionPool;
}

/** Finds the targets that a request may use. */
export class TargetCandidates {
  /**
   * @param parts - Dependencies.
   * @param shares - This host's shares of the slots.
   * @param brittle - Limits the requests to brittle targets.
   */
  constructor(
    private readonly parts: CandidateParts,
    private readonly shares: SlotShares,
    private readonly brittle: BrittleUse,
  ) {}

  /**
   * Lists the targets with a free slot that a request may use.
   *
   * @param members - Targets of the request's service.
   * @param request - Request to place.
   * @param trial - Whether targets of a canary are listed instead of the others.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  *usable(
    members: readonly PoolMember[],
    request: SlotRequest,
    trial: boolean,
    nowMs: number,
  ): Generator<PooledTarget> {
    const {routes, hosts, limits} = this.parts;
    if (!this.parts.isViewCurrent()) return;
    const config = routes()?.service(request.service);
    const count = sharingHosts(hosts().length, this.sharingHosts !== undefined);
    const sharing = this.sharingHosts;
    const limit = config?.maxConnections
      ? Math.max(
          1,
          Math.floor((config.maxConnections * connectionShare) / count),
        )
      : Infinity;
    const usage = this.maxBorrowedUsage(members, request.rank);
    for (const {target, connections} of this.sample(members)) {
      if (!this.isEligible(target, request, trial, nowMs)) continue;
      if (!this.hasRoom(target, usage, nowMs)) continue;
      if (!this.brittle.admits(target, nowMs)) continue;
      if (connections.idleSize === 0 && connections.size >= limit) continue;
      const coldPerSecond = this.coldPerSecond(target, nowMs);
      if (!limits.admits(target, coldPerSecond, sharing, nowMs)) continue;
      yield target;
    }
  }

  /**
   * Lists the targets that a request may use once they have a free slot.
   *
   * @param members - Targets of the request's service.
   * @param request - Request to place.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  *eligible(
    members: readonly PoolMember[],
    request: SlotRequest,
    nowMs: number,
  ): Generator<PooledTarget> {
    for (const {target} of members) {
      if (this.isEligible(target, request, false, nowMs)) yield target;
    }
  }

  /**
   * Chooses a target with a free slot for a request.
   *
   * @param members - Targets of the request's service.
   * @param request - Request to place.
   * @param demand - Its properties for the choice.
   * @param fits - Checks that a target suits the request.
   */
  choose(
    members: readonly PoolMember[],
    request: SlotRequest,
    demand: PlacementRequest,
    fits: (target: PooledTarget) => boolean,
  ): ZoneChoice {
    const {nowMs} = demand;
    const {transfers} = this.parts;
    const free = this.usable(members, request, false, nowMs);
    if (!transfers) return chooseFitting(free, demand, fits);
    return chooseByZone(transfers, {
      ...{request, demand, free, fits},
      eligible: () => this.eligible(members, request, nowMs),
      inService: () => this.inService(members, nowMs),
    });
  }

  /**
   * Lists the targets that take requests at all, whatever the request.
   *
   * @param members - Targets of a service.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  *inService(
    members: readonly PoolMember[],
    nowMs: number,
  ): Generator<PooledTarget> {
    for (const {target} of members) {
      const {entry, suspendedUntilMs} = target;
      if (entry.draining || !target.accepts(nowMs)) continue;
      if (this.parts.state.evacuatedZones.has(entry.zone)) continue;
      if (suspendedUntilMs > nowMs) continue;
      if (this.coldPerSecond(target, nowMs) === 0) yield target;
    }
  }

  /** Checks everything but free slots, connections and the rate of a cold target. */
  private isEligible(
    target: PooledTarget,
    {exclude, regions, service}: SlotRequest,
    trial: boolean,
    nowMs: number,
  ): boolean {
    const {state, canaryRouter} = this.parts;
    const {entry, suspendedUntilMs} = target;
    if (entry.draining || !target.accepts(nowMs)) return false;
    if (state.evacuatedZones.has(entry.zone)) return false;
    if (exclude.has(entry.id) || suspendedUntilMs > nowMs) return false;
    if (!canaryRouter.allows(service, entry.version, trial)) return false;
    const region = this.parts.regions.get(entry.zone) ?? '';
    return regions.length === 0 || regions.includes(region);
  }

  /**
   * Computes the cost of using a target whose free slots belong to other hosts.
   *
   * @param target - Target to use.
   * @returns Estimated time in milliseconds; 0 while gossip is timely.
   */
  remoteSlotMs(target: PooledTarget): number {
    return this.updatesAreLate && !this.hasLocalSlot(target)
      ? remotePenaltyMs
      : 0;
  }

  /**
   * Counts a request to a target against the rates that bind it.
   *
   * @param target - Target that {@link usable} listed.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  take(target: PooledTarget, nowMs: number): void {
    this.parts.limits.take(target, this.coldPerSecond(target, nowMs));
  }

  /**
   * Checks whether the rates that bind a target now allow a request that has a slot to be sent, and counts it if so. It may
   * have got the slot before they applied.
   *
   * @param target - Target whose slot was taken.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  takeSend(target: PooledTarget, nowMs: number): boolean {
    const coldPerSecond = this.coldPerSecond(target, nowMs);
    const {limits} = this.parts;
    return limits.takeSend(target, coldPerSecond, this.sharingHosts, nowMs);
  }

  /** Names of the hosts among which rates are divided; `undefined` if they are not known yet. */
  private get sharingHosts(): readonly string[] | undefined {
    const {hosts, knowsHosts} = this.parts;
    return knowsHosts?.() === false ? undefined : hosts();
  }

  /** Share of the slots up to which slots of other hosts are used at the targets of a service. */
  private maxBorrowedUsage(
    members: readonly PoolMember[],
    rank: number,
  ): number {
    const {demandOf, hosts} = this.parts;
    if (!demandOf || !this.updatesAreLate) return 1;
    let slots = 0;
    for (const {target} of members) slots += target.slots;
    if (slots < hosts().length * minSlotsPerHost) return 1;
    return borrowedUsage[Math.min(Math.max(0, Math.floor(rank)), 1)];
  }

  /** Whether a target has a free slot that this host may use. */
  private hasRoom(
    target: PooledTarget,
    borrowed: number,
    nowMs: number,
  ): boolean {
    const usage = this.hasLocalSlot(target) ? 1 : borrowed;
    return target.loadAt(nowMs) < target.slots * usage;
  }

  /** Maximum rate of all hosts together to a target that is cold, per second; 0 if it is not cold or has no limit. */
  private coldPerSecond(target: PooledTarget, nowMs: number): number {
    if (target.coldUntilMs <= nowMs) return 0;
    const {service} = target.entry;
    return this.parts.routes()?.service(service)?.coldPerSecond ?? 0;
  }

  /**
   * Lists the targets to consider for one request: all of them while gossip is timely, or else those with
   * a local slot and a random sample of the others.
   */
  private *sample(members: readonly PoolMember[]): Generator<PoolMember> {
    const {random, transfers} = this.parts;
    if (!this.updatesAreLate) {
      yield* members;
      return;
    }
    for (const member of members) {
      if (this.hasLocalSlot(member.target)) yield member;
    }
    // Most requests stay in their zone, so as many targets are drawn there.
    const home = transfers
      ? members.filter(({target}) => target.entry.zone === transfers.zone)
      : [];
    for (const drawn of [home, members]) {
      for (let i = 0; i < sampledTargets && drawn.length > 0; i++) {
        const member = drawn[Math.floor(random() * drawn.length)];
        if (!this.hasLocalSlot(member.target)) yield member;
      }
    }
  }

  /** Whether the reports of other hosts arrive too late to choose among all targets. */
  private get updatesAreLate(): boolean {
    return gossipIntervalMs(this.parts.hosts().length - 1) >= lateUpdateMs;
  }

  /** Whether this host's share of a target's slots has room for one more request. */
  private hasLocalSlot(target: PooledTarget): boolean {
    const {id, service, zone} = target.entry;
    const share = this.shares.of(id, target.slots, service, zone);
    return this.brittle.hasShare(target) ?? share > target.localRequests;
  }
}
