import type {SlotRequest} from '../../request/gateway/dispatcher.js';
import {defaultTokenMs, promptTokensPerOutputToken} from './choose-target.js';
import type {PooledTarget} from './pooled-target.js';

/** Weight of a new sample in the mean slot time of a service's requests. */
const sampleWeight = 0.05;
/**
 * Time before a request becomes late, or before the end of its wait, from which it accepts less suitable targets, in
 * milliseconds; long enough for two checks of the waiting requests.
 */
export const finalPollsMs = 50;

/** Request with the properties on which its slot time depends. */
type SizedRequest = Pick<
  SlotRequest,
  'service' | 'costMs' | 'outputTokens' | 'promptTokens'
>;

/**
 * Decides which requests use the targets that state a limit. Such a target accepts a number of requests, whatever their
 * length, so it should get those that occupy a slot for longest; the others then find room on targets whose slots
 * are the limit.
 */
export class LimitedTargets {
  private readonly meansMs = new Map<string, number>();

  /**
   * Adds a request that was placed to the mean of its service.
   *
   * @param request - Request.
   */
  record(request: SizedRequest): void {
    const ms = slotTimeMs(request);
    const mean = this.meansMs.get(request.service) ?? ms;
    this.meansMs.set(request.service, mean + sampleWeight * (ms - mean));
  }

  /**
   * Computes by how much the slot time of a request is below the mean of its service: the cost of using the rate of a
   * limited target for it.
   *
   * @param request - Request to place.
   * @returns Time in milliseconds; negative for a long request.
   */
  costMs(request: SizedRequest): number {
    const ms = slotTimeMs(request);
    return (this.meansMs.get(request.service) ?? ms) - ms;
  }

  /**
   * Checks whether a request leaves the limited targets to longer ones for now, because another target may get a free
   * slot while it can still meet its objective.
   *
   * @param request - Request to place.
   * @param targets - All targets that it may use, with or without a free slot.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  areReserved(
    request: SizedRequest & Pick<SlotRequest, 'dueAtMs' | 'untilMs'>,
    targets: Iterable<PooledTarget>,
    nowMs: number,
  ): boolean {
    const untilMs = Math.min(request.dueAtMs, request.untilMs) - finalPollsMs;
    if (nowMs >= untilMs || this.costMs(request) <= 0) return false;
    for (const {stated} of targets) {
      if (stated.limitPerSecond === undefined) return true;
    }
    return false;
  }
}

/** Estimates how long a request occupies a slot of an average target, in milliseconds. */
function slotTimeMs({costMs, outputTokens, promptTokens}: SizedRequest) {
  if (outputTokens === 0) return costMs;
  const readTokens = promptTokens / promptTokensPerOutputToken;
  return (readTokens + outputTokens) * defaultTokenMs;
}
