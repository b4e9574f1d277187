import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/**
 * Creates a source of random numbers for choices that need not be kept from anyone. A call costs a few
 * nanoseconds; several are drawn for each request.
 *
 * @param seed - Seed, a 32-bit integer.
 * @returns A function that returns numbers in [0, 1).
 */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed | 0);
  return () => (generator.next() >>> 0) / 2 ** 32;
}
