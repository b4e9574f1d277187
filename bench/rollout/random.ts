/** Seeded random numbers (mulberry32). */
export class Random {
  private state: number;

  /** Starts the sequence of a seed. */
  constructor(seed: number) {
    this.state = seed >>> 0;
  }

  /** Next number in [0, 1). */
  next(): number {
    this.state = (this.state + 0x6d2b79f5) >>> 0;
    let t = this.state;
    t = Math.imul(t ^ (t >>> 15), t | 1);
    t ^= t + Math.imul(t ^ (t >>> 7), t | 61);
    return ((t ^ (t >>> 14)) >>> 0) / 4294967296;
  }

  /** Number in [from, to). */
  between(from: number, to: number): number {
    return from + this.next() * (to - from);
  }

  /** One element of a list. */
  pick<T>(list: readonly T[]): T {
    return list[Math.floor(this.next() * list.length)];
  }

  /** Factor with median 1 and the given spread of its logarithm. */
  spread(sigma: number): number {
    const u = Math.sqrt(-2 * Math.log(1 - this.next()));
    return Math.exp(sigma * u * Math.cos(2 * Math.PI * this.next()));
  }

  /** Number of events of a Poisson process with the given mean. */
  count(mean: number): number {
    const limit = Math.exp(-mean);
    let found = 0;
    for (let p = this.next(); p > limit; p *= this.next()) found++;
    return found;
  }
}
