import {estimateCompletionMs, type PlacementRequest} from './choose-target.js';
import type {PooledTarget} from './pooled-target.js';

/** How a target's speed fits the length of a response and the time until its deadline; higher is better. */
export const completionFits = {
  /** Even a response of the expected length would exceed the deadline. */
  unlikely: 0,
  /** A response of the expected length meets the deadline, a long one does not. */
  likely: 1,
  /** A long response meets the deadline, too. */
  safe: 2,
} as const;

/** One of {@link completionFits}. */
export type CompletionFit =
  (typeof completionFits)[keyof typeof completionFits];

/**
 * Assesses whether a target can complete a response before its deadline. A stream that is cut off at its deadline
 * earns nothing, although its slot was occupied all the time.
 *
 * @param target - Target to assess, at its present load.
 * @param request - Expected lengths and remaining time of the response.
 */
export function completionFit(
  target: PooledTarget,
  request: PlacementRequest,
): CompletionFit {
  const {outputTokens, longOutputTokens, remainingMs} = request;
  if (outputTokens === 0) return completionFits.safe;
  if (estimateCompletionMs(target, request, longOutputTokens) <= remainingMs) {
    return completionFits.safe;
  }
  return estimateCompletionMs(target, request, outputTokens) <= remainingMs
    ? completionFits.likely
    : completionFits.unlikely;
}

/**
 * Finds the worst fit that a request accepts. While it is selective, it waits for one of the targets that fit best,
 * even if only slower ones have a free slot: shorter responses can use those. Afterwards it accepts every target that
 * is likely to complete the response. If no target can, it takes any.
 *
 * @param targets - All targets that the request may use, with or without a free slot.
 * @param request - Expected lengths and remaining time of the response.
 * @param isSelective - Whether the request can still wait.
 */
export function requiredFit(
  targets: Iterable<PooledTarget>,
  request: PlacementRequest,
  isSelective: boolean,
): CompletionFit {
  // Every target fits a plain request.
  if (request.outputTokens === 0) return completionFits.unlikely;
  const enough = isSelective ? completionFits.safe : completionFits.likely;
  let best: CompletionFit = completionFits.unlikely;
  for (const target of targets) {
    const fit = completionFit(target, request);
    if (fit > best) best = fit;
    if (best >= enough) return enough;
  }
  return best;
}
