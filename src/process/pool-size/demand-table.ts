import type {Demand} from './demand-meter.js';

/** Time for which the demand that a host reported counts, in milliseconds. Callers of a host that ended go to others by then. */
const reportValidMs = 3000;

/** Demand of all hosts, and how many of them it covers. */
export interface TotalDemand extends Demand {
  /** Share of the hosts that may be running whose demand is known. */
  readonly share: number;
}

interface HostDemand {
  readonly atMs: number;
  readonly demands: ReadonlyMap<string, Demand>;
}

/** What other hosts reported of the demand that reaches them. */
export class DemandTable {
  private readonly hosts = new Map<string, HostDemand>();

  /**
   * Replaces the report of a host.
   *
   * @param host - Name of the host.
   * @param demands - Demand by service.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  record(
    host: string,
    demands: ReadonlyMap<string, Demand>,
    nowMs: number,
  ): void {
    this.hosts.set(host, {atMs: nowMs, demands});
  }

  /**
   * Sums up the demand for a service.
   *
   * @param service - Name of the service.
   * @param local - Demand that reaches this host.
   * @param hosts - Names of the other hosts that may be running.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  total(
    service: string,
    local: Demand,
    hosts: readonly string[],
    nowMs: number,
  ): TotalDemand {
    let {offeredSlots, refusedPerSecond, waitingMs} = local;
    for (const [host, {atMs, demands}] of this.hosts) {
      if (atMs < nowMs - reportValidMs) {
        this.hosts.delete(host);
        continue;
      }
      const demand = demands.get(service);
      offeredSlots += demand?.offeredSlots ?? 0;
      refusedPerSecond += demand?.refusedPerSecond ?? 0;
      waitingMs += demand?.waitingMs ?? 0;
    }
    const reporting = hosts.filter(host => this.hosts.has(host)).length;
    const share = (reporting + 1) / (hosts.length + 1);
    return {offeredSlots, refusedPerSecond, waitingMs, share};
  }
}
