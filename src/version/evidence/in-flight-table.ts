/** Counts of a peer older than this are not used, in milliseconds; it is dead or cut off. */
const staleMs = 10_000;

/** Requests in flight by version, as a list that hosts exchange. */
export type InFlightCounts = readonly (readonly [string, number])[];

/**
 * Formats the key of a version.
 *
 * @param service - Service.
 * @param version - Version.
 * @returns Key in {@link InFlightCounts}.
 */
export function versionKey(service: string, version: string): string {
  return `${service}/${version}`;
}

/** Requests in flight by version, at this host and at its peers. */
export class InFlightTable {
  private readonly own = new Map<string, number>();
  private readonly peers = new Map<
    string,
    {counts: ReadonlyMap<string, number>; atMs: number}
  >();

  /**
   * Counts at this host.
   *
   * @param key - Key of the version.
   * @param change - Requests that started, negative if they ended.
   */
  add(key: string, change: number): void {
    const count = (this.own.get(key) ?? 0) + change;
    if (count > 0) this.own.set(key, count);
    else this.own.delete(key);
  }

  /**
   * Lists the counts of this host.
   *
   * @param services - Services wanted.
   */
  list(services: ReadonlySet<string>): InFlightCounts {
    return [...this.own].filter(([key]) =>
      services.has(key.slice(0, key.indexOf('/'))),
    );
  }

  /**
   * Replaces the counts of a peer.
   *
   * @param origin - Peer.
   * @param counts - All its counts.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  merge(origin: string, counts: InFlightCounts, nowMs: number): void {
    this.peers.set(origin, {counts: new Map(counts), atMs: nowMs});
    for (const [peer, {atMs}] of this.peers) {
      if (nowMs - atMs > staleMs) this.peers.delete(peer);
    }
  }

  /**
   * Sums the requests in flight over all hosts that were heard lately.
   *
   * @param key - Key of the version.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  sum(key: string, nowMs: number): number {
    let sum = this.own.get(key) ?? 0;
    for (const {counts, atMs} of this.peers.values()) {
      if (nowMs - atMs <= staleMs) sum += counts.get(key) ?? 0;
    }
    return sum;
  }
}
