import type {WaitingRequest} from './waiting-request.js';

/** Part of the first-token target that the top tier waits for a slot to come back by itself. */
const topTierPreemptionDelay = 0.1;
/** Part of the deadline that other tiers wait before they preempt. */
const lowerTierPreemptionDelay = 0.25;
/** Weight of a new interval. */
const smoothingFactor = 0.05;

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
          : this.intervalMs + smoothingFactor * (sample - this.intervalMs);
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

  /**
   * Estimates how many permits come back before a request has waited long enough to preempt.
   *
   * @param head - Request that waits.
   * @param firstTokenTargetMs - Wanted time to first token, in milliseconds.
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
