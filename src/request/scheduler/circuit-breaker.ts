/** Consecutive failures that open a breaker. */
const failuresToOpen = 3;
/** Smoothed share of failures that opens a breaker, for targets that fail only some requests. */
const openShare = 0.6;
/** Time that a breaker first stays open, in milliseconds; doubles with each failed probe. */
const firstOpenMs = 1000;
/** Maximum time that a breaker stays open before the next probe, in milliseconds. */
const maxOpenMs = 30_000;

/** Blocks requests to a target or route that keeps failing, and admits one probe after a pause. */
export class CircuitBreaker {
  private failures = 0;
  private share = 0;
  private openMs = firstOpenMs;
  private openUntilMs: number | undefined;
  private probing = false;

  /** Smoothed share of failures, 0 to 1. */
  get failureShare(): number {
    return this.share;
  }

  /** Whether the breaker is not closed. */
  get tripped(): boolean {
    return this.openUntilMs !== undefined;
  }

  /** Whether a request may be sent now. */
  allows(nowMs: number): boolean {
    if (this.openUntilMs === undefined) return true;
    return nowMs >= this.openUntilMs && !this.probing;
  }

  /** Records that a request was sent; the first one after a pause is the probe. */
  sent(): void {
    if (this.openUntilMs !== undefined) this.probing = true;
  }

  /** Records a result that is no evidence about health, for example a cancelled request. */
  ignored(): void {
    this.probing = false;
  }

  /** Records a success. */
  succeeded(): void {
    this.failures = 0;
    this.share *= 0.8;
    if (!this.probing) return;
    this.probing = false;
    this.openUntilMs = undefined;
    this.openMs = firstOpenMs;
    this.share = 0;
  }

  /**
   * Records a failure.
   *
   * @param nowMs - Time of the failure.
   * @param severe - Whether this failure alone opens the breaker.
   */
  failed(nowMs: number, severe = false): void {
    this.failures++;
    this.share += 0.2 * (1 - this.share);
    if (this.openUntilMs !== undefined) {
      // Failures of requests that were sent before the breaker opened do not extend the pause.
      if (!this.probing) return;
      this.probing = false;
      this.openMs = Math.min(2 * this.openMs, maxOpenMs);
      this.openUntilMs = nowMs + this.openMs;
    } else if (
      severe ||
      this.failures >= failuresToOpen ||
      this.share > openShare
    ) {
      this.openUntilMs = nowMs + this.openMs;
    }
  }
}
