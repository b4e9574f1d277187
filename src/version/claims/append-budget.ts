/** Size of a burst after an idle time, as the appends of this many seconds. */
const burstSeconds = 0.25;

/**
 * Token bucket that limits the rate of this process's appends to all claim streams. Entries that
 * arrive while an append is delayed join its batch, so batches grow with the load.
 */
export class AppendBudget {
  private tokens: number | undefined;
  private updatedMs = 0;

  /**
   * @param perSecond - Returns this process's current share of the fleet's append rate, in appends
   *   per second.
   */
  constructor(private readonly perSecond: () => number) {}

  /**
   * Takes a token for one append.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Time to wait before the append, in milliseconds.
   */
  reserve(nowMs: number): number {
    const rate = this.perSecond();
    const burst = Math.max(1, rate * burstSeconds);
    const passedMs = nowMs - this.updatedMs;
    this.updatedMs = nowMs;
    const refilled = (this.tokens ?? burst) + (passedMs * rate) / 1000;
    this.tokens = Math.min(burst, refilled) - 1;
    return this.tokens >= 0 ? 0 : Math.ceil((-this.tokens * 1000) / rate);
  }
}
