/** Source of numbers from 0 (included) to 1 (excluded). */
export type Random = () => number;

/**
 * Creates a reproducible source of random numbers (mulberry32), so that a run can be repeated.
 *
 * @param seed - Seed; only its lowest 32 bits count.
 * @returns The source.
 */
export function seededRandom(seed: number): Random {
  let state = seed | 0;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}
