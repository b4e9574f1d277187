/** Token bucket that spaces the appends to one claim stream. */
export class AppendBudget {
  private tokens: number;
  private updatedMs: number | undefined;

  /**
   * @param perSecond - Sustained appends per second.
   * @param burst - Appends that may follow each other at once after a quiet time.
   */
  constructor(
    private readonly perSecond: number,
    private readonly burst: number,
  ) {
    this.tokens = burst;
  }

  /**
   * Tells how long the next append has to wait. Entries that arrive meanwhile share the append, so
   * batches grow with the load.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Delay in milliseconds; 0 if the append may be sent now.
   */
  waitMs(nowMs: number): number {
    this.refill(nowMs);
    if (this.tokens >= 1) return 0;
    return Math.ceil(((1 - this.tokens) * 1000) / this.perSecond);
  }

  /** Counts one append. */
  take(nowMs: number): void {
    this.refill(nowMs);
    this.tokens -= 1;
  }

  private refill(nowMs: number): void {
    const passedMs = nowMs - (this.updatedMs ?? nowMs);
    this.updatedMs = nowMs;
    this.tokens = Math.min(
      this.burst,
      this.tokens + (passedMs * this.perSecond) / 1000,
    );
  }
}
