import {CircuitBreaker} from './circuit-breaker.js';
import {TargetLimit} from './target-limit.js';
import {
  batchOverhead,
  promptOverheadTokens,
  type TargetRates,
} from './target-rates.js';
import type {TargetView} from './types.js';

/** Latency jumps in a row that count as evidence of a cold target. */
const coldJumps = 2;

/** All that the scheduler knows of one target. */
export class TargetState {
  readonly limit: TargetLimit;
  readonly breaker = new CircuitBreaker();
  /** Permits outstanding. */
  inFlight = 0;
  /** Permits whose preemption was asked for. */
  preempting = 0;
  /** Prompt tokens of permits that have no first token yet. */
  pendingPrompt = 0;
  /** Time for each prompt token, in milliseconds; copied here for speed, like the next three. */
  promptTokenMs = 0;
  /** Time that one request adds to a step, in milliseconds. */
  slotMs = 0;
  /** Factor by which a choice is made worse because of recent failures. */
  riskFactor = 1;
  /** Whether the breaker waits for a probe. */
  needsProbe = false;
  /** Part of the prompt in the cache during a choice, 0 to 1. */
  cachedShare = 0;
  /** Requests that may run at once under this owner when warm, for the running total. */
  warmSlots = 0;
  /** Permits that could be granted now, for the running total. */
  freeSlots = 0;
  private readonly routes = new Map<string, CircuitBreaker>();
  private jumps = 0;
  private epoch: number | undefined;

  /**
   * @param view - Declared properties.
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
   * @param share - Part of the limit that the followers bring, 0 to 1.
   * @param recovering - Whether outstanding permits may be unknown.
   */
  allowed(share: number, recovering: boolean): number {
    if (!this.view.usable || this.limit.current <= 0) return 0;
    const limit = recovering
      ? Math.min(this.limit.current, this.view.coldConcurrency)
      : this.limit.current;
    const part = Math.floor(limit * share + 1e-9);
    // Only one owner can have more than half of the followers, so the sum stays within the limit.
    return share > 0.5 ? Math.max(1, part) : part;
  }

  /** Copies what a choice needs from the learnt speed and the breaker. */
  updateCosts(): void {
    this.promptTokenMs = this.rates.promptTokenMs;
    this.slotMs = this.rates.batchSlotMs;
    this.riskFactor = 1 / (1 - Math.min(0.95, this.breaker.failureShare));
    this.needsProbe = this.breaker.tripped;
  }

  /** Whether the breakers let a request on this route pass. */
  admits(route: string, nowMs: number): boolean {
    if (this.routes.size === 0) return true;
    const breaker = this.routes.get(route);
    return !breaker || breaker.allows(nowMs);
  }

  /**
   * Expected time from a grant to the end of the answer, without any cached prompt.
   *
   * @param promptTokens - Length of the prompt.
   * @param outputTokens - Expected length of the answer, in tokens.
   * @param others - Other requests in flight at the target.
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

  /** Notes that a request was sent. */
  sent(route: string): void {
    this.breaker.sent();
    this.routes.get(route)?.sent();
  }

  /** Notes a complete answer. */
  succeeded(route: string): void {
    this.breaker.succeeded();
    const breaker = this.routes.get(route);
    breaker?.succeeded();
    if (breaker && !breaker.tripped && breaker.failureShare < 0.01) {
      this.routes.delete(route);
    }
  }

  /** Notes an end that says nothing about the target's health. */
  ignored(route: string): void {
    this.breaker.ignored();
    this.routes.get(route)?.ignored();
  }

  /** Notes a failure. */
  failed(route: string, severe: boolean, nowMs: number): void {
    this.breaker.failed(nowMs, severe);
    let breaker = this.routes.get(route);
    if (!breaker) this.routes.set(route, (breaker = new CircuitBreaker()));
    breaker.failed(nowMs);
  }

  /** Notes a latency and returns whether the target is to be treated as cold. */
  recordLatency(jump: boolean): boolean {
    this.jumps = jump ? this.jumps + 1 : 0;
    if (this.jumps < coldJumps) return false;
    this.jumps = 0;
    return true;
  }

  /** Notes the epoch of a load report and returns whether the target was restarted. */
  detectRestart(epoch: number): boolean {
    const changed = this.epoch !== undefined && epoch !== this.epoch;
    this.epoch = epoch;
    return changed;
  }
}
