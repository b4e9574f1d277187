/** A request that waits for a slot. */
export interface QueueItem {
  /** Rank of the route; 0 is the most urgent. */
  readonly rank: number;
  /** Rank of the organisation; 0 is the most urgent. */
  readonly organisationRank: number;
  /** Slot time that it will probably take, in milliseconds. */
  readonly costMs: number;
  /** Time at which its objective can no longer be met, on the process's clock. */
  readonly dueAtMs: number;
}

/** Worth of a request of each rank; ranks beyond the last have its worth. */
const rankValues = [8, 3, 1.5] as const;
/** Factor by which a request is worth less for each rank of its organisation. */
const organisationRankFactor = 0.7;
/** Part of the slot time given to others that a waiting rank gets before them. */
const guaranteedShare = 0.12;

interface RankLine<T> {
  readonly waiting: T[];
  /** Slot time that the rank may take before others, in milliseconds. */
  creditMs: number;
}

/**
 * Orders requests that wait for slots of one service. Those with the greatest worth for their slot
 * time go first, which serves the most worth while there is more to do than slots; every rank that
 * waits is guaranteed a part of the slot time. Requests that can meet their objective go before those
 * that are late, within a rank in order of arrival.
 */
export class RankQueue<T extends QueueItem> {
  private readonly lines = new Map<string, RankLine<T>>();
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
    const name = lineKey(request);
    let line = this.lines.get(name);
    if (!line) {
      line = {waiting: [], creditMs: 0};
      this.lines.set(name, line);
    }
    // A rank that was idle does not save up slot time.
    if (line.waiting.length === 0) line.creditMs = 0;
    line.waiting.push(request);
    this.count++;
  }

  /**
   * Lists the requests that are next of each rank, the one to be served first in front.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  heads(nowMs: number): T[] {
    const heads: {
      request: T;
      late: boolean;
      hasCredit: boolean;
      valuePerMs: number;
    }[] = [];
    for (const {waiting, creditMs} of this.lines.values()) {
      if (waiting.length === 0) continue;
      const inTime = waiting.find(({dueAtMs}) => dueAtMs > nowMs);
      const request = inTime ?? waiting[0];
      const costMs = Math.max(1, request.costMs);
      heads.push({
        request,
        late: inTime === undefined,
        hasCredit: creditMs >= costMs,
        valuePerMs: requestValue(request) / costMs,
      });
    }
    heads.sort(
      (a, b) =>
        Number(a.late) - Number(b.late) ||
        Number(b.hasCredit) - Number(a.hasCredit) ||
        b.valuePerMs - a.valuePerMs ||
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
    const line = this.lines.get(lineKey(request));
    const index = line?.waiting.indexOf(request) ?? -1;
    if (!line || index < 0) return false;
    line.waiting.splice(index, 1);
    this.count--;
    if (served) this.chargeSlotTime(line, request.costMs);
    return true;
  }

  private chargeSlotTime(served: RankLine<T>, costMs: number): void {
    served.creditMs = Math.max(0, served.creditMs - costMs);
    for (const line of this.lines.values()) {
      if (line === served || line.waiting.length === 0) continue;
      line.creditMs += costMs * guaranteedShare;
    }
  }
}

function lineKey({rank, organisationRank}: QueueItem): string {
  return `${rank} ${organisationRank}`;
}

function requestValue({rank, organisationRank}: QueueItem): number {
  const index = Math.min(Math.max(0, Math.floor(rank)), rankValues.length - 1);
  return rankValues[index] * organisationRankFactor ** organisationRank;
}
