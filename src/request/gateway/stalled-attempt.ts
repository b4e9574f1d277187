import {outcomes, type PooledTarget} from '../../process/pool/pooled-target.js';
import {
  toSlotRequest,
  type AdmittedRequest,
  type GatewayRequestParts,
} from './admitted-request.js';
import type {Attempts} from './attempt-tracker.js';

/**
 * Takes what a retry of a stalled attempt needs, a slot elsewhere and retries from the budget, before the attempt is
 * aborted: its target may only pause, and a response must not end because of that.
 *
 * @param parts - Dependencies of requests.
 * @param request - Request whose attempt stalled.
 * @param attempts - Attempts of the request.
 * @param stalled - Target of the stalled attempt, which is excluded from then on.
 * @returns Target whose slot was taken; `undefined` if the attempt has to go on.
 */
export function reserveRetry(
  {clock, pool, stats}: GatewayRequestParts,
  request: AdmittedRequest,
  attempts: Attempts,
  stalled: PooledTarget,
): PooledTarget | undefined {
  const nowMs = clock.nowMs();
  const {id} = stalled.entry;
  if (!attempts.allowsRetry(nowMs)) return undefined;
  const slotRequest = toSlotRequest(request, stats, {
    untilMs: nowMs,
    exclude: new Set([...attempts.excluded, id]),
    trial: false,
  });
  const target = pool.takeSlot(slotRequest, nowMs);
  if (typeof target === 'string') return undefined;
  if (attempts.takeMove(id, nowMs)) return target;
  pool.release(target, outcomes.cancelled, request.head.promptTokens);
  return undefined;
}

/** Multiple of the interval after which a check is late. */
const lateIntervals = 2;

/**
 * Decides which checks for stalled targets are skipped. When a check is late, the process did not run for a time: what
 * targets sent meanwhile is read before the next check.
 */
export class LateChecks {
  private hasSkipped = false;

  /**
   * @param intervalMs - Interval of the checks, in milliseconds.
   * @param checkedAtMs - Time of the start on the process's clock, in milliseconds.
   */
  constructor(
    private readonly intervalMs: number,
    private checkedAtMs: number,
  ) {}

  /**
   * Checks whether a check is to be skipped. Of two in a row at least one is carried out.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  skips(nowMs: number): boolean {
    const isLate = nowMs - this.checkedAtMs > this.intervalMs * lateIntervals;
    this.checkedAtMs = nowMs;
    this.hasSkipped = isLate && !this.hasSkipped;
    return this.hasSkipped;
  }
}
