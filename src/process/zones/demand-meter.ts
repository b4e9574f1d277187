/** Time over which the offered load is averaged, in milliseconds. */
const averagedMs = 1500;

/** Measures the slot time that requests ask for: a moving average with exponential weights. */
export class DemandMeter {
  private sumMs = 0;
  private atMs = -Infinity;

  /**
   * Adds a request.
   *
   * @param costMs - Time for which it will occupy a slot, in milliseconds.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  add(costMs: number, nowMs: number): void {
    this.sumMs = this.decayed(nowMs) + costMs;
    this.atMs = nowMs;
  }

  /**
   * Computes the offered load.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Slots that the requests would occupy, possibly fractional.
   */
  slots(nowMs: number): number {
    return this.decayed(nowMs) / averagedMs;
  }

  private decayed(nowMs: number): number {
    if (this.sumMs === 0) return 0;
    return this.sumMs * Math.exp((this.atMs - nowMs) / averagedMs);
  }
}
