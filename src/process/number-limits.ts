/** Limits of the numbers that other programs send. Within them, sums over requests and hosts stay exact. */

/** Longest duration, in milliseconds; timers fire at once if they are set to a longer one. */
export const maxDurationMs = 2 ** 31 - 1;
/** Longest time for which a target can state that it is cold or takes no requests, in milliseconds. */
export const maxStatedMs = 3_600_000;
/** Maximum number of tokens of one request or prompt part. */
export const maxTokens = 1e9;
/** Longest time of work that a target can state, in percent of the usual time. */
export const maxPacePercent = 10_000;
/** Most rejections in one second that a target can state. */
export const maxRejections = 1e6;
/** Maximum of counts, sizes and rates of one target, route or organisation. */
export const maxCount = 1e12;

/**
 * Checks that a value is a finite number within limits.
 *
 * @param value - Value that another program sent.
 * @param max - Largest number.
 * @param min - Smallest number.
 */
export function isNumberWithin(
  value: unknown,
  max: number,
  min = 0,
): value is number {
  return typeof value === 'number' && value >= min && value <= max;
}
