/** Share of a second's appends that may follow each other at once after a quiet time. */
const burstSeconds = 0.25;

/**
 * Token bucket that spaces the appends of all claim streams written by this process. Entries that
 * arrive while an append waits for its turn share it, so batches grow with the load.
 */
export class AppendBudget {
  private tokens: number | undefined;
  private updatedMs = 0;

  /**
   * @param perSecond - Reads this process's present share of the fleet's append rate.
   */
  constructor(private readonly perSecond: () => number) {}

  /**
   * Takes the next free turn.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Delay until the turn, in milliseconds.
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
