/**
 * Ratio between the bounds of neighbouring buckets. A margin between two distributions is a shift by
 * whole buckets, so margins are powers of this number.
 */
export const sketchBase = 1.05;

const logBase = Math.log(sketchBase);

/** Index of the last bucket: about 25 minutes. */
const maxIndex = 292;

/** Histogram of latencies with logarithmic buckets; two are merged by adding their counts. */
export class Sketch {
  private readonly counts = new Map<number, number>();
  /** Computed quantiles, cleared by each change. */
  private readonly quantiles = new Map<number, number>();
  private sum = 0;

  /** Number of values. */
  get total(): number {
    return this.sum;
  }

  /**
   * Finds the bucket of a value.
   *
   * @param ms - Value in milliseconds; values below 1 fall into bucket 0.
   * @returns Index of the bucket.
   */
  static indexOf(ms: number): number {
    if (!(ms > 1)) return 0;
    return Math.min(maxIndex, Math.floor(Math.log(ms) / logBase));
  }

  /**
   * Adds values to a bucket.
   *
   * @param index - Bucket.
   * @param count - Number of values.
   */
  add(index: number, count = 1): void {
    this.counts.set(index, (this.counts.get(index) ?? 0) + count);
    this.sum += count;
    if (this.quantiles.size > 0) this.quantiles.clear();
  }

  /**
   * Adds all values of another sketch.
   *
   * @param other - Sketch to add.
   */
  merge(other: Sketch): void {
    for (const [index, count] of other.counts) this.add(index, count);
  }

  /**
   * Counts the values above a bucket.
   *
   * @param index - Bucket; values in it are not counted.
   * @returns Number of values.
   */
  above(index: number): number {
    let found = 0;
    for (const [at, count] of this.counts) if (at > index) found += count;
    return found;
  }

  /**
   * Finds a quantile.
   *
   * @param q - Quantile, 0 to 1.
   * @returns Index of the bucket that contains it, 0 if the sketch is empty.
   */
  quantileIndex(q: number): number {
    const known = this.quantiles.get(q);
    if (known !== undefined) return known;
    const sorted = [...this.counts].sort(([a], [b]) => a - b);
    let remaining = q * this.sum;
    let found = 0;
    for (const [index, count] of sorted) {
      remaining -= count;
      found = index;
      if (remaining <= 0) break;
    }
    this.quantiles.set(q, found);
    return found;
  }

  /** Halves all counts, so that recent values weigh more than old ones. */
  decay(): void {
    this.sum = 0;
    this.quantiles.clear();
    for (const [index, count] of [...this.counts]) {
      const half = Math.floor(count / 2);
      if (half > 0) this.counts.set(index, half);
      else this.counts.delete(index);
      this.sum += half;
    }
  }

  /** @returns Pairs of bucket and count. */
  entries(): [number, number][] {
    return [...this.counts];
  }
}
