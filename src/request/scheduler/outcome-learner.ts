import type {Permit} from './permit.js';
import type {PrefixIndex} from './prefix-index.js';
import type {SchedulerConfig} from './scheduler-config.js';
import type {TargetState} from './target-state.js';
import type {AttemptOutcome, LoadReport} from './types.js';

/** Multiple of the expected time to first token after which a target without one counts as cold. */
const suspectRatio = 4;
/** Time without any progress after which a permit counts as stalled, in milliseconds. */
const stallTimeoutMs = 10_000;

/** Learns the speed, limit and health of targets from the progress and outcomes of permits. */
export class OutcomeLearner {
  /**
   * @param cfg - Latency objectives of the group.
   * @param prefixes - Prefix index, cleared for a target that becomes cold.
   */
  constructor(
    private readonly cfg: SchedulerConfig,
    private readonly prefixes: PrefixIndex,
  ) {}

  /** Applies a progress report. */
  progress(
    permit: Permit,
    tokens: number,
    firstTokenMs: number | undefined,
    nowMs: number,
  ): void {
    if (tokens > permit.tokens) permit.lastProgressMs = nowMs;
    permit.tokens = Math.max(permit.tokens, tokens);
    if (permit.firstTokenMs !== undefined) permit.reports++;
    if (firstTokenMs !== undefined) this.firstToken(permit, firstTokenMs);
  }

  /** Applies the outcome of an attempt. */
  completed(permit: Permit, outcome: AttemptOutcome, nowMs: number): void {
    const {target, request} = permit;
    switch (outcome.result) {
      case 'ok':
        this.answered(permit, outcome, nowMs);
        target.succeeded(request.route);
        break;
      case 'cancelled':
        target.ignored(request.route);
        break;
      case 'busy':
        target.ignored(request.route);
        target.limit.congested(nowMs);
        break;
      case 'failed':
        target.failed(request.route, false, nowMs);
        break;
      case 'not-started':
      case 'broken':
        target.failed(request.route, false, nowMs);
        this.resetToCold(target);
        break;
      case 'crashed':
        target.failed(request.route, true, nowMs);
        this.resetToCold(target);
        break;
    }
    // An attempt that ended without a first token has no prompt processing pending any more.
    if (permit.firstTokenMs === undefined) this.prefillDone(permit, -1);
  }

  /** Applies a load report. */
  loadReport(target: TargetState, report: LoadReport, nowMs: number): void {
    if (target.detectRestart(report.epoch)) this.resetToCold(target);
    // An engine with a queue of its own has less capacity than its limit, for example in memory.
    else if (report.waiting > 1 && report.waiting > report.running / 4) {
      target.limit.congested(nowMs);
    }
  }

  /** Returns whether a permit has stalled; resets its target to cold if the first token is late. */
  checkStalled(permit: Permit, nowMs: number): boolean {
    if (permit.request.wholeAnswer)
      return this.checkNonStreaming(permit, nowMs);
    const {target} = permit;
    const sinceProgressMs = nowMs - permit.lastProgressMs;
    if (permit.firstTokenMs === undefined) {
      const expected = this.uncachedFirstTokenMs(permit);
      const bound = suspectRatio * expected + this.cfg.firstTokenTargetMs;
      if (!permit.suspected && sinceProgressMs > bound) {
        permit.suspected = true;
        this.resetToCold(target);
      }
      return sinceProgressMs > Math.max(stallTimeoutMs, 4 * bound);
    }
    // Some followers report the first token only, so later silence is no evidence.
    return permit.reports > 0 && sinceProgressMs > stallTimeoutMs;
  }

  /** Assumes that the prompt is processed in the expected time, as no first token is observed. */
  private checkNonStreaming(permit: Permit, nowMs: number): boolean {
    const {target, request} = permit;
    const sinceProgressMs = nowMs - permit.lastProgressMs;
    const firstMs = target.rates.firstTokenMs(permit.promptWork);
    if (permit.firstTokenMs === undefined && sinceProgressMs > firstMs) {
      this.prefillDone(permit, firstMs);
    }
    const {maxTokens = Infinity} = request;
    const expected =
      this.uncachedFirstTokenMs(permit) +
      maxTokens * target.rates.tokenMs(target.inFlight);
    const bound = suspectRatio * expected + this.cfg.firstTokenTargetMs;
    if (!permit.suspected && sinceProgressMs > bound) {
      permit.suspected = true;
      this.resetToCold(target);
    }
    return sinceProgressMs > Math.max(stallTimeoutMs, 4 * bound);
  }

  private firstToken(permit: Permit, ms: number): void {
    if (permit.firstTokenMs !== undefined) return;
    this.prefillDone(permit, ms);
    const {target} = permit;
    const others = permit.promptWork - permit.uncachedTokens;
    const uncachedWork = others + permit.request.promptTokens;
    const jump =
      ms > this.cfg.firstTokenTargetMs / 2 &&
      target.rates.isFirstTokenJump(ms, uncachedWork);
    target.rates.learnFirstToken(ms, permit.promptWork);
    if (target.recordLatency(jump)) this.resetToCold(target);
  }

  private prefillDone(permit: Permit, ms: number): void {
    permit.firstTokenMs = ms;
    permit.target.pendingPrompt -= permit.uncachedTokens;
  }

  /** Learns from a complete response. */
  private answered(
    permit: Permit,
    outcome: AttemptOutcome,
    nowMs: number,
  ): void {
    const {target} = permit;
    const firstTokenMs = this.firstTokenOf(permit, outcome);
    // Without streaming, the time per token cannot be separated from prompt processing and
    // queueing: an estimate of it reduced total goodput at 1.5 times the capacity from 79 to 62 %.
    const tokenMs =
      outcome.tokens > 1 && !permit.request.wholeAnswer
        ? (outcome.totalMs - firstTokenMs) / (outcome.tokens - 1)
        : undefined;
    const {rates} = target;
    if (tokenMs !== undefined) {
      const jump =
        tokenMs > this.cfg.tokenTargetMs &&
        rates.isTokenJump(tokenMs, target.inFlight);
      rates.learnToken(tokenMs, target.inFlight);
      if (target.recordLatency(jump)) return this.resetToCold(target);
    }
    target.limit.completed(
      {
        firstTokenMs,
        firstTokenTargetMs: this.cfg.firstTokenTargetMs,
        tokenMs,
        tokenTargetMs: this.cfg.tokenTargetMs,
        baselineTokenMs: rates.uncongestedTokenMs,
        expectedFirstTokenMs: this.uncachedFirstTokenMs(permit),
        inFlight: target.inFlight,
      },
      nowMs,
    );
  }

  /** Learns and returns the time to first token; without streaming, the expected time is used. */
  private firstTokenOf(permit: Permit, outcome: AttemptOutcome): number {
    const {totalMs, firstTokenMs = totalMs} = outcome;
    if (!permit.request.wholeAnswer) {
      this.firstToken(permit, firstTokenMs);
      return firstTokenMs;
    }
    const expected = permit.target.rates.firstTokenMs(permit.promptWork);
    const ms = Math.min(totalMs, expected);
    if (permit.firstTokenMs === undefined) this.prefillDone(permit, ms);
    return ms;
  }

  /** Expected time to first token if none of the prompt is cached, in milliseconds. */
  private uncachedFirstTokenMs(permit: Permit): number {
    const others = permit.promptWork - permit.uncachedTokens;
    return permit.target.rates.firstTokenMs(
      others + permit.request.promptTokens,
    );
  }

  private resetToCold(target: TargetState): void {
    target.limit.resetToCold();
    this.prefixes.cleared(target.view.name);
  }
}
