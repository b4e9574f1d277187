/** Weight of a new interval. */
const gain = 0.05;

/** Observes how often permits come back, to tell whether waiting beats preemption. */
export class ReleaseRate {
  private intervalMs: number | undefined;
  private lastMs: number | undefined;

  /** Notes that a permit came back. */
  released(nowMs: number): void {
    if (this.lastMs !== undefined) {
      const sample = nowMs - this.lastMs;
      this.intervalMs =
        this.intervalMs === undefined
          ? sample
          : this.intervalMs + gain * (sample - this.intervalMs);
    }
    this.lastMs = nowMs;
  }

  /**
   * Estimates how many permits come back within a time.
   *
   * @param ms - Time from now, in milliseconds.
   * @param nowMs - Current time.
   * @returns Number of permits; 0 if nothing was observed.
   */
  expectedWithin(ms: number, nowMs: number): number {
    if (this.intervalMs === undefined || this.lastMs === undefined) return 0;
    // When releases stop, the estimate falls with the time since the last one.
    const interval = Math.max(this.intervalMs, nowMs - this.lastMs, 0.001);
    return Math.max(0, Math.floor(ms / interval));
  }
}
