import type {
  TargetResponse,
  TargetClient,
} from '../connection/target/target-client.js';
import {FailureError} from '../process/errors/catalogue.js';
import type {AttemptDecision, Observation} from './attempt-decision.js';
import type {AttemptParts, Job, StopReason} from './attempt-loop.js';
import type {AbortReason} from './response-sink.js';
import type {Grant} from './dispatcher.js';
import {Relay} from './relay.js';
import type {AttemptOutcome} from './scheduler/types.js';

/** Maximum number of resumptions of one stream. */
const maxResumes = 3;
/** Maximum response body that is read and discarded to keep its connection open, in bytes. */
const maxDrainedBytes = 64 * 1024;

/** Grant and context of one attempt. */
export interface AttemptInput {
  readonly grant: Grant;
  readonly attemptId: string;
  readonly caller: AbortSignal;
  /** Looks up the failure table. */
  readonly decide: (
    observation: Observation,
    resumable: boolean,
  ) => AttemptDecision;
}

/** Outcome of an attempt. */
export interface AttemptResult {
  readonly decision: AttemptDecision;
  readonly relay: Relay;
  /** Whether the target may have run the request. */
  readonly mayHaveRun: boolean;
  /** Whether the attempt is certain to have stopped at the target, so that another may start. */
  readonly confirmedStopped: boolean;
  /** Cancels the attempt once more, and returns whether it is certain to have stopped. */
  readonly confirmStopped: () => Promise<boolean>;
}

/**
 * Sends a request to the granted target and relays the response, resuming the stream if its
 * connection breaks. Releases the permit in every case.
 *
 * @param parts - Dependencies.
 * @param job - Request to send.
 * @param input - Grant and context of the attempt.
 * @returns The decision that follows the attempt, and what is known about its execution.
 * @throws {@link FailureError} of kind `caller-left` if the caller disconnected.
 */
export function runAttempt(
  parts: AttemptParts,
  job: Job,
  input: AttemptInput,
): Promise<AttemptResult> {
  return new SingleAttempt(parts, job, input).run();
}

class SingleAttempt {
  private readonly client: TargetClient;
  private readonly relay: Relay;
  private readonly stop = new AbortController();
  private stopReason: StopReason | undefined;
  private readonly startMs: number;
  private result: AttemptOutcome['result'] = 'broken';
  private mayHaveRun = true;
  private confirmedStopped = true;
  private resumes = 0;

  constructor(
    private readonly parts: AttemptParts,
    private readonly job: Job,
    private readonly attempt: AttemptInput,
  ) {
    const {type} = job.admitted.service.spec;
    this.client = parts.client(attempt.grant.target, type);
    this.startMs = parts.clock.nowMs();
    this.relay = new Relay({
      clock: parts.clock,
      sink: job.sink,
      model: type === 'model',
      record: job.record,
      onStart: () => attempt.grant.relayed(),
      onProgress: (tokens, firstTokenMs) =>
        attempt.grant.progress(tokens, firstTokenMs),
    });
  }

  async run(): Promise<AttemptResult> {
    const {grant, attemptId, caller} = this.attempt;
    const {crashEvidence, clock} = this.parts;
    const onDisconnect = () => this.stopAttempt('caller-left');
    const onPreempt = () => this.stopAttempt('preempted');
    const cancelTimer = clock.after(this.job.deadlineAtMs - this.startMs, () =>
      this.stopAttempt('deadline'),
    );
    // A response that is recorded is read to its end even if the caller disconnects, so that it can
    // be replayed to a retry.
    if (!this.job.record) {
      caller.addEventListener('abort', onDisconnect, {once: true});
      if (caller.aborted) onDisconnect();
    }
    // A non-idempotent request is not preempted by a higher tier, since it must not run again.
    if (this.job.admitted.idempotent) {
      grant.preempted.addEventListener('abort', onPreempt, {once: true});
      if (grant.preempted.aborted) onPreempt();
    }
    crashEvidence.started(grant.target.name, attemptId, this.job.fingerprints);
    try {
      const decision = await this.sendRequest();
      return {
        decision,
        relay: this.relay,
        mayHaveRun: this.mayHaveRun,
        confirmedStopped: this.confirmedStopped,
        confirmStopped: async () => {
          await this.confirmStopped();
          return this.confirmedStopped;
        },
      };
    } finally {
      cancelTimer();
      caller.removeEventListener('abort', onDisconnect);
      grant.preempted.removeEventListener('abort', onPreempt);
      this.release();
    }
  }

  private stopAttempt(reason: StopReason): void {
    this.stopReason ??= reason;
    this.stop.abort(reason);
  }

  private async sendRequest(): Promise<AttemptDecision> {
    const {admitted, method, headers, body} = this.job;
    let response: TargetResponse;
    try {
      response = await this.client.send(
        {
          attemptId: this.attempt.attemptId,
          method,
          path: admitted.targetPath,
          headers,
          body,
          idempotent: admitted.idempotent,
        },
        this.stop.signal,
      );
    } catch (err) {
      return this.handleFailure(toFailure(err), false);
    }
    const decision = this.readHead(response);
    if (decision.kind !== 'relay') {
      discardBody(response);
      return decision;
    }
    return this.relayResponse(response);
  }

  private readHead(response: TargetResponse): AttemptDecision {
    const {status} = response;
    const notRun = response.headers['x-execution'] === 'not-run';
    if (status === 429 || (status === 503 && notRun)) {
      this.mayHaveRun = false;
      this.result = 'busy';
      return this.attempt.decide({kind: 'busy', status}, false);
    }
    this.result = status >= 500 ? 'failed' : 'ok';
    return this.attempt.decide({kind: 'answer', status}, false);
  }

  private async relayResponse(
    response: TargetResponse,
  ): Promise<AttemptDecision> {
    try {
      await this.relay.run(response);
      return {kind: 'relay'};
    } catch (err) {
      return this.handleFailure(toFailure(err), true);
    }
  }

  private async handleFailure(
    failure: FailureError['failure'],
    headReceived: boolean,
  ): Promise<AttemptDecision> {
    if (this.stopReason !== undefined || failure.kind === 'caller-left') {
      return this.handleStop(failure);
    }
    if (failure.kind === 'target-unreachable') {
      this.mayHaveRun = false;
      this.result = 'not-started';
      if (failure.reason === 'ECONNREFUSED') this.reportCrash();
      return this.attempt.decide({kind: 'not-started'}, false);
    }
    this.result = 'broken';
    const {grant} = this.attempt;
    this.parts.logger.event('attemptFailed', {
      request: this.job.admitted.id,
      target: grant.target.name,
      kind: failure.kind,
    });
    const relayed = this.job.sink.started;
    const observation: Observation =
      headReceived || this.resumes > 0
        ? {kind: 'broken', relayed}
        : {kind: 'no-answer'};
    const resumable =
      this.client.resumable &&
      this.job.stream &&
      this.relay.aligned &&
      this.resumes < maxResumes &&
      failure.kind !== 'target-resume-refused';
    const decision = this.attempt.decide(observation, resumable);
    if (decision.kind === 'resume') return this.resume();
    if (await this.client.isDown()) {
      this.result = 'crashed';
      this.reportCrash();
    } else {
      await this.confirmStopped();
    }
    if (decision.kind === 'break') this.abortResponse('answer-broken');
    return decision;
  }

  private async resume(): Promise<AttemptDecision> {
    this.resumes++;
    let response: TargetResponse;
    try {
      response = await this.client.resume(
        this.attempt.attemptId,
        this.relay.events,
        this.stop.signal,
      );
    } catch (err) {
      const {failure} = asFailureError(err);
      const target = this.attempt.grant.target.name;
      return this.handleFailure(
        failure.kind === 'caller-left'
          ? failure
          : {kind: 'target-resume-refused', target, status: 0},
        true,
      );
    }
    this.parts.metrics.retry('resumed');
    this.result = 'ok';
    return this.relayResponse(response);
  }

  private async handleStop(
    failure: FailureError['failure'],
  ): Promise<AttemptDecision> {
    const reason = this.stopReason ?? 'caller-left';
    const relayed = this.job.sink.started;
    const started = failure.kind !== 'target-unreachable';
    this.mayHaveRun = started;
    this.result = 'cancelled';
    if (started) await this.confirmStopped();
    if (reason === 'caller-left') {
      throw new FailureError({kind: 'caller-left', execution: 'unknown'});
    }
    const decision = this.attempt.decide(
      reason === 'preempted'
        ? {kind: 'preempted', relayed}
        : {kind: 'deadline', dispatched: started, relayed},
      false,
    );
    if (decision.kind === 'break') {
      this.abortResponse(
        reason === 'preempted' ? 'preempted' : 'deadline-exceeded-running',
      );
    }
    return decision;
  }

  private abortResponse(reason: AbortReason): void {
    const {admitted, sink} = this.job;
    this.parts.metrics.broken(reason, admitted.tier);
    sink.abort(reason);
  }

  /** Cancels the attempt at the engine. Plain services end a request when its connection closes. */
  private async confirmStopped(): Promise<void> {
    if (!this.client.resumable) return;
    this.confirmedStopped =
      (await this.client.cancel(this.attempt.attemptId)) ||
      (await this.client.isDown());
  }

  private reportCrash(): void {
    const {crashEvidence, clock, logger} = this.parts;
    const target = this.attempt.grant.target.name;
    if (this.result === 'not-started') {
      // This attempt never reached the target, so it cannot have caused the crash.
      crashEvidence.ended(
        target,
        this.attempt.attemptId,
        'other',
        clock.wallMs(),
      );
    }
    const suspects = crashEvidence.recordTargetCrash(target, clock.wallMs());
    if (suspects > 0) logger.event('targetCrashed', {target, suspects});
  }

  private release(): void {
    const {clock, crashEvidence} = this.parts;
    const {grant, attemptId} = this.attempt;
    const outcome =
      this.result === 'ok'
        ? 'completed'
        : this.result === 'broken'
          ? 'broken'
          : 'other';
    crashEvidence.ended(grant.target.name, attemptId, outcome, clock.wallMs());
    grant.release({
      result: this.result,
      firstTokenMs: this.relay.firstTokenMs,
      totalMs: clock.nowMs() - this.startMs,
      tokens: this.relay.firstTokenMs === undefined ? 0 : this.relay.tokens,
      cachedTokens: this.relay.cachedTokens,
    });
  }
}

/** Rethrows programming errors, which are not failures of the target. */
function asFailureError(err: unknown): FailureError {
  if (err instanceof FailureError) return err;
  throw err;
}

function toFailure(err: unknown): FailureError['failure'] {
  if (err instanceof FailureError) return err.failure;
  const unexpected =
    err instanceof TypeError ||
    err instanceof RangeError ||
    err instanceof ReferenceError;
  if (unexpected) throw err;
  return {kind: 'target-stream-broken', target: '', bytes: 0};
}

function discardBody({headers, body}: TargetResponse): void {
  const length = Number(headers['content-length'] ?? Infinity);
  if (length <= maxDrainedBytes) body.resume();
  else body.destroy();
}
