/** Number of ranks that are told apart; less urgent ones count with the last. */
export const countedRanks = 3;
/** Time constant of the load that callers ask for, in milliseconds; several intervals between messages. */
const offeredDecayMs = 1500;
/** Weight of a new sample in the mean slot time of a rank. */
const meanWeight = 0.05;
/** Age from which the report of a host that is not heard any more is dropped, in milliseconds. */
const maxReportAgeMs = 3000;
/** Maximum number of refused callers that are expected back; bounds the memory of a host. */
const maxExpected = 2000;

/** Load of a service at one host, or at all. Lists are by rank, the most urgent first. */
export interface ServiceLoad {
  /** Slot time asked per time; the number of slots that it takes to serve all. */
  readonly offeredSlots: readonly number[];
  /** Slot time of waiting requests that can meet their objective, in milliseconds. */
  readonly waitingMs: readonly number[];
  /** Slot time of refused requests that are expected back, in milliseconds. */
  readonly returningMs: number;
}

/** A request as far as the load depends on it. */
export interface LoadRequest {
  readonly service: string;
  /** Rank of the route; 0 is the most urgent. */
  readonly rank: number;
  /** Expected time for which it occupies a slot, in milliseconds. */
  readonly costMs: number;
  /** Time on the process's clock from which its objective can no longer be met, in milliseconds. */
  readonly dueAtMs: number;
}

interface OwnLoad {
  /** Slot time asked for, decayed, by rank. */
  readonly offeredMs: number[];
  offeredAtMs: number;
  /** Mean slot time of a request by rank, of those that asked for a slot, in milliseconds. */
  readonly means: Map<number, number>;
  expected: {readonly atMs: number; readonly costMs: number}[];
}

/** Index of a rank in the lists of a {@link ServiceLoad}. */
export function rankIndex(rank: number): number {
  return Math.min(countedRanks - 1, Math.max(0, Math.floor(rank)));
}

/** What callers ask of each service, at this host and over all hosts. */
export class FleetLoad {
  private readonly own = new Map<string, OwnLoad>();
  private readonly reports = new Map<
    string,
    {readonly atMs: number; readonly loads: ReadonlyMap<string, ServiceLoad>}
  >();

  /** @param waiting - Lists the waiting requests of this host. */
  constructor(private readonly waiting: () => Iterable<LoadRequest>) {}

  /**
   * Counts a request that asks for a slot of this host.
   *
   * @param request - Request.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  requested({service, rank, costMs}: LoadRequest, nowMs: number): void {
    const own = this.ownOf(service, nowMs);
    const index = rankIndex(rank);
    own.offeredMs[index] += costMs;
    const mean = own.means.get(index) ?? costMs;
    own.means.set(index, mean + meanWeight * (costMs - mean));
  }

  /**
   * Notes that a refused caller is expected back.
   *
   * @param service - Name of the service.
   * @param costMs - Expected time for which its request occupies a slot, in milliseconds.
   * @param atMs - Time on the process's clock at which it comes back, in milliseconds.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  refused(service: string, costMs: number, atMs: number, nowMs: number): void {
    const own = this.ownOf(service, nowMs);
    if (own.expected.length < maxExpected) own.expected.push({atMs, costMs});
  }

  /**
   * Replaces what another host reported.
   *
   * @param host - Name of the host.
   * @param loads - Its load by service.
   * @param atMs - Time on the process's clock at which it was composed, in milliseconds.
   */
  apply(
    host: string,
    loads: ReadonlyMap<string, ServiceLoad>,
    atMs: number,
  ): void {
    if (loads.size > 0) this.reports.set(host, {atMs, loads});
    else this.reports.delete(host);
  }

  /**
   * Lists the load of this host by service.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  ownAt(nowMs: number): ReadonlyMap<string, ServiceLoad> {
    const waitingMs = new Map<string, number[]>();
    for (const {service, rank, costMs, dueAtMs} of this.waiting()) {
      if (dueAtMs <= nowMs) continue;
      const byRank = waitingMs.get(service) ?? zeros();
      byRank[rankIndex(rank)] += costMs;
      waitingMs.set(service, byRank);
    }
    const loads = new Map<string, ServiceLoad>();
    for (const service of this.own.keys()) {
      const {expected, offeredMs} = this.ownOf(service, nowMs);
      loads.set(service, {
        offeredSlots: offeredMs.map(ms => ms / offeredDecayMs),
        waitingMs: waitingMs.get(service) ?? zeros(),
        returningMs: expected.reduce((sum, {costMs}) => sum + costMs, 0),
      });
    }
    return loads;
  }

  /**
   * Sums up the load of a service over all hosts that are heard.
   *
   * @param service - Name of the service.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  sumAt(service: string, nowMs: number): ServiceLoad {
    const offeredSlots = zeros();
    const waitingMs = zeros();
    let returningMs = 0;
    const add = (load: ServiceLoad | undefined) => {
      if (!load) return;
      for (let i = 0; i < countedRanks; i++) {
        offeredSlots[i] += load.offeredSlots[i];
        waitingMs[i] += load.waitingMs[i];
      }
      returningMs += load.returningMs;
    };
    add(this.ownAt(nowMs).get(service));
    for (const [host, {atMs, loads}] of this.reports) {
      if (nowMs - atMs > maxReportAgeMs) this.reports.delete(host);
      else add(loads.get(service));
    }
    return {offeredSlots, waitingMs, returningMs};
  }

  /**
   * Computes which part of what all callers ask of a service this host is asked. Hosts that are not heard count as those
   * that are.
   *
   * @param service - Name of the service.
   * @param hosts - Number of hosts, including this one.
   * @param nowMs - Time on the process's clock, in milliseconds.
   * @returns Number from 0 to 1.
   */
  ownPart(service: string, hosts: number, nowMs: number): number {
    const all = sumOf(this.sumAt(service, nowMs).offeredSlots);
    const own = sumOf(this.ownAt(nowMs).get(service)?.offeredSlots ?? []);
    const known = Math.min(1, (this.heard + 1) / Math.max(1, hosts));
    return all > 0 ? (own / all) * known : known;
  }

  /**
   * Lists the slots that the callers of each host ask for, by name of the host.
   *
   * @param service - Name of the service.
   * @param host - Name of this host.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  offeredByHost(
    service: string,
    host: string,
    nowMs: number,
  ): ReadonlyMap<string, number> {
    const offered = new Map<string, number>();
    const add = (name: string, load: ServiceLoad | undefined) => {
      if (load) offered.set(name, sumOf(load.offeredSlots));
    };
    for (const [name, {loads}] of this.reports) add(name, loads.get(service));
    add(host, this.ownAt(nowMs).get(service));
    return offered;
  }

  /**
   * Lists the mean slot time of requests of a service by rank, in milliseconds.
   *
   * @param service - Name of the service.
   */
  meansOf(service: string): ReadonlyMap<number, number> {
    return this.own.get(service)?.means ?? new Map<number, number>();
  }

  /** Number of other hosts whose load is known. */
  get heard(): number {
    return this.reports.size;
  }

  private ownOf(service: string, nowMs: number): OwnLoad {
    let own = this.own.get(service);
    if (!own) {
      own = {
        offeredMs: zeros(),
        offeredAtMs: nowMs,
        means: new Map(),
        expected: [],
      };
      this.own.set(service, own);
    }
    const decay = Math.exp((own.offeredAtMs - nowMs) / offeredDecayMs);
    own.offeredAtMs = nowMs;
    for (let i = 0; i < countedRanks; i++) own.offeredMs[i] *= decay;
    if (own.expected.some(({atMs}) => atMs <= nowMs)) {
      own.expected = own.expected.filter(({atMs}) => atMs > nowMs);
    }
    return own;
  }
}

function zeros(): number[] {
  return Array.from({length: countedRanks}, () => 0);
}

function sumOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}
