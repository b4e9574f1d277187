import type {QueueItem} from './rank-queue.js';

/** The request of a line that is served next. */
export interface LineChoice<T> {
  readonly request: T;
  /** Whether it goes after the requests of other lines that can still meet their objective. */
  readonly late: boolean;
  /** Whether it goes before the requests of all other lines. */
  readonly pressed?: boolean;
}

/** Chooses among the requests of one line, which have the same ranks. */
export abstract class LineOrder<T extends QueueItem> {
  /**
   * Chooses the request to serve next.
   *
   * @param waiting - Requests of the line, in order of arrival.
   * @param nowMs - Time on the process's clock, in milliseconds.
   * @param skipped - Requests to pass over.
   * @returns The choice, or `undefined` if no request is left.
   */
  abstract next(
    waiting: readonly T[],
    nowMs: number,
    skipped: ReadonlySet<T>,
  ): LineChoice<T> | undefined;
}

/** Order of arrival; requests that can still meet their objective go first. */
export class ArrivalOrder<T extends QueueItem> extends LineOrder<T> {
  override next(
    waiting: readonly T[],
    nowMs: number,
    skipped: ReadonlySet<T>,
  ): LineChoice<T> | undefined {
    const inTime = waiting.find(
      item => item.dueAtMs > nowMs && !skipped.has(item),
    );
    const request = inTime ?? waiting.find(item => !skipped.has(item));
    return request && {request, late: inTime === undefined};
  }
}
