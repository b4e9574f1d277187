import {CircuitBreaker} from './circuit-breaker.js';
import {TargetLimit} from './target-limit.js';
import {
  batchOverhead,
  promptOverheadTokens,
  type TargetRates,
} from './target-rates.js';
import type {TargetView} from './types.js';

/** Consecutive latency jumps that count as evidence of a cold target. */
const coldJumps = 2;

/** Scheduling state of one target. */
export class TargetState {
  readonly limit: TargetLimit;
  readonly breaker = new CircuitBreaker();
  /** Number of outstanding permits. */
  inFlight = 0;
  /** Number of permits with a pending preemption. */
  preempting = 0;
  /** Prompt tokens of permits that have no first token yet. */
  pendingPrompt = 0;
  /** Time per prompt token, in milliseconds; cached for fast access, like the next three fields. */
  promptTokenMs = 0;
  /** Time that one request adds to a batch step, in milliseconds. */
  slotMs = 0;
  /** Factor of at least 1 on the cost of choosing this target; grows with recent failures. */
  riskFactor = 1;
  /** Whether the circuit breaker is open and needs a probe to close. */
  needsProbe = false;
  /** Share of the prompt expected in the cache, 0 to 1; set only during a choice. */
  cachedShare = 0;
  /** Permits this owner may have outstanding while the target is warm, as counted in the total. */
  warmSlots = 0;
  /** Number of permits that could be granted now, as counted in the total. */
  freeSlots = 0;
  private readonly routes = new Map<string, CircuitBreaker>();
  private jumps = 0;
  private epoch: number | undefined;

  /**
   * @param view - Configured properties.
   * @param rates - Learnt speed.
   */
  constructor(
    public view: TargetView,
    readonly rates: TargetRates,
  ) {
    this.limit = new TargetLimit(view.coldConcurrency, view.maxConcurrency);
  }

  /**
   * Computes how many permits this owner may have outstanding.
   *
   * @param share - Share of the limit that the followers contribute, 0 to 1.
   * @param recovering - Whether outstanding permits of an earlier owner may still be unknown.
   */
  allowed(share: number, recovering: boolean): number {
    if (!this.view.usable || this.limit.current <= 0) return 0;
    const limit = recovering
      ? Math.min(this.limit.current, this.view.coldConcurrency)
      : this.limit.current;
    const ownLimit = Math.floor(limit * share + 1e-9);
    // Only one owner can have more than half of the followers, so the sum stays within the limit.
    return share > 0.5 ? Math.max(1, ownLimit) : ownLimit;
  }

  /** Updates the fields that are copied from the learnt rates and the circuit breaker. */
  updateCosts(): void {
    this.promptTokenMs = this.rates.promptTokenMs;
    this.slotMs = this.rates.batchSlotMs;
    this.riskFactor = 1 / (1 - Math.min(0.95, this.breaker.failureShare));
    this.needsProbe = this.breaker.tripped;
  }

  /** Whether the circuit breaker of the route admits a request. */
  admits(route: string, nowMs: number): boolean {
    if (this.routes.size === 0) return true;
    const breaker = this.routes.get(route);
    return !breaker || breaker.allows(nowMs);
  }

  /**
   * Expected time from a grant to the end of the response, if none of the prompt is cached.
   *
   * @param promptTokens - Length of the prompt.
   * @param outputTokens - Expected length of the response, in tokens.
   * @param others - Number of other requests in flight at the target.
   * @returns Time in milliseconds.
   */
  completionMs(
    promptTokens: number,
    outputTokens: number,
    others: number,
  ): number {
    const prompt = promptTokens + this.pendingPrompt + promptOverheadTokens;
    const perToken = this.slotMs * (batchOverhead + others + 1);
    return this.promptTokenMs * prompt + (outputTokens - 1) * perToken;
  }

  /** Records that a request was sent. */
  sent(route: string): void {
    this.breaker.sent();
    this.routes.get(route)?.sent();
  }

  /** Records a complete response. */
  succeeded(route: string): void {
    this.breaker.succeeded();
    const breaker = this.routes.get(route);
    breaker?.succeeded();
    if (breaker && !breaker.tripped && breaker.failureShare < 0.01) {
      this.routes.delete(route);
    }
  }

  /** Records an end that is no evidence about the health of the target. */
  ignored(route: string): void {
    this.breaker.ignored();
    this.routes.get(route)?.ignored();
  }

  /** Records a failure; a severe one opens the circuit breaker of the target by itself. */
  failed(route: string, severe: boolean, nowMs: number): void {
    this.breaker.failed(nowMs, severe);
    let breaker = this.routes.get(route);
    if (!breaker) this.routes.set(route, (breaker = new CircuitBreaker()));
    breaker.failed(nowMs);
  }

  /** Records whether a latency was a jump; returns whether the target is to be treated as cold. */
  recordLatency(jump: boolean): boolean {
    this.jumps = jump ? this.jumps + 1 : 0;
    if (this.jumps < coldJumps) return false;
    this.jumps = 0;
    return true;
  }

  /** Records the epoch of a load report; returns whether the target restarted. */
  detectRestart(epoch: number): boolean {
    const changed = this.epoch !== undefined && epoch !== this.epoch;
    this.epoch = epoch;
    return changed;
  }
}
