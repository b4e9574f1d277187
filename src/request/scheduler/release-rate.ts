import type {WaitingRequest} from './waiting-request.js';

/** Share of the first-token target that the top tier waits for a slot before it preempts. */
const topTierPreemptionDelay = 0.1;
/** Share of the time limit that other tiers wait for a slot before they preempt. */
const lowerTierPreemptionDelay = 0.25;
/** Weight of a new interval in the average. */
const smoothingFactor = 0.05;

/** Measures how often permits are released, to decide between waiting and preemption. */
export class ReleaseRate {
  private intervalMs: number | undefined;
  private lastMs: number | undefined;

  /** Records that a permit was released. */
  released(nowMs: number): void {
    if (this.lastMs !== undefined) {
      const sample = nowMs - this.lastMs;
      this.intervalMs =
        this.intervalMs === undefined
          ? sample
          : this.intervalMs + smoothingFactor * (sample - this.intervalMs);
    }
    this.lastMs = nowMs;
  }

  /**
   * Estimates how many permits are released within a time.
   *
   * @param ms - Time from now, in milliseconds.
   * @param nowMs - Current time.
   * @returns Number of permits; 0 before the second release.
   */
  expectedWithin(ms: number, nowMs: number): number {
    if (this.intervalMs === undefined || this.lastMs === undefined) return 0;
    // When releases stop, the estimate falls with the time since the last one.
    const interval = Math.max(this.intervalMs, nowMs - this.lastMs, 0.001);
    return Math.max(0, Math.floor(ms / interval));
  }

  /**
   * Estimates how many permits are released before a request has waited long enough to preempt.
   *
   * @param head - Next waiting request.
   * @param firstTokenTargetMs - Objective for the time to first token, in milliseconds.
   * @param nowMs - Current time.
   * @returns Number of permits.
   */
  expectedBeforePreemption(
    head: WaitingRequest,
    firstTokenTargetMs: number,
    nowMs: number,
  ): number {
    const preemptionDelayMs =
      head.request.tier === 0
        ? topTierPreemptionDelay * firstTokenTargetMs
        : lowerTierPreemptionDelay * head.request.timeoutMs;
    const leftMs = preemptionDelayMs - (nowMs - head.offeredMs);
    return leftMs > 0 ? this.expectedWithin(leftMs, nowMs) : 0;
  }
}
