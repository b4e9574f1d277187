/** A request that waits for a slot. */
export interface Waiting {
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Slot time that it will probably take, in milliseconds. */
  readonly costMs: number;
  /** Time at which its objective can no longer be met, on the process's clock. */
  readonly dueAtMs: number;
}

/** Share of the slot time of each rank while all ranks wait; ranks beyond the last have its share. */
const weights = [8, 3, 1.5] as const;

interface RankLine<T> {
  readonly waiting: T[];
  /** Slot time given to the rank, divided by its weight. */
  virtualMs: number;
}

/**
 * Orders requests that wait for slots of one service. Ranks share the slot time by weight, so that
 * an urgent rank goes first while it asks for less than its share and no rank starves. Within a rank
 * requests that can meet their objective go before those that are late, in order of arrival.
 */
export class RankQueue<T extends Waiting> {
  private readonly lines = new Map<number, RankLine<T>>();
  private count = 0;

  /** Number of requests that wait. */
  get size(): number {
    return this.count;
  }

  /** All requests that wait, in no particular order. */
  *[Symbol.iterator](): Generator<T> {
    for (const {waiting} of this.lines.values()) yield* waiting;
  }

  /**
   * Adds a request.
   *
   * @param request - Request that waits.
   */
  push(request: T): void {
    const {rank} = request;
    let line = this.lines.get(rank);
    if (!line) {
      line = {waiting: [], virtualMs: 0};
      this.lines.set(rank, line);
    }
    if (line.waiting.length === 0) {
      // A rank that was idle does not save up slot time.
      line.virtualMs = Math.max(line.virtualMs, this.leastVirtualMs());
    }
    line.waiting.push(request);
    this.count++;
  }

  /**
   * Lists the requests that are next of each rank, the one to be served first in front.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  heads(nowMs: number): T[] {
    const heads: {request: T; late: boolean; virtualMs: number}[] = [];
    for (const {waiting, virtualMs} of this.lines.values()) {
      if (waiting.length === 0) continue;
      const inTime = waiting.find(({dueAtMs}) => dueAtMs > nowMs);
      const request = inTime ?? waiting[0];
      heads.push({request, late: inTime === undefined, virtualMs});
    }
    heads.sort(
      (a, b) =>
        Number(a.late) - Number(b.late) ||
        a.virtualMs - b.virtualMs ||
        a.request.rank - b.request.rank,
    );
    return heads.map(({request}) => request);
  }

  /**
   * Removes a request.
   *
   * @param request - Request to remove.
   * @param served - Whether it was given a slot.
   * @returns Whether it was waiting.
   */
  remove(request: T, served: boolean): boolean {
    const line = this.lines.get(request.rank);
    const index = line?.waiting.indexOf(request) ?? -1;
    if (!line || index < 0) return false;
    line.waiting.splice(index, 1);
    this.count--;
    if (served) line.virtualMs += request.costMs / weightOf(request.rank);
    return true;
  }

  private leastVirtualMs(): number {
    let least = Infinity;
    for (const {waiting, virtualMs} of this.lines.values()) {
      if (waiting.length > 0) least = Math.min(least, virtualMs);
    }
    return least === Infinity ? 0 : least;
  }
}

function weightOf(rank: number): number {
  return weights[Math.min(Math.max(0, Math.floor(rank)), weights.length - 1)];
}
