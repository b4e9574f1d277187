import type {Permit} from './permit.js';
import type {PrefixIndex} from './prefix-index.js';
import type {SchedulerConfig} from './scheduler-config.js';
import type {TargetState} from './target-state.js';
import type {AttemptOutcome, LoadReport} from './types.js';

/** Time without a first token, in expected times, after which a target counts as cold. */
const suspectRatio = 4;
/** Time without any progress after which a permit counts as stalled, in milliseconds. */
const stallTimeoutMs = 10_000;

/** Learns speed, limit and health of targets from what happens to permits. */
export class OutcomeLearner {
  /**
   * @param cfg - Latency targets of the group.
   * @param prefixes - Index to clear when a target lost its cache.
   */
  constructor(
    private readonly cfg: SchedulerConfig,
    private readonly prefixes: PrefixIndex,
  ) {}

  /** Takes a progress report. */
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

  /** Takes the end of an attempt. */
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
    // The first token of an attempt that ended early never comes.
    if (permit.firstTokenMs === undefined) this.prefillDone(permit, -1);
  }

  /** Takes a load report. */
  loadReport(target: TargetState, report: LoadReport, nowMs: number): void {
    if (target.detectRestart(report.epoch)) this.resetToCold(target);
    // An engine that queues by itself has less room than its limit says, for example in memory.
    else if (report.waiting > 1 && report.waiting > report.running / 4) {
      target.limit.congested(nowMs);
    }
  }

  /** Checks whether a permit lacks progress; returns true once, when it has stalled. */
  checkStalled(permit: Permit, nowMs: number): boolean {
    if (permit.request.wholeAnswer)
      return this.checkNonStreaming(permit, nowMs);
    const {target} = permit;
    const quietMs = nowMs - permit.lastProgressMs;
    if (permit.firstTokenMs === undefined) {
      const expected = this.uncachedFirstTokenMs(permit);
      const bound = suspectRatio * expected + this.cfg.firstTokenTargetMs;
      if (!permit.suspected && quietMs > bound) {
        permit.suspected = true;
        this.resetToCold(target);
      }
      return quietMs > Math.max(stallTimeoutMs, 4 * bound);
    }
    // Followers may report the first token only; then later silence says nothing.
    return permit.reports > 0 && quietMs > stallTimeoutMs;
  }

  /** The first token of a whole answer is not seen, so the prompt counts as processed in time. */
  private checkNonStreaming(permit: Permit, nowMs: number): boolean {
    const {target, request} = permit;
    const quietMs = nowMs - permit.lastProgressMs;
    const firstMs = target.rates.firstTokenMs(permit.promptWork);
    if (permit.firstTokenMs === undefined && quietMs > firstMs) {
      this.prefillDone(permit, firstMs);
    }
    const {maxTokens = Infinity} = request;
    const expected =
      this.uncachedFirstTokenMs(permit) +
      maxTokens * target.rates.tokenMs(target.inFlight);
    const bound = suspectRatio * expected + this.cfg.firstTokenTargetMs;
    if (!permit.suspected && quietMs > bound) {
      permit.suspected = true;
      this.resetToCold(target);
    }
    return quietMs > Math.max(stallTimeoutMs, 4 * bound);
  }

  private firstToken(permit: Permit, ms: number): void {
    if (permit.firstTokenMs !== undefined) return;
    this.prefillDone(permit, ms);
    const {target} = permit;
    const work = permit.promptWork - permit.uncachedTokens;
    const most = work + permit.request.promptTokens;
    const jump =
      ms > this.cfg.firstTokenTargetMs / 2 &&
      target.rates.isFirstTokenJump(ms, most);
    target.rates.learnFirstToken(ms, permit.promptWork);
    if (target.recordLatency(jump)) this.resetToCold(target);
  }

  private prefillDone(permit: Permit, ms: number): void {
    permit.firstTokenMs = ms;
    permit.target.pendingPrompt -= permit.uncachedTokens;
  }

  private answered(
    permit: Permit,
    outcome: AttemptOutcome,
    nowMs: number,
  ): void {
    const {target} = permit;
    const firstTokenMs = this.firstTokenOf(permit, outcome);
    // The time per token of a whole answer is hidden behind its prompt and queue: with an estimate
    // of it, total goodput at 1.5 times the capacity fell from 79 to 62 %.
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

  /** Learns the time to first token of an answer; that of a whole one is taken as expected. */
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
