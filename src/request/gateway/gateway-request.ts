import type {ServerResponse} from 'node:http';
import {
  Exchange,
  exchangeFailures,
  type ExchangeFailure,
} from '../../connection/gateway/exchange.js';
import type {GatewayRetryReason} from '../../process/gateway-metrics.js';
import {
  outcomes,
  type Outcome,
  type PooledTarget,
} from '../../process/pool/pooled-target.js';
import {requestKinds} from '../../version/deployment/types.js';
import {
  endsAtMsOf,
  returnedQuotaPart,
  spentBeforeMs,
  toSlotRequest,
  unitsOf,
  type AdmittedRequest,
  type GatewayRequestParts,
} from './admitted-request.js';
import {learnEarly, learnFromAnswer} from './response-sampling.js';
import {ResponseRelay} from './response-relay.js';
import type {Ticket} from './dispatcher.js';
import {maxWaitMs, computeRetryAfterMs} from './wait-policy.js';
import type {RefusalName} from './refusal-reasons.js';
import {refuseRequest} from './refuse-request.js';
import {Sends, stallLimitMs} from './attempt-tracker.js';
import type {ResponseHead} from './wire-format.js';

interface Attempt {
  readonly target: PooledTarget;
  readonly exchange: Exchange;
  readonly startMs: number;
  head?: ResponseHead;
  /** Prompt tokens that the target has not read yet. */
  unreadTokens: number;
  /** Whether the target was already blamed for not answering. */
  stalled: boolean;
}

/** Serves one request from its admission to its last byte. */
export class GatewayRequest {
  private readonly endsAtMs: number;
  private readonly repeatable: boolean;
  private readonly sends: Sends;
  private readonly relay: ResponseRelay;
  private readonly trial: boolean;
  private readonly units: number;
  private ticket: Ticket | undefined;
  private attempt: Attempt | undefined;
  private cancelTimer = () => {};
  private mayHaveRun = false;
  private done = false;

  /**
   * @param parts - Parts of the process.
   * @param request - Request to serve.
   * @param res - Answer to the caller.
   * @param onDone - Called once, when nothing of the request is left.
   */
  constructor(
    private readonly parts: GatewayRequestParts,
    private readonly request: AdmittedRequest,
    private readonly res: ServerResponse,
    private readonly onDone: (request: GatewayRequest) => void,
  ) {
    const {route, service} = request;
    this.endsAtMs = endsAtMsOf(request);
    this.repeatable =
      route.kind === requestKinds.idempotent ||
      (route.kind === requestKinds.stream && route.resumable);
    this.sends = new Sends(request, this.endsAtMs, parts.retries);
    this.trial = parts.trials.assignToCanary(service);
    this.units = unitsOf(request);
    this.relay = new ResponseRelay(res, parts.isDraining, {
      pause: () => this.attempt?.exchange.pause(),
      resume: () => this.attempt?.exchange.resume(),
    });
    res.on('close', () => this.callerLeft());
    res.on('error', () => {}); // 'close' follows.
  }

  /** Starts to serve the request. */
  start(): void {
    const {clock, quotas, retries} = this.parts;
    const {organisation, service} = this.request;
    const nowMs = clock.nowMs();
    if (this.res.destroyed) return this.finish();
    retries.request(service, nowMs);
    if (organisation && organisation.ratePerSecond > 0) {
      const waitMs = quotas.take(
        organisation.name,
        {rate: organisation.ratePerSecond, burst: organisation.burst},
        this.units,
        nowMs,
        spentBeforeMs(this.request) > 0 ? returnedQuotaPart : 0,
      );
      if (waitMs > 0) {
        return this.refuse('overQuota', this.returnMs(waitMs));
      }
    }
    this.cancelTimer = clock.after(Math.max(0, this.endsAtMs - nowMs), () =>
      this.expired(),
    );
    this.ask();
  }

  /**
   * Looks for a target that has stopped to answer.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  check(nowMs: number): void {
    const {attempt} = this;
    if (!attempt || attempt.stalled) return;
    const {route} = this.request;
    const sinceMs = nowMs - Math.max(attempt.startMs, this.relay.lastAtMs ?? 0);
    if (sinceMs < stallLimitMs(route.objectiveMs, this.relay.started)) return;
    attempt.stalled = true;
    attempt.target.recordOutcome(outcomes.failed, nowMs);
    this.parts.decisions.log('targetStalled', {
      request: this.request.head.requestId,
      target: attempt.target.entry.id,
      sinceMs: Math.round(sinceMs),
    });
    if (!this.isRetryable() || !this.sends.allowsAnother(nowMs)) return;
    // A slow answer is still better than none.
    const elsewhere = toSlotRequest(this.request, this.parts.stats, {
      untilMs: nowMs,
      exclude: new Set([...this.sends.excluded, attempt.target.entry.id]),
      trial: false,
    });
    if (this.parts.pool.hasRoom(elsewhere, nowMs)) attempt.exchange.abort();
  }

  private ask(): void {
    const {clock, dispatcher, stats} = this.parts;
    const {route} = this.request;
    const nowMs = clock.nowMs();
    const stream = route.kind === requestKinds.stream;
    const heldMs = maxWaitMs({
      objectiveMs: route.objectiveMs,
      leftMs: this.endsAtMs - nowMs,
      answerMs: stats.firstMs(route.name),
      returned: spentBeforeMs(this.request) > 0,
      stream,
    });
    const asked = toSlotRequest(this.request, stats, {
      untilMs: nowMs + heldMs,
      exclude: this.sends.excluded,
      trial: this.trial,
    });
    this.ticket = dispatcher.requestSlot(
      asked,
      target => this.send(target),
      () => this.noSlot(),
    );
    // The slot may have been given before the ticket was returned.
    if (this.attempt) this.ticket = undefined;
  }

  private send(target: PooledTarget): void {
    const {clock, pool, wire} = this.parts;
    const {head, method, url, body, organisation} = this.request;
    this.ticket = undefined;
    const nowMs = clock.nowMs();
    this.sends.sent();
    const headers = wire.targetHeaders(head, {
      deadlineMs: this.endsAtMs - nowMs,
      targetId: target.entry.id,
      organisation: organisation?.name,
      lastEventId: this.relay.lastEventId,
    });
    const {requestId} = head;
    const exchange = new Exchange(
      pool.connections(target),
      wire,
      {method, path: url, headers, body, requestId},
      {
        onHead: answer => this.onHead(answer),
        onData: chunk => this.onData(chunk),
        onEnd: () => this.onEnd(),
        onFailure: (failure, reason) => this.onFailure(failure, reason),
      },
    );
    this.attempt = {
      target,
      exchange,
      startMs: nowMs,
      unreadTokens: head.promptTokens,
      stalled: false,
    };
    exchange.start();
  }

  private onHead(answer: ResponseHead): void {
    const {attempt} = this;
    if (!attempt) return;
    attempt.head = answer;
    const {target} = attempt;
    const nowMs = this.parts.clock.nowMs();
    if (answer.coldMs) {
      target.coldUntilMs = Math.max(target.coldUntilMs, nowMs + answer.coldMs);
    }
    if (answer.load) target.recordTargetLoad(answer.load, nowMs);
    if (!answer.notRun) {
      this.mayHaveRun = true;
      this.relay.begin(answer);
    }
  }

  private onData(chunk: Buffer): void {
    const {attempt} = this;
    if (attempt?.head?.notRun !== false) return;
    const {clock, pool} = this.parts;
    this.relay.data(chunk, clock.nowMs(), this.isRetryable());
    if (this.relay.events === 0) return;
    if (attempt.unreadTokens > 0) {
      pool.recordPromptRead(attempt.target, attempt.unreadTokens);
      attempt.unreadTokens = 0;
    }
    learnEarly(this.request, this.relay, attempt.target);
  }

  private onEnd(): void {
    const {attempt} = this;
    const head = attempt?.head;
    if (!attempt || !head) return;
    if (head.notRun) {
      this.release(outcomes.refused);
      return this.afterRefusal(attempt.target);
    }
    if (!this.relay.isWhole(head.framed)) {
      return this.onFailure(exchangeFailures.cutOff, 'ends within an event');
    }
    this.sends.ran();
    const failed = head.status >= 500;
    this.learn(attempt, failed);
    this.release(failed ? outcomes.failed : outcomes.answered);
    if (this.isRetryable() && failed && this.repeat('failed', attempt.target)) {
      return;
    }
    this.relay.end();
    this.parts.metrics.answered({
      firstMs:
        (this.relay.firstAtMs ?? this.parts.clock.nowMs()) -
        this.request.arrivedMs,
      totalMs: this.parts.clock.nowMs() - this.request.arrivedMs,
    });
    this.finish();
  }

  private onFailure(failure: ExchangeFailure, reason: string): void {
    const {attempt} = this;
    if (!attempt) return;
    const {target, exchange} = attempt;
    const arrived = exchange.mayHaveArrived;
    const stalled = failure === exchangeFailures.aborted && attempt.stalled;
    if (arrived) {
      this.mayHaveRun = true;
      this.sends.ran();
    }
    this.parts.decisions.log('exchangeFailed', {
      request: this.request.head.requestId,
      target: target.entry.id,
      failure,
      reason,
    });
    this.learn(attempt, true);
    this.release(
      !arrived
        ? outcomes.unreachable
        : stalled
          ? outcomes.cancelled
          : outcomes.failed,
    );
    const repeatable = arrived ? this.isRetryable() : !this.relay.started;
    if (repeatable && this.repeat(arrived ? failure : 'not-sent', target)) {
      return;
    }
    if (this.relay.started) this.breakOff();
    else if (this.mayHaveRun) this.refuse('targetFailed');
    else this.refuse('targetsRefuse', this.returnMs(0));
  }

  private afterRefusal(target: PooledTarget): void {
    if (this.repeat('refused', target)) return;
    if (this.relay.started) return this.breakOff();
    if (this.mayHaveRun) return this.refuse('targetFailed');
    this.refuse('targetsRefuse', this.returnMs(0));
  }

  /** Whether what was relayed allows another target to go on. */
  private isRetryable(): boolean {
    if (!this.relay.started) return this.repeatable;
    return this.repeatable && this.relay.canResume;
  }

  private repeat(why: GatewayRetryReason, target: PooledTarget): boolean {
    const {clock, decisions, metrics} = this.parts;
    const {id} = target.entry;
    if (!this.sends.takeRepeat(why, id, clock.nowMs())) return false;
    const {organisation, head} = this.request;
    // Each run counts against the quota, not each request; what did not run is paid already.
    if (organisation && why !== 'refused' && why !== 'not-sent') {
      this.parts.quotas.charge(organisation.name, this.units);
    }
    this.relay.restart();
    metrics.retried(why);
    decisions.log('requestResent', {request: head.requestId, target: id, why});
    this.ask();
    return true;
  }

  private learn({target, startMs}: Attempt, failed: boolean): void {
    const {parts, relay, request} = this;
    learnFromAnswer(parts, request, relay, target, startMs, failed);
  }

  private release(outcome: Outcome): void {
    const {attempt} = this;
    if (!attempt) return;
    this.attempt = undefined;
    this.parts.pool.release(attempt.target, outcome, attempt.unreadTokens);
    this.parts.dispatcher.serve(this.request.service);
  }

  private noSlot(): void {
    this.ticket = undefined;
    if (this.relay.started) this.breakOff();
    else if (this.mayHaveRun) this.refuse('targetFailed');
    else this.refuse('noSlot', this.returnMs(0));
  }

  private expired(): void {
    if (this.done) return;
    const waiting = this.attempt === undefined;
    this.abandon();
    if (this.relay.started) this.breakOff();
    else if (waiting && !this.mayHaveRun) this.refuse('expiredWaiting');
    else this.refuse('expiredRunning');
  }

  private callerLeft(): void {
    if (this.done) return;
    this.abandon();
    this.parts.metrics.callerLeft();
    this.finish();
  }

  /** Withdraws the request from the queue or from its target. */
  private abandon(): void {
    if (this.ticket) this.parts.dispatcher.withdraw(this.ticket);
    this.ticket = undefined;
    const {attempt} = this;
    if (!attempt) return;
    if (attempt.exchange.mayHaveArrived) this.mayHaveRun = true;
    this.release(outcomes.cancelled);
    attempt.exchange.abort();
  }

  private breakOff(): void {
    this.parts.metrics.responseAborted();
    this.parts.decisions.log('answerBrokenOff', {
      request: this.request.head.requestId,
    });
    this.res.destroy();
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
    const {clock, dispatcher, random} = this.parts;
    const backlogMs = dispatcher.backlogMs(this.request.service);
    return computeRetryAfterMs(
      Math.max(waitMs, backlogMs),
      this.endsAtMs - clock.nowMs(),
      random(),
    );
  }

  private finish(): void {
    if (this.done) return;
    this.done = true;
    this.cancelTimer();
    this.onDone(this);
  }
}
