import {LineOrder, type LineChoice} from '../pool/line-order.js';
import type {QueueItem} from '../pool/rank-queue.js';

/** Multiple of the equal share up to which organisations are served in order of arrival. */
export const shareTolerance = 1.5;
/** Time for which a request is put back for each equal share beyond the tolerance, in milliseconds. */
const delayPerShareMs = 400;
/** Longest time for which a request is put back, in milliseconds; bounds the wait of every organisation. */
export const maxShareDelayMs = 3000;

/**
 * Computes for how long the requests of an organisation are put back behind those of others.
 *
 * @param ratio - Its service as a multiple of the equal share.
 * @returns Time in milliseconds.
 */
export function shareDelayMs(ratio: number): number {
  const excess = Math.max(0, ratio - shareTolerance);
  return Math.min(maxShareDelayMs, excess * delayPerShareMs);
}

/**
 * Serves organisations that had less than their share of the service first: a request goes as if it had arrived later,
 * by more the further its organisation is over its share. Those within the tolerance keep their order of arrival, and
 * so do the requests of one organisation. Requests that can still meet their objective go first, as in all orders.
 */
export class ShareOrder<T extends QueueItem> extends LineOrder<T> {
  /** @param ratioOf - Returns the service of an organisation as a multiple of the equal share. */
  constructor(
    private readonly ratioOf: (organisation: string, nowMs: number) => number,
  ) {
    super();
  }

  override next(
    waiting: readonly T[],
    nowMs: number,
    skipped: ReadonlySet<T>,
  ): LineChoice<T> | undefined {
    const delays = new Map<string, number>();
    let best: (LineChoice<T> & {readonly atMs: number}) | undefined;
    for (const request of waiting) {
      if (skipped.has(request)) continue;
      const late = request.dueAtMs <= nowMs;
      const atMs =
        (request.queuedAtMs ?? 0) + this.delayOf(request, nowMs, delays);
      const isBetter =
        !best || (late === best.late ? atMs < best.atMs : best.late);
      if (isBetter) best = {request, late, atMs};
    }
    return best;
  }

  private delayOf(
    {organisation}: T,
    nowMs: number,
    delays: Map<string, number>,
  ): number {
    if (organisation === undefined) return 0;
    let delayMs = delays.get(organisation);
    if (delayMs === undefined) {
      delayMs = shareDelayMs(this.ratioOf(organisation, nowMs));
      delays.set(organisation, delayMs);
    }
    return delayMs;
  }
}
