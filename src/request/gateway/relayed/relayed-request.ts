import type {ServerResponse} from 'node:http';
import {
  exchangeFailures,
  type ExchangeFailure,
} from '../../../connection/gateway/exchange.js';
import {
  attemptEnds,
  type AttemptEnd,
} from '../../../process/crashes/running-attempts.js';
import {
  outcomes,
  type Outcome,
  type PooledTarget,
} from '../../../process/pool/pooled-target.js';
import {
  relayOutcomes,
  type RelayOutcome,
} from '../../../process/reach/relay-hosts.js';
import {
  computeDeadlineAtMs,
  toWaitingRequest,
  type AdmittedRequest,
  type GatewayRequestParts,
} from '../admitted-request.js';
import {stallTimeoutMs} from '../attempt-tracker.js';
import type {Ticket} from '../dispatcher.js';
import {ServedRequest, type RequestState} from '../open-request-check.js';
import type {RefusalName} from '../refusal-reasons.js';
import {withdrawIfOverloaded} from '../refuse-request.js';
import {ResponseRelay} from '../response-relay.js';
import {TargetAttempt} from '../target-attempt.js';
import type {ResponseHead} from '../wire-format.js';
import {isRelayHeader, relayRuns, type RelayRun} from './relay-headers.js';
import type {RelayRefusals} from './relay-refusals.js';

/** Dependencies of requests of other hosts. */
export interface RelayedRequestParts extends GatewayRequestParts {
  readonly refusals: RelayRefusals;
}

/**
 * Serves one request of another host with one attempt at a target. The other host has charged it to the quota, and
 * decides about retries.
 */
export class RelayedRequest extends ServedRequest {
  override readonly deadlineAtMs: number;
  private readonly relay: ResponseRelay;
  private ticket: Ticket | undefined;
  private attempt: TargetAttempt | undefined;
  private cancelTimer = () => {};
  /** Whether a target may have run the request. */
  private mayHaveRun = false;
  private done = false;

  /**
   * @param parts - Dependencies shared by all requests.
   * @param request - Request to serve.
   * @param host - Host with the caller.
   * @param res - Response to that host.
   * @param onDone - Called once, when the request has ended and released its resources.
   */
  constructor(
    private readonly parts: RelayedRequestParts,
    private readonly request: AdmittedRequest,
    private readonly host: string,
    private readonly res: ServerResponse,
    private readonly onDone: (request: RelayedRequest) => void,
  ) {
    super();
    this.deadlineAtMs = computeDeadlineAtMs(request);
    this.relay = new ResponseRelay(
      res,
      () => parts.closesAfter(res),
      {
        pause: () => this.attempt?.exchange.pause(),
        resume: () => this.attempt?.exchange.resume(),
        onUnread: () => parts.memory.chargeUnread(res),
      },
      parts.clock,
      // The host with the caller gathers events; the delays would add up.
      0,
    );
    res.on('close', () => this.hostLeft());
  }

  override get isWaiting(): boolean {
    return this.ticket !== undefined;
  }

  override get state(): RequestState {
    const {attempt, host, isWaiting, relay} = this;
    const {events, silentMs} = relay;
    return {
      from: host,
      waiting: isWaiting,
      ...attempt?.state,
      events,
      silentMs,
    };
  }

  /** Requests a slot. */
  start(): void {
    if (this.res.destroyed) return this.finish(relayOutcomes.cancelled);
    const {canaryRouter, clock, dispatcher} = this.parts;
    const delayMs = Math.max(0, this.deadlineAtMs - clock.nowMs());
    this.cancelTimer = clock.after(delayMs, () =>
      this.expire('expiredWaiting', 'expiredRunning'),
    );
    if (this.failIfBlocked()) return;
    const trial = canaryRouter.assignToCanary(this.request.service);
    const use = {exclude: new Set<string>(), trial};
    const ticket = dispatcher.requestSlot(
      toWaitingRequest(this.parts, this.request, use, undefined),
      target => this.send(target),
      () => {
        this.ticket = undefined;
        this.refuse('noSlot');
      },
    );
    if (!ticket) return;
    if (withdrawIfOverloaded(this.parts, ticket)) this.refuse('overloaded');
    else this.ticket = ticket;
  }

  /** Refuses a waiting request that is now known to crash targets; otherwise checks for a stalled target. */
  override check(nowMs: number): void {
    const {attempt, relay} = this;
    if (this.ticket && this.failIfBlocked()) return;
    if (!attempt || attempt.stalled || attempt.endChecked) return;
    const sinceMs = nowMs - Math.max(attempt.startMs, relay.readableSinceMs);
    if (sinceMs < stallTimeoutMs(this.request.route, relay.started)) return;
    // The host with the caller decides whether to send it elsewhere.
    attempt.recordStall(sinceMs);
  }

  override expire(unsent: RefusalName, running: RefusalName): void {
    if (this.done) return;
    this.abandon();
    if (this.relay.started) this.cutOff();
    else this.refuse(this.mayHaveRun ? running : unsent);
  }

  private send(target: PooledTarget): void {
    this.ticket = undefined;
    const {parts, request} = this;
    if (this.failIfBlocked()) {
      const {promptTokens} = request.head;
      return parts.pool.release(target, outcomes.cancelled, promptTokens);
    }
    const {deadlineAtMs} = this;
    const options = {deadlineAtMs};
    this.attempt = new TargetAttempt(parts, request, target, options, {
      maySend: () => !this.blocked,
      onHead: head => this.onHead(head),
      onData: chunk => this.onData(chunk),
      onEnd: () => this.onEnd(),
      onFailure: (failure, reason) => this.onFailure(failure, reason),
    });
    this.attempt.exchange.start();
  }

  private onHead(head: ResponseHead): void {
    this.attempt?.recordHead(head);
    if (head.notRun) return;
    this.mayHaveRun = true;
    const relayed = Object.fromEntries(
      Object.entries(head.relayed).filter(([name]) => !isRelayHeader(name)),
    );
    this.relay.begin({...head, relayed});
  }

  private onData(chunk: Buffer): void {
    const {attempt, relay} = this;
    if (attempt?.head?.notRun !== false) return;
    if (!relay.data(chunk, this.parts.clock.nowMs(), false)) {
      return attempt.exchange.reject('an event of the stream is too large');
    }
    attempt.recordData(relay);
  }

  private onEnd(): void {
    const {attempt, relay} = this;
    const head = attempt?.head;
    if (!attempt || !head) return;
    if (head.notRun) {
      this.release(outcomes.refused, attemptEnds.other);
      return this.refuse('targetsRefuse', relayRuns.targetRefused);
    }
    if (!relay.isComplete(head.framed)) {
      return this.onFailure(exchangeFailures.cutOff, 'ended within an event');
    }
    if (!head.framed && !attempt.endChecked) return this.checkOpenEnd(attempt);
    const failed = head.status >= 500;
    attempt.recordResponse(relay, failed);
    if (failed) this.release(outcomes.failed, attemptEnds.other);
    else this.release(outcomes.answered, attemptEnds.completed);
    relay.end();
    this.finish(relayOutcomes.answered);
  }

  /** Distinguishes the end of a response without a length from that of its target, which also closes the connection. */
  private checkOpenEnd(attempt: TargetAttempt): void {
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
    if (attempt.mayHaveArrived) this.mayHaveRun = true;
    attempt.logFailure(failure, reason);
    attempt.recordResponse(this.relay, true);
    this.attempt = undefined;
    attempt.releaseFailed(failure);
    attempt.checkCrash(failure, () => {
      if (this.done) return;
      if (this.relay.started) return this.cutOff();
      this.refuse(this.mayHaveRun ? 'targetFailed' : 'targetsRefuse');
    });
  }

  /** Fingerprint for which the request must not be sent, because targets crashed under it. */
  private get blocked() {
    return this.parts.crashWatch.blockedAmong(this.request.fingerprints);
  }

  private failIfBlocked(): boolean {
    if (!this.blocked) return false;
    this.abandon();
    this.refuse('crashesTargets');
    return true;
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

  private release(outcome: Outcome, end?: AttemptEnd): void {
    const {attempt} = this;
    this.attempt = undefined;
    attempt?.release(outcome, end);
  }

  private hostLeft(): void {
    if (this.done) return;
    this.abandon();
    this.finish(relayOutcomes.cancelled);
  }

  /** Ends a partly sent response so that the other host cannot take it for a complete one. */
  private cutOff(): void {
    this.relay.flush();
    this.res.destroy();
    this.finish(relayOutcomes.failed);
  }

  private refuse(
    name: RefusalName,
    run: RelayRun = this.mayHaveRun ? relayRuns.mayHaveRun : relayRuns.notSent,
  ): void {
    const {requestId} = this.request.head;
    const from = {host: this.host, res: this.res};
    this.parts.refusals.send(from, {name, run, requestId});
    const isRefused = run !== relayRuns.mayHaveRun;
    this.finish(isRefused ? relayOutcomes.refused : relayOutcomes.failed);
  }

  private finish(outcome: RelayOutcome): void {
    if (this.done) return;
    this.done = true;
    this.cancelTimer();
    this.relay.stop();
    this.parts.refusals.metrics.served(outcome);
    this.onDone(this);
  }
}
