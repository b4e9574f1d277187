import {hash32} from '../fleet/rendezvous.js';
import {SlotShares} from './slot-shares.js';

/** Slots of a service that the callers of each host ask for, by name of the host. */
export type HostDemand = ReadonlyMap<string, number>;

/** What the shares depend on if most requests stay in their zone. */
export interface ShareZones {
  /** Zone of this host. */
  readonly zone: string;
  /** Looks up the zone of another host; `undefined` if it is not known. */
  zoneOf(host: string): string | undefined;
  /** Computes the share of the requests of a service that leave one zone for another one. */
  flow(service: string, from: string, to: string): number;
}

/** Share of the mean demand that counts for a host with less, so that a new caller finds a slot there. */
const minDemandShare = 0.25;
/**
 * Steps of the demand, as a factor. Hosts know the demand of others at different times; with steps they agree on most
 * slots all the same.
 */
const demandStep = 1.25;
/** Time for which shares are kept, in milliseconds. */
const keepMs = 500;

interface ServiceWeights {
  readonly hosts: readonly {readonly hash: number; readonly weight: number}[];
  readonly atMs: number;
}

/**
 * Assigns the slots of targets to hosts in proportion to the demand of their callers, which reach hosts unevenly. Each
 * slot belongs to the host that wins it by weighted rendezvous hashing, so a change of one host's demand moves only
 * slots from or to that host.
 */
export class WeightedSlotShares extends SlotShares {
  private names: readonly string[] = [];
  private readonly weights = new Map<string, ServiceWeights>();
  private readonly cached = new Map<string, {count: number; atMs: number}>();

  /**
   * @param host - Name of this host, whose slots are counted.
   * @param now - Returns the time on the process's clock, in milliseconds.
   * @param demandOf - Looks up the demand of all hosts for a service.
   * @param zones - Zones of the hosts; absent if requests use the targets of all zones alike.
   */
  constructor(
    host: string,
    private readonly now: () => number,
    private readonly demandOf: (service: string) => HostDemand,
    private readonly zones?: ShareZones,
  ) {
    super(host);
  }

  override setHosts(hosts: readonly string[]): void {
    super.setHosts(hosts);
    if (
      hosts.length === this.names.length &&
      hosts.every((name, i) => name === this.names[i])
    ) {
      return;
    }
    this.names = [...hosts];
    this.weights.clear();
    this.cached.clear();
  }

  override of(
    target: string,
    slots: number,
    service = '',
    zone?: string,
  ): number {
    const nowMs = this.now();
    const {hosts, atMs} = this.weightsOf(service, zone, nowMs);
    const known = this.cached.get(target);
    if (known?.atMs === atMs) return known.count;
    const own = hash32(this.host);
    const targetHash = hash32(target);
    let count = 0;
    for (let slot = 0; slot < slots; slot++) {
      if (winner(hosts, mix(targetHash + slot)) === own) count++;
    }
    this.cached.set(target, {count, atMs});
    return count;
  }

  override forget(target: string): void {
    super.forget(target);
    this.cached.delete(target);
  }

  private weightsOf(
    service: string,
    zone: string | undefined,
    nowMs: number,
  ): ServiceWeights {
    const key = this.zones && zone ? `${service} ${zone}` : service;
    const known = this.weights.get(key);
    if (known && nowMs - known.atMs < keepMs) return known;
    const demand = this.demandOf(service);
    const names = this.names.length > 0 ? this.names : [this.host];
    let total = 0;
    for (const name of names) total += demand.get(name) ?? 0;
    const least = (total / names.length) * minDemandShare;
    const used = this.usageOf(names, service, zone);
    const hosts = names.flatMap(name => {
      const share = used(name);
      const slots = Math.max(demand.get(name) ?? 0, least);
      // Without any demand, hosts whose requests stay have the same weight.
      const weight = toStep(total > 0 ? slots * share : 0);
      const isShared = share > 0 && (total > 0 || share === 1);
      return isShared ? [{hash: hash32(name), weight}] : [];
    });
    const weights = {hosts, atMs: nowMs};
    this.weights.set(key, weights);
    return weights;
  }

  /** Finds which share of the requests of each host uses the targets of a zone. */
  private usageOf(
    names: readonly string[],
    service: string,
    zone: string | undefined,
  ): (name: string) => number {
    const {zones} = this;
    if (!zones || zone === undefined) return () => 1;
    const placeOf = (name: string) =>
      name === this.host ? zones.zone : zones.zoneOf(name);
    // The targets of a zone without a host belong to all.
    if (!names.some(name => placeOf(name) === zone)) return () => 1;
    return name => {
      const place = placeOf(name);
      if (place === zone) return 1;
      return place === undefined ? 0 : zones.flow(service, place, zone);
    };
  }
}

/** Rounds a demand to a step; hosts without any demand have the same weight. */
function toStep(demand: number): number {
  if (demand <= 0) return 1;
  const step = Math.round(Math.log(demand) / Math.log(demandStep));
  return demandStep ** step;
}

/** Finds the hash of the host with the least score; scores are exponentially distributed with the weight as rate. */
function winner(hosts: ServiceWeights['hosts'], slotHash: number): number {
  let best = 0;
  let bestScore = Infinity;
  for (const {hash, weight} of hosts) {
    const uniform = (mix(hash ^ slotHash) + 0.5) / 2 ** 32;
    const score = -Math.log(uniform) / weight;
    if (score < bestScore) {
      bestScore = score;
      best = hash;
    }
  }
  return best;
}

/** Mixes the bits of a 32-bit integer. */
function mix(value: number): number {
  let hash = Math.imul(value ^ (value >>> 16), 0x7feb352d);
  hash = Math.imul(hash ^ (hash >>> 15), 0x846ca68b);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** What the shares of a host depend on. */
export interface SlotSharesParts {
  readonly clock: {nowMs(): number};
  readonly host: string;
  /** Looks up the demand of all hosts for a service; slots are divided evenly if it is absent. */
  readonly demandOf?: (service: string) => HostDemand;
  /** Zones of the hosts; absent if requests use the targets of all zones alike. */
  readonly transfers?: ShareZones;
}

/**
 * Creates the shares of a host.
 *
 * @param parts - What they depend on.
 */
export function createSlotShares(parts: SlotSharesParts): SlotShares {
  const {clock, demandOf, host, transfers} = parts;
  if (!demandOf && !transfers) return new SlotShares(host);
  const even: HostDemand = new Map();
  return new WeightedSlotShares(
    host,
    () => clock.nowMs(),
    demandOf ?? (() => even),
    transfers,
  );
}
