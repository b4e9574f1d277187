/** Age from which counts of a peer are ignored, in milliseconds: it is dead or unreachable. */
const staleMs = 10_000;

/** Requests in flight by version key, as hosts exchange them. */
export type InFlightCounts = readonly (readonly [string, number])[];

/**
 * Formats the key of a version.
 *
 * @param service - Name of the service.
 * @param version - Version of the service.
 * @returns Key in {@link InFlightCounts}.
 */
export function versionKey(service: string, version: string): string {
  return `${service}/${version}`;
}

/** Requests in flight by version, at this host and at its peers. */
export class InFlightTable {
  private readonly local = new Map<string, number>();
  private readonly peers = new Map<
    string,
    {counts: ReadonlyMap<string, number>; atMs: number}
  >();

  /**
   * Counts started and ended requests of this host.
   *
   * @param key - Key of the version.
   * @param change - Requests that started, negative if they ended.
   */
  add(key: string, change: number): void {
    const count = (this.local.get(key) ?? 0) + change;
    if (count > 0) this.local.set(key, count);
    else this.local.delete(key);
  }

  /**
   * Lists the counts of this host.
   *
   * @param services - Services to include.
   */
  list(services: ReadonlySet<string>): InFlightCounts {
    return [...this.local].filter(([key]) =>
      services.has(key.slice(0, key.indexOf('/'))),
    );
  }

  /**
   * Replaces the counts of a peer.
   *
   * @param origin - Name and incarnation of the peer.
   * @param counts - All counts of the peer; versions that are absent have none.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  merge(origin: string, counts: InFlightCounts, nowMs: number): void {
    this.peers.set(origin, {counts: new Map(counts), atMs: nowMs});
    for (const [peer, {atMs}] of this.peers) {
      if (nowMs - atMs > staleMs) this.peers.delete(peer);
    }
  }

  /**
   * Sums the requests in flight over this host and all peers with recent counts.
   *
   * @param key - Key of the version.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  sum(key: string, nowMs: number): number {
    let sum = this.local.get(key) ?? 0;
    for (const {counts, atMs} of this.peers.values()) {
      if (nowMs - atMs <= staleMs) sum += counts.get(key) ?? 0;
    }
    return sum;
  }
}
