import {
  Exchange,
  exchangeFailures,
  type ExchangeFailure,
  type ExchangeHandler,
} from '../../connection/gateway/exchange.js';
import type {WatchedAttempt} from '../../process/crashes/crash-watch.js';
import {
  attemptEnds,
  type AttemptEnd,
} from '../../process/crashes/running-attempts.js';
import type {GatewayRetryReason} from '../../process/gateway-metrics.js';
import {
  outcomes,
  type Outcome,
  type PooledTarget,
} from '../../process/pool/pooled-target.js';
import {requestKinds} from '../../version/deployment/types.js';
import type {AdmittedRequest, GatewayRequestParts} from './admitted-request.js';
import {BegunAttempt} from './begun-attempt.js';
import {OpenEndCheck} from './open-end-check.js';
import type {RefusalName} from './refusal-reasons.js';
import {
  RequestAttempt,
  type AttemptOptions,
  type AttemptPeer,
} from './request-attempt.js';
import type {ResponseRelay} from './response-relay.js';
import {recordResponse, sampleEarlyTokens} from './response-sampling.js';
import type {ResponseHead} from './wire-format.js';

/** Failures with which the connection of a crashed target ends. */
const brokenFailures: ReadonlySet<ExchangeFailure> = new Set([
  exchangeFailures.noAnswer,
  exchangeFailures.cutOff,
]);

/** One attempt of a request at a target, from the assignment of a slot to its release. */
export class TargetAttempt extends RequestAttempt {
  override readonly exchange: Exchange;
  /** Prompt tokens that the target had to process then, with those of this request. */
  readonly promptTokensAtStart: number;
  private readonly watched: WatchedAttempt;
  private readonly begun: BegunAttempt;
  private promptRead = false;
  private failure: ExchangeFailure | undefined;
  private endCheck: OpenEndCheck | undefined;
  /** Prompt tokens that the target has not processed yet. */
  private pendingTokens: number;

  /**
   * @param parts - Dependencies of requests.
   * @param request - Request to send.
   * @param target - Target whose slot was taken.
   * @param options - What is added to the request.
   * @param handler - Receives the response.
   */
  constructor(
    parts: GatewayRequestParts,
    request: AdmittedRequest,
    readonly target: PooledTarget,
    {deadlineAtMs, lastEventId}: AttemptOptions,
    handler: ExchangeHandler,
  ) {
    super(parts, request);
    const {crashWatch, pool, wire} = parts;
    const {head, method, url, body, organisation, fingerprints} = request;
    const {requestId} = head;
    this.pendingTokens = head.promptTokens;
    this.promptTokensAtStart = target.pendingPromptTokens;
    const headers = wire.targetHeaders(head, {
      deadlineMs: deadlineAtMs - this.startMs,
      targetId: target.entry.id,
      organisation: organisation?.name,
      lastEventId,
    });
    this.exchange = new Exchange(
      pool.connections(target),
      wire,
      {method, path: url, headers, body, requestId},
      {
        ...handler,
        maySend: () => {
          const maySend = handler.maySend() && pool.maySend(target);
          this.withheld = !maySend;
          return maySend;
        },
      },
    );
    this.watched = crashWatch.started(target.entry, fingerprints);
    this.begun = new BegunAttempt(request.route.kind, this.startMs, atMs => {
      if (organisation) parts.onBegun?.(organisation.name, atMs);
    });
  }

  override get peer(): AttemptPeer {
    return {target: this.target.entry.id};
  }

  override get refusedReason(): GatewayRetryReason {
    return 'refused';
  }

  override get refusal(): RefusalName {
    return 'targetsRefuse';
  }

  /** Records the head of the response, with what the target reports about itself. */
  override recordHead(head: ResponseHead): void {
    super.recordHead(head);
    this.begun.head(head.notRun);
    const {target} = this;
    const nowMs = this.parts.clock.nowMs();
    target.ends.receivedAtMs = nowMs;
    if (head.load) target.recordTargetLoad(head.load, nowMs);
    this.parts.pool.recordStatement(target, head, this.startMs);
  }

  /** Records that the target is silent for too long, as a failure of the target. */
  override recordStall(sinceMs: number): void {
    const {clock, decisions} = this.parts;
    const {target} = this;
    this.stalled = true;
    target.recordOutcome(outcomes.failed, clock.nowMs());
    decisions.log('targetStalled', {
      request: this.request.head.requestId,
      target: target.entry.id,
      sinceMs: Math.round(sinceMs),
    });
  }

  /** Records the first event of a stream, and samples the speed of the target. */
  override recordData(relay: ResponseRelay): void {
    this.target.ends.receivedAtMs = this.parts.clock.nowMs();
    if (relay.events === 0) return;
    this.recordPromptRead();
    sampleEarlyTokens(this.request, relay, this.target);
  }

  private recordPromptRead(): void {
    if (this.promptRead) return;
    this.promptRead = true;
    this.begun.event(this.parts.clock.nowMs());
    this.parts.crashWatch.responded(this.watched);
    if (this.pendingTokens === 0) return;
    this.parts.pool.recordPromptRead(this.target, this.pendingTokens);
    this.pendingTokens = 0;
  }

  override recordResponse(relay: ResponseRelay, failed: boolean): void {
    // A request that this host withheld says nothing about the target or its version.
    if (this.withheld) return;
    recordResponse(this.parts, this.request, relay, this, failed);
  }

  override logFailure(failure: ExchangeFailure, reason: string): void {
    this.failure = failure;
    const {head, route, fingerprints} = this.request;
    this.parts.decisions.log('exchangeFailed', {
      request: head.requestId,
      target: this.target.entry.id,
      failure,
      reason,
      route: route.name,
      fingerprints,
      beside: this.target.localRequests - 1,
    });
  }

  /**
   * Checks whether a failure is one that a crash of the target brings about, so that the target has to be probed.
   *
   * @param failure - How the exchange ended.
   */
  private isBroken(failure: ExchangeFailure): boolean {
    return this.mayHaveArrived && brokenFailures.has(failure);
  }

  override checkEnd(onChecked: (isComplete: boolean) => void): void {
    const {parts, request, target} = this;
    const {requestId} = request.head;
    this.endCheck = new OpenEndCheck(parts, target, requestId, onChecked);
  }

  override checkCrash(failure: ExchangeFailure, onChecked: () => void): void {
    const {crashWatch} = this.parts;
    const {entry, isLeaving} = this.target;
    if (this.isBroken(failure)) {
      const wasClosed = !this.exchange.wasReset;
      return crashWatch.check(entry, {wasClosed, isLeaving}, onChecked);
    }
    // A target that was silent may have crashed, but a retry does not wait for the result.
    if (this.stalled) {
      crashWatch.check(entry, {wasClosed: false, isLeaving}, () => {});
    }
    onChecked();
  }

  /**
   * Maps a failure to the outcome of the attempt at the target.
   *
   * @param failure - How the exchange ended.
   */
  private failureOutcome(failure: ExchangeFailure): Outcome {
    if (this.withheld) return outcomes.cancelled;
    if (!this.mayHaveArrived) return outcomes.unreachable;
    // The stall was recorded as a failure when it was found.
    const wasStalled = failure === exchangeFailures.aborted && this.stalled;
    return wasStalled ? outcomes.cancelled : outcomes.failed;
  }

  override releaseFailed(failure: ExchangeFailure): void {
    const isBroken = this.isBroken(failure);
    if (isBroken && !this.endCheck) {
      this.target.ends.recordDoubtful(this.parts.clock.nowMs());
    }
    const outcome = this.failureOutcome(failure);
    this.release(outcome, isBroken ? attemptEnds.broken : undefined);
  }

  /**
   * Releases the slot.
   *
   * @param outcome - How the attempt ended at the target.
   * @param end - How it ended for the detection of crashes. A target that was silent may turn out to have crashed.
   */
  override release(
    outcome: Outcome,
    end: AttemptEnd = this.stalled ? attemptEnds.broken : attemptEnds.other,
  ): void {
    const {clock, crashWatch, dispatcher, pool, scheduling, stats} = this.parts;
    const {organisation, route, service} = this.request;
    this.endCheck?.cancel();
    if (this.mayHaveArrived) this.begun.end(clock.nowMs(), this.failure);
    crashWatch.ended(this.watched, end);
    pool.release(this.target, outcome, this.pendingTokens);
    if (scheduling?.shares) {
      const stream = route.kind === requestKinds.stream;
      const costMs = stats.slotMs(route.name, stream);
      const nowMs = clock.nowMs();
      const charged = {service, organisation: organisation?.name, costMs};
      scheduling.shares.released(charged, nowMs - this.startMs, nowMs);
    }
    dispatcher.serve(service);
  }
}
