import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/**
 * Creates a pseudo-random number generator for choices without security needs, because it is
 * predictable. A call takes a few nanoseconds, which matters because each request makes several.
 *
 * @param seed - Seed, a 32-bit integer.
 * @returns A function that returns uniformly distributed numbers in [0, 1).
 */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed | 0);
  return () => (generator.next() >>> 0) / 2 ** 32;
}
