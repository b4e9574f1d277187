import {ArrivalOrder, type LineOrder} from './line-order.js';

/** A request that waits for a slot. */
export interface QueueItem {
  /** Rank of the route; 0 is the most urgent. */
  readonly rank: number;
  /** Rank of the organisation; 0 is the most urgent. */
  readonly organisationRank: number;
  /** Expected time for which it occupies a slot, in milliseconds. */
  readonly costMs: number;
  /** Time on the process's clock from which its objective can no longer be met, in milliseconds. */
  readonly dueAtMs: number;
  /** Name of the organisation, if the request has one. */
  readonly organisation?: string;
  /** Time on the process's clock since which it waits, in milliseconds. */
  readonly queuedAtMs?: number;
  /** Time on the process's clock until which it may wait, in milliseconds. */
  readonly untilMs?: number;
  /** Whether its caller was refused before. */
  readonly isReturn?: boolean;
}

/** Value of a request by route rank; ranks beyond the last have the last value. */
const rankValues = [8, 3, 1.5] as const;
/** Factor on the value of a request for each rank of its organisation. */
const organisationRankFactor = 0.7;
/** Credit that a waiting rank earns, as a share of the slot time assigned to other ranks. */
const guaranteedShare = 0.12;

interface RankLine<T> {
  readonly waiting: T[];
  /** Slot time to which the rank is entitled before others, in milliseconds. */
  creditMs: number;
}

/**
 * Orders requests that wait for slots of one service. Requests with the highest value per slot time go
 * first, which maximises the value served under overload; every waiting rank is guaranteed a share of
 * the slot time. Requests that can still meet their objective go before late ones. Each pair of route
 * and organisation rank has a line, served in order of arrival unless another order is given.
 */
export class RankQueue<T extends QueueItem> {
  private readonly lines = new Map<string, RankLine<T>>();
  private count = 0;

  /** @param order - Order within each line. */
  constructor(private readonly order: LineOrder<T> = new ArrivalOrder<T>()) {}

  /** Number of waiting requests. */
  get size(): number {
    return this.count;
  }

  /** Iterates over all waiting requests, in no particular order. */
  *[Symbol.iterator](): Generator<T> {
    for (const {waiting} of this.lines.values()) yield* waiting;
  }

  /**
   * Adds a request at the end of its line.
   *
   * @param request - Request to add; remove it with the same object.
   */
  push(request: T): void {
    const name = lineKey(request);
    let line = this.lines.get(name);
    if (!line) {
      line = {waiting: [], creditMs: 0};
      this.lines.set(name, line);
    }
    // An idle rank does not accumulate credit.
    if (line.waiting.length === 0) line.creditMs = 0;
    line.waiting.push(request);
    this.count++;
  }

  /**
   * Checks whether a request waits.
   *
   * @param request - Request passed to {@link push}.
   */
  has(request: T): boolean {
    return this.lines.get(lineKey(request))?.waiting.includes(request) ?? false;
  }

  /**
   * Lists the next request of each line, in the order in which they should be served.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   * @param skipped - Requests to pass over.
   * @returns At most one request per line.
   */
  heads(nowMs: number, skipped: ReadonlySet<T> = new Set()): T[] {
    const heads: {
      request: T;
      late: boolean;
      pressed: boolean;
      hasCredit: boolean;
      valuePerMs: number;
    }[] = [];
    for (const {waiting, creditMs} of this.lines.values()) {
      const choice = this.order.next(waiting, nowMs, skipped);
      if (!choice) continue;
      const {request, late, pressed = false} = choice;
      heads.push({
        request,
        late,
        pressed,
        hasCredit: creditMs >= Math.max(1, request.costMs),
        valuePerMs: valuePerMs(request),
      });
    }
    heads.sort(
      (a, b) =>
        Number(b.pressed) - Number(a.pressed) ||
        Number(a.late) - Number(b.late) ||
        Number(b.hasCredit) - Number(a.hasCredit) ||
        b.valuePerMs - a.valuePerMs ||
        a.request.rank - b.request.rank,
    );
    return heads.map(({request}) => request);
  }

  /**
   * Removes a request from its line.
   *
   * @param request - Request to remove.
   * @param served - Whether it was assigned a slot; its expected slot time is then charged.
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

/**
 * Computes the value of a request per slot time, by which lines are ordered.
 *
 * @param request - Request with its ranks and expected slot time.
 */
export function valuePerMs(
  request: Pick<QueueItem, 'rank' | 'organisationRank' | 'costMs'>,
): number {
  return requestValue(request) / Math.max(1, request.costMs);
}

function requestValue({
  rank,
  organisationRank,
}: Pick<QueueItem, 'rank' | 'organisationRank'>): number {
  const index = Math.min(Math.max(0, Math.floor(rank)), rankValues.length - 1);
  return rankValues[index] * organisationRankFactor ** organisationRank;
}
