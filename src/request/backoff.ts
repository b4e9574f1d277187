/** Returns uniformly distributed values from 0 (included) to 1 (excluded). */
export type RandomSource = () => number;

const firstBackoffMs = 10;
const maxBackoffMs = 1000;

/**
 * Time to wait before a retry: exponential with full jitter, so that requests which failed together
 * do not return together.
 *
 * @param retry - Number of the retry, starting at 1.
 * @param random - Random source.
 * @returns Time in milliseconds.
 */
export function backoffMs(retry: number, random: RandomSource): number {
  const bound = Math.min(maxBackoffMs, firstBackoffMs * 2 ** (retry - 1));
  return random() * bound;
}
