/** Returns uniformly distributed random numbers in [0, 1). */
export type RandomSource = () => number;

const firstBackoffMs = 10;
const maxBackoffMs = 1000;

/**
 * Computes the delay before a retry: exponential with full jitter, so that requests that failed
 * together are not retried together.
 *
 * @param retry - Number of the retry, starting at 1.
 * @param random - Source of the jitter.
 * @returns Delay in milliseconds.
 */
export function backoffMs(retry: number, random: RandomSource): number {
  const bound = Math.min(maxBackoffMs, firstBackoffMs * 2 ** (retry - 1));
  return random() * bound;
}
