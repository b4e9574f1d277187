/** Share of the accepted rate that the holder uses; a host that held the duties before may have used some of it. */
const usedShare = 0.8;
/** Calls that may be made at once, as a share of a second's calls. */
const burstShare = 0.2;

/** Keeps calls below the rate that the platform accepts, as a token bucket. */
export class CallPace {
  private readonly perMs: number;
  private readonly capacity: number;
  private level: number;
  private atMs = -Infinity;

  /** @param callsPerS - Calls per second that the platform accepts. */
  constructor(callsPerS: number) {
    this.perMs = (callsPerS * usedShare) / 1000;
    this.capacity = Math.max(1, callsPerS * usedShare * burstShare);
    this.level = this.capacity;
  }

  /**
   * Takes one call.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Whether it may be made now.
   */
  take(nowMs: number): boolean {
    const passedMs = Math.max(0, nowMs - this.atMs);
    this.level = Math.min(this.capacity, this.level + passedMs * this.perMs);
    this.atMs = nowMs;
    if (this.level < 1) return false;
    this.level--;
    return true;
  }
}
