import {LineOrder, type LineChoice} from '../pool/line-order.js';
import type {QueueItem} from '../pool/rank-queue.js';

/** Part of its wait that must be over before a returned request goes before those that can be in time. */
const patientPart = 0.7;

/**
 * Serves returned requests before late ones, and before those that can be in time once a part of their wait is over,
 * because another refusal would be their last. They get only a part of the slots so, as long as others can be in time.
 */
export class ReturnOrder<T extends QueueItem> extends LineOrder<T> {
  /**
   * @param inner - Order of all other requests.
   * @param mayFavour - Returns whether returned requests had less than their part of the slots.
   */
  constructor(
    private readonly inner: LineOrder<T>,
    private readonly mayFavour: (nowMs: number) => boolean,
  ) {
    super();
  }

  override next(
    waiting: readonly T[],
    nowMs: number,
    skipped: ReadonlySet<T>,
  ): LineChoice<T> | undefined {
    const choice = this.inner.next(waiting, nowMs, skipped);
    if (!choice) return undefined;
    const returned = waiting.filter(
      item => item.isReturn === true && !skipped.has(item),
    );
    if (returned.length === 0) return choice;
    const pressed = returned.find(item => isPressed(item, nowMs));
    if (pressed && this.mayFavour(nowMs)) {
      return {request: pressed, late: false, pressed: true};
    }
    return choice.late ? {request: returned[0], late: true} : choice;
  }
}

function isPressed(
  {queuedAtMs = 0, untilMs = Infinity}: QueueItem,
  nowMs: number,
): boolean {
  return nowMs >= queuedAtMs + (untilMs - queuedAtMs) * patientPart;
}
