/** Good completions after which the limit of a cold target doubles. */
const coldWindowCompletions = 8;
/** Good completions after which the limit of a warm target grows by one. */
const warmWindowCompletions = 8;
/** Factor of a multiplicative decrease. */
const decreaseFactor = 0.75;
/** Minimum time between decreases, so that each can take effect first, in milliseconds. */
const minDecreaseIntervalMs = 1000;
/** Ratio to the uncongested time per token above which a cold target is still warming up. */
const coldTokenRatio = 2;

/** Measurements of one completion, from which the limit of its target is adjusted. */
export interface LimitSample {
  /** Time to first token, in milliseconds. */
  readonly firstTokenMs: number;
  /** Objective for the time to first token, in milliseconds. */
  readonly firstTokenTargetMs: number;
  /** Time per token after the first, in milliseconds, if there was more than one. */
  readonly tokenMs: number | undefined;
  /** Objective for the time per token, in milliseconds. */
  readonly tokenTargetMs: number;
  /** Uncongested time per token of this target or similar ones, in milliseconds, once known. */
  readonly baselineTokenMs: number | undefined;
  /** Uncongested time to first token of this prompt, in milliseconds. */
  readonly expectedFirstTokenMs: number;
  /** Number of requests in flight when the completion arrived, this one included. */
  readonly inFlight: number;
}

/**
 * Concurrency limit of a target. While the target is cold the limit doubles after each window of
 * good completions; afterwards it grows by one per window, and shrinks by a factor if congested.
 */
export class TargetLimit {
  private value: number;
  private coldPhase = true;
  private goodCompletions = 0;
  private previousWindowTokenMs: number | undefined;
  private windowTokenMs = 0;
  private lastDecreaseMs = -Infinity;

  /**
   * @param coldLimit - Limit of a cold target.
   * @param maxLimit - Maximum of the limit.
   */
  constructor(
    private coldLimit: number,
    private maxLimit: number,
  ) {
    this.value = coldLimit;
  }

  /** Number of requests that may run at once. */
  get current(): number {
    return Math.floor(this.value);
  }

  /** Whether the limit has not yet reached its maximum since it was last reset to cold. */
  get cold(): boolean {
    return this.coldPhase;
  }

  /** Changes the configured bounds. */
  setBounds(coldLimit: number, maxLimit: number): void {
    this.coldLimit = Math.min(coldLimit, maxLimit);
    this.maxLimit = maxLimit;
    this.value = Math.min(this.value, maxLimit);
  }

  /** Resets the limit to that of a cold target. */
  resetToCold(): void {
    this.value = Math.min(this.coldLimit, this.maxLimit);
    this.coldPhase = true;
    this.goodCompletions = 0;
    this.previousWindowTokenMs = undefined;
    this.windowTokenMs = 0;
  }

  /** Raises the limit to a number of requests that the target is known to handle. */
  raiseTo(requests: number): void {
    this.value = Math.max(this.value, Math.min(requests, this.maxLimit));
  }

  /** Lowers the limit after a sign of congestion. */
  congested(nowMs: number): void {
    if (nowMs - this.lastDecreaseMs < minDecreaseIntervalMs) return;
    this.lastDecreaseMs = nowMs;
    this.goodCompletions = 0;
    this.value = Math.max(
      this.coldLimit,
      Math.floor(this.value * decreaseFactor),
    );
  }

  /** Adjusts the limit after a complete response. */
  completed(sample: LimitSample, nowMs: number): void {
    if (isCongested(sample)) {
      if (this.coldPhase) this.goodCompletions = 0;
      else this.congested(nowMs);
      return;
    }
    if (this.coldPhase) this.coldCompleted(sample);
    else if (sample.inFlight >= 0.7 * this.value) this.warmCompleted();
  }

  private coldCompleted(sample: LimitSample): void {
    if (sample.firstTokenMs > 2 * sample.firstTokenTargetMs) {
      this.goodCompletions = 0;
      return;
    }
    this.goodCompletions++;
    this.windowTokenMs += sample.tokenMs ?? 0;
    if (this.goodCompletions < coldWindowCompletions) return;
    const tokenMs = this.windowTokenMs / coldWindowCompletions;
    const previous = this.previousWindowTokenMs;
    this.goodCompletions = 0;
    this.windowTokenMs = 0;
    this.previousWindowTokenMs = tokenMs;
    const {baselineTokenMs} = sample;
    if (baselineTokenMs && tokenMs > coldTokenRatio * baselineTokenMs) return;
    // A target that becomes faster from window to window is still warming up.
    if (previous !== undefined && previous > 1.5 * tokenMs) return;
    this.value = Math.min(this.maxLimit, Math.max(1, 2 * this.value));
    if (this.value >= this.maxLimit) this.coldPhase = false;
  }

  private warmCompleted(): void {
    if (++this.goodCompletions < warmWindowCompletions) return;
    this.goodCompletions = 0;
    this.value = Math.min(this.maxLimit, this.value + 1);
  }
}

function isCongested(sample: LimitSample): boolean {
  const {tokenMs, baselineTokenMs = 0} = sample;
  const slowTokens =
    tokenMs !== undefined &&
    tokenMs > sample.tokenTargetMs &&
    tokenMs > 2 * baselineTokenMs;
  const slowStart =
    sample.firstTokenMs > 2 * sample.firstTokenTargetMs &&
    sample.firstTokenMs > 4 * sample.expectedFirstTokenMs;
  return slowTokens || slowStart;
}
