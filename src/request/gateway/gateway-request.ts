import type {ServerResponse} from 'node:http';
import {
  exchangeFailures,
  type ExchangeFailure,
} from '../../connection/gateway/exchange.js';
import {
  attemptEnds,
  type AttemptEnd,
} from '../../process/crashes/running-attempts.js';
import type {GatewayRetryReason} from '../../process/gateway-metrics.js';
import {outcomes, type Outcome} from '../../process/pool/pooled-target.js';
import {requestKinds} from '../../version/deployment/types.js';
import {
  computeDeadlineAtMs,
  takeQuota,
  toWaitingRequest,
  quotaUnits,
  type AdmittedRequest,
  type GatewayRequestParts,
} from './admitted-request.js';
import {
  chooseRelay,
  createAttempt,
  releasePlace,
  reserveRetry,
  type AttemptPlace,
} from './attempt-place.js';
import {recordDelivery} from './response-sampling.js';
import {ResponseRelay} from './response-relay.js';
import type {Ticket} from './dispatcher.js';
import {ServedRequest, type RequestState} from './open-request-check.js';
import type {RefusalName} from './refusal-reasons.js';
import {
  abortResponse,
  recordCallerLeft,
  refuseRequest,
  returnAfterMs,
  withdrawIfOverloaded,
} from './refuse-request.js';
import type {AttemptPeer, RequestAttempt} from './request-attempt.js';
import {Attempts, isFreeRetry, stallTimeoutMs} from './attempt-tracker.js';
import type {ResponseHead} from './wire-format.js';

/** Serves one admitted request until its response ends. */
export class GatewayRequest extends ServedRequest {
  override readonly deadlineAtMs: number;
  private readonly routeAllowsRetry: boolean;
  private readonly attempts: Attempts;
  private readonly relay: ResponseRelay;
  private readonly trial: boolean;
  private readonly units: number;
  private ticket: Ticket | undefined;
  private attempt: RequestAttempt | undefined;
  /** Place that was taken for the retry of an attempt that is about to be aborted. */
  private reserved: AttemptPlace | undefined;
  private cancelTimer = () => {};
  private mayHaveRun = false;
  private done = false;

  /**
   * @param parts - Dependencies shared by all requests.
   * @param request - Request to serve.
   * @param res - Response to the caller.
   * @param onDone - Called once, when the request has ended and released its resources.
   */
  constructor(
    private readonly parts: GatewayRequestParts,
    private readonly request: AdmittedRequest,
    private readonly res: ServerResponse,
    private readonly onDone: (request: GatewayRequest) => void,
  ) {
    super();
    const {route, service} = request;
    this.deadlineAtMs = computeDeadlineAtMs(request);
    this.routeAllowsRetry =
      route.kind === requestKinds.idempotent ||
      (route.kind === requestKinds.stream && route.resumable);
    this.attempts = new Attempts(request, this.deadlineAtMs, parts.retryBudget);
    this.trial = parts.canaryRouter.assignToCanary(service);
    this.units = quotaUnits(request);
    this.relay = new ResponseRelay(
      res,
      () => parts.closesAfter(res),
      {
        pause: () => this.attempt?.exchange.pause(),
        resume: () => this.attempt?.exchange.resume(),
        onUnread: () => parts.memory.chargeUnread(res),
      },
      parts.clock,
      parts.eventDelayMs,
    );
    res.on('close', () => this.callerLeft());
  }

  override get isWaiting(): boolean {
    return this.ticket !== undefined;
  }

  /** Charges the quota and requests a slot; refuses the request if its quota is used up. */
  start(): void {
    const {clock, retryBudget} = this.parts;
    const nowMs = clock.nowMs();
    if (this.res.destroyed) return this.finish();
    retryBudget.request(this.request.service, nowMs);
    const waitMs = takeQuota(this.parts, this.request, this.units, nowMs);
    if (waitMs > 0) return this.refuse('overQuota', this.returnMs(waitMs));
    this.cancelTimer = clock.after(Math.max(0, this.deadlineAtMs - nowMs), () =>
      this.expire('expiredWaiting', 'expiredRunning'),
    );
    this.requestSlot();
  }

  /**
   * Refuses a waiting request that is now known to crash targets, and sends one through another host that has no target
   * to wait for. Otherwise checks for a stalled target, and retries the request elsewhere if that is possible.
   */
  override check(nowMs: number): void {
    const {attempt, relay} = this;
    if (this.ticket && (this.failIfBlocked() || this.sendThroughHost())) return;
    if (!attempt || attempt.stalled || attempt.endChecked) return;
    const sinceMs = nowMs - Math.max(attempt.startMs, relay.readableSinceMs);
    if (sinceMs < stallTimeoutMs(this.request.route, relay.started)) return;
    attempt.recordStall(sinceMs);
    // A request that may not be sent again goes on where it runs.
    if (!this.isRetryable() || this.blocked) return;
    const {attempts, parts, request} = this;
    this.reserved = reserveRetry(parts, request, attempts, attempt);
    if (this.reserved) attempt.exchange.abort();
  }

  override get state(): RequestState {
    const {attempt, attempts, relay} = this;
    return {
      waiting: this.isWaiting,
      ...attempt?.state,
      ...attempts.state,
      events: relay.events,
      silentMs: relay.silentMs,
      retryable: this.isRetryable(),
    };
  }

  private requestSlot(): void {
    if (this.failIfBlocked() || this.sendThroughHost()) return;
    const {attempts, parts, relay, trial} = this;
    const use = {exclude: attempts.excluded, trial};
    const ticket = parts.dispatcher.requestSlot(
      toWaitingRequest(parts, this.request, use, relay.silentMs),
      target => this.send({target}),
      () => this.onNoSlot(),
    );
    // An attempt that failed at once may already have put the request in the queue again, with another ticket.
    if (!ticket) return;
    if (relay.started || !withdrawIfOverloaded(parts, ticket)) {
      this.ticket = ticket;
    } else this.refuse('overloaded', this.returnMs(0));
  }

  /** Sends the request through another host if this one reaches no target. */
  private sendThroughHost(): boolean {
    const {attempts, parts, request, ticket} = this;
    const {isWaiting, routeAllowsRetry: isRepeatable} = this;
    const state = {isRepeatable, isWaiting};
    const place = chooseRelay(parts, request, attempts, state);
    if (!place) return false;
    if (ticket) parts.dispatcher.withdraw(ticket);
    this.send(place);
    return true;
  }

  private send(place: AttemptPlace): void {
    const {parts, request} = this;
    this.ticket = undefined;
    if (this.failIfBlocked()) return releasePlace(parts, request, place);
    this.attempts.sent();
    this.attempt = createAttempt(
      parts,
      request,
      place,
      {
        deadlineAtMs: this.deadlineAtMs,
        lastEventId: this.relay.lastEventId,
      },
      {
        maySend: () => !this.blocked,
        onHead: response => this.onHead(response),
        onData: chunk => this.onData(chunk),
        onEnd: () => this.onEnd(),
        onFailure: (failure, reason) => this.onFailure(failure, reason),
      },
    );
    this.attempt.exchange.start();
  }

  private onHead(head: ResponseHead): void {
    const {attempt} = this;
    attempt?.recordHead(head);
    if (!attempt || head.notRun) return;
    if (head.refusal) {
      const {noAnswer} = exchangeFailures;
      return attempt.exchange.reject(head.refusal.name, noAnswer);
    }
    this.mayHaveRun = true;
    this.attempts.returnSpare(this.parts.clock.nowMs());
    if (this.relay.begin(head)) return;
    const reason = `status ${head.status} does not continue the stream`;
    attempt.exchange.reject(reason, exchangeFailures.noContinuation);
  }

  private onData(chunk: Buffer): void {
    const {attempt} = this;
    if (attempt?.head?.notRun !== false) return;
    const {clock} = this.parts;
    const {relay} = this;
    if (!relay.data(chunk, clock.nowMs(), this.routeAllowsRetry)) {
      return attempt.exchange.reject('an event of the stream is too large');
    }
    attempt.recordData(relay);
  }

  private onEnd(): void {
    const {attempt} = this;
    const head = attempt?.head;
    if (!attempt || !head) return;
    if (head.notRun) {
      this.release(outcomes.refused, attemptEnds.other);
      const isRetried = this.retry(attempt.refusedReason, attempt.peer);
      return isRetried ? undefined : this.failWith(attempt.refusal);
    }
    if (!this.relay.isComplete(head.framed)) {
      return this.onFailure(exchangeFailures.cutOff, 'ended within an event');
    }
    if (!head.framed && !attempt.endChecked) {
      return this.checkOpenEnd(attempt);
    }
    this.attempts.ran();
    const failed = head.status >= 500;
    attempt.recordResponse(this.relay, failed);
    if (failed) this.release(outcomes.failed, attemptEnds.other);
    else this.release(outcomes.answered, attemptEnds.completed);
    if (this.isRetryable() && failed && this.retry('failed', attempt.peer)) {
      return;
    }
    this.relay.end();
    recordDelivery(this.parts, this.request, this.relay);
    this.finish();
  }

  /** Distinguishes the end of a response without a length from that of its target, which also closes the connection. */
  private checkOpenEnd(attempt: RequestAttempt): void {
    attempt.endChecked = true;
    attempt.checkEnd(isComplete => {
      if (this.attempt !== attempt) return;
      if (isComplete) this.onEnd();
      else this.onFailure(exchangeFailures.cutOff, 'target ended');
    });
  }

  private onFailure(failure: ExchangeFailure, reason: string): void {
    const {attempt} = this;
    if (!attempt) return;
    const {mayHaveArrived} = attempt;
    if (mayHaveArrived) {
      this.mayHaveRun = true;
      this.attempts.ran();
    }
    attempt.logFailure(failure, reason);
    attempt.recordResponse(this.relay, true);
    this.attempt = undefined;
    attempt.releaseFailed(failure);
    const isUnsent = !mayHaveArrived && !this.relay.started;
    const canRetry = isUnsent || this.isRetryable();
    const why = attempt.retryReason(failure);
    const proceed = () => {
      if (this.done || (!this.reserved && this.failIfBlocked())) return;
      if (canRetry && this.retry(why, attempt.peer)) return;
      this.failWith(attempt.refusal);
    };
    attempt.checkCrash(failure, proceed);
  }

  /** Fingerprint for which the request must not be sent, because targets crashed under it. */
  private get blocked() {
    return this.parts.crashWatch.blockedAmong(this.request.fingerprints);
  }

  private failIfBlocked(): boolean {
    const {blocked} = this;
    if (!blocked) return false;
    const {decisions, dispatcher} = this.parts;
    const {head} = this.request;
    if (this.ticket) dispatcher.withdraw(this.ticket);
    this.ticket = undefined;
    decisions.log('requestBlocked', {request: head.requestId, ...blocked});
    this.failWith('crashesTargets', blocked.forMs);
    return true;
  }

  /** Ends the request without another attempt; the refusal applies if no target can have run it. */
  private failWith(refusal: RefusalName, returnMs = this.returnMs(0)): void {
    if (this.relay.started) this.abortResponse(refusal, this.state);
    else if (this.mayHaveRun) this.refuse('targetFailed');
    else this.refuse(refusal, returnMs);
  }

  /** Whether the route and the relayed part of the response allow a retry on another target. */
  private isRetryable(): boolean {
    return this.routeAllowsRetry && this.relay.canRestart;
  }

  private retry(why: GatewayRetryReason, peer: AttemptPeer): boolean {
    const {clock, decisions, metrics} = this.parts;
    const {reserved} = this;
    this.reserved = undefined;
    if (!reserved && !this.attempts.takeRetry(why, peer, clock.nowMs())) {
      return false;
    }
    const {organisation, head} = this.request;
    // Each run is charged to the quota; an attempt that did not run was charged already.
    if (organisation && why !== 'refused' && !isFreeRetry(why)) {
      this.parts.quotas.charge(organisation.name, this.units);
    }
    this.relay.restart();
    metrics.retried(why);
    decisions.log('requestResent', {request: head.requestId, ...peer, why});
    if (reserved) this.send(reserved);
    else this.requestSlot();
    return true;
  }

  private release(outcome: Outcome, end?: AttemptEnd): void {
    const {attempt} = this;
    this.attempt = undefined;
    attempt?.release(outcome, end);
  }

  private onNoSlot(): void {
    this.ticket = undefined;
    // Its caller may still wait for a begun stream, and decides itself when to leave.
    if (this.relay.started) this.requestSlot();
    else this.failWith('noSlot');
  }

  override expire(unsent: RefusalName, running: RefusalName): void {
    if (this.done) return;
    const {attempt, state} = this;
    this.abandon();
    if (this.relay.started) this.abortResponse(running, state);
    else this.refuse(attempt || this.mayHaveRun ? running : unsent);
  }

  private callerLeft(): void {
    if (this.done) return;
    recordCallerLeft(this.parts, this.request, this.attempt?.peer);
    this.abandon();
    this.finish();
  }

  /** Withdraws the request from the queue or aborts its attempt. */
  private abandon(): void {
    if (this.ticket) this.parts.dispatcher.withdraw(this.ticket);
    this.ticket = undefined;
    const {attempt} = this;
    if (!attempt) return;
    if (attempt.mayHaveArrived) this.mayHaveRun = true;
    this.release(outcomes.cancelled);
    attempt.exchange.abort();
  }

  private abortResponse(why: string, state: RequestState): void {
    this.relay.flush();
    abortResponse(this.parts, this.request, this.res, {why, ...state});
    this.finish();
  }

  private refuse(name: RefusalName, returnMs?: number): void {
    const {quotas} = this.parts;
    const {organisation} = this.request;
    if (name !== 'overQuota' && organisation && !this.mayHaveRun) {
      quotas.refund(organisation.name, this.units);
    }
    refuseRequest(this.parts, this.request, this.res, name, returnMs);
    this.finish();
  }

  private returnMs(waitMs: number): number {
    return returnAfterMs(this.parts, this.request, this.deadlineAtMs, waitMs);
  }

  private finish(): void {
    if (this.done) return;
    this.done = true;
    this.cancelTimer();
    this.attempts.returnSpare(this.parts.clock.nowMs());
    this.relay.stop();
    this.onDone(this);
  }
}
