import type {SimNetwork} from './sim-network.js';

/** Tells since when each zone has had a path to the log, directly or by way of other zones. */
export class Connectivity {
  private readonly sinceMs = new Map<string, number>();

  constructor(
    private readonly network: SimNetwork,
    private readonly logDown: (zone: string) => boolean,
  ) {}

  /** Takes in the present state of the network. */
  observe(nowMs: number, zones: readonly string[]): void {
    const reached = new Set(zones.filter(zone => !this.logDown(zone)));
    // Adding to a set during its iteration visits the added members too.
    for (const zone of reached) {
      for (const other of zones) {
        if (!this.network.isZoneCut(zone, other)) reached.add(other);
      }
    }
    for (const zone of zones) {
      if (!reached.has(zone)) this.sinceMs.delete(zone);
      else if (!this.sinceMs.has(zone)) this.sinceMs.set(zone, nowMs);
    }
  }

  /** Whether a zone has had a path since a time. */
  since(zone: string, atMs: number): boolean {
    return (this.sinceMs.get(zone) ?? Infinity) <= atMs;
  }
}
