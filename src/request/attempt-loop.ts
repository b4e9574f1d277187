import type {TargetClient} from '../connection/target/target-client.js';
import type {Clock} from '../process/clock.js';
import {FailureError} from '../process/errors/catalogue.js';
import type {Logger} from '../process/logger.js';
import type {Metrics} from '../process/metrics.js';
import type {Admitted} from './admission.js';
import type {ResponseSink} from './response-sink.js';
import {decideAttempt, type AttemptDecision} from './attempt-decision.js';
import {runAttempt, type AttemptResult} from './attempt-run.js';
import {backoffMs, type RandomSource} from './backoff.js';
import type {CrashEvidence} from '../process/crashes/crash-evidence.js';
import type {Dispatcher, Grant} from './dispatcher.js';
import type {RefusalReason} from './refusals.js';
import type {Relay} from './relay.js';
import type {RetryBudget} from './retry-budget.js';
import type {QueuedRequest} from './scheduler/types.js';

/** Maximum number of retries of one request; requeues after a preemption are not counted. */
const maxRetries = 4;
/** Maximum number of further cancellations of an attempt whose engine has not confirmed that it stopped. */
const maxCancelRetries = 5;

/** Dependencies of an attempt. */
export interface AttemptParts {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly dispatcher: Dispatcher;
  readonly client: (
    target: Grant['target'],
    type: 'model' | 'plain',
  ) => TargetClient;
  readonly random: RandomSource;
  readonly retryBudget: RetryBudget;
  readonly crashEvidence: CrashEvidence;
}

/** An admitted request with everything that its attempts need. */
export interface Job {
  readonly admitted: Admitted;
  /** Request for the dispatcher; each attempt adds its number, timeout and targets to avoid. */
  readonly queued: QueuedRequest;
  readonly method: string;
  readonly headers: Record<string, string | string[]>;
  readonly body: Buffer;
  /** Whether the caller requested a stream of server-sent events. */
  readonly stream: boolean;
  /** Monotonic time of the deadline, in milliseconds. */
  readonly deadlineAtMs: number;
  /** Fingerprints under which crashes are attributed to this request. */
  readonly fingerprints: readonly string[];
  readonly sink: ResponseSink;
  /** Whether to record the response, so that it can be replayed to a retry with the same key. */
  readonly record: boolean;
}

/** Outcome of a request whose response was relayed, at least in part. */
export interface JobResult {
  /** Whether the whole response was relayed; otherwise the caller saw it cut short. */
  readonly complete: boolean;
  readonly relay: Relay;
}

/** Why an attempt is cancelled from outside. */
export type StopReason = 'caller-left' | 'deadline' | 'preempted';

/** Runs the attempts of one request, one at a time. */
export class AttemptLoop {
  private readonly avoid: string[] = [];
  private attempts = 0;
  private retries = 0;
  private preemptions = 0;
  private mayHaveRun = false;

  /**
   * @param parts - Dependencies.
   * @param job - Request to run.
   * @param caller - Aborted when the caller disconnects.
   */
  constructor(
    private readonly parts: AttemptParts,
    private readonly job: Job,
    private readonly caller: AbortSignal,
  ) {}

  /**
   * Runs attempts until a response was relayed or the request is refused.
   *
   * @returns Whether the response was relayed completely, and its relay.
   * @throws {@link FailureError} of kind `refused`, before any byte of a response was relayed, or of
   *   kind `caller-left`.
   */
  async run(): Promise<JobResult> {
    for (;;) {
      if (this.job.deadlineAtMs <= this.parts.clock.nowMs()) {
        throw this.deadlineError();
      }
      this.checkCrashEvidence();
      const grant = await this.acquire();
      const result = await runAttempt(this.parts, this.job, {
        grant,
        attemptId: this.nextAttemptId(),
        caller: this.caller,
        decide: (observation, resumable) =>
          decideAttempt(observation, {
            idempotent: this.job.admitted.idempotent,
            resumable,
            mayHaveRun: this.mayHaveRun,
            mayRetry: () => this.mayRetry(),
          }),
      });
      this.mayHaveRun ||= result.mayHaveRun;
      const jobResult = await this.follow(result, grant);
      if (jobResult) return jobResult;
    }
  }

  private async follow(
    result: AttemptResult,
    grant: Grant,
  ): Promise<JobResult | undefined> {
    const {decision, relay} = result;
    switch (decision.kind) {
      case 'relay':
        this.parts.retryBudget.recordSuccess();
        return {complete: true, relay};
      case 'break':
        return {complete: false, relay};
      case 'refuse':
        throw this.refused(decision.reason);
      case 'requeue':
        await this.untilStopped(result);
        this.parts.metrics.retry('preempted');
        await this.waitAfterPreemption();
        return undefined;
      default:
        await this.prepareRetry(decision, result, grant);
        return undefined;
    }
  }

  private async prepareRetry(
    decision: AttemptDecision,
    result: AttemptResult,
    grant: Grant,
  ): Promise<void> {
    await this.untilStopped(result);
    if (decision.kind === 'retry') this.parts.metrics.retry(decision.reason);
    this.retries++;
    if (!this.avoid.includes(grant.target.name)) {
      this.avoid.push(grant.target.name);
    }
    await this.sleep(backoffMs(this.retries, this.parts.random));
  }

  /**
   * Waits for the confirmation that an attempt has stopped at its engine. A busy engine, or a busy host, is late with it;
   * the request still has the time to its deadline.
   */
  private async untilStopped(result: AttemptResult): Promise<void> {
    let stopped = result.confirmedStopped;
    for (let tries = 1; !stopped; tries++) {
      if (tries > maxCancelRetries) throw this.refused('retries-exhausted');
      await this.sleep(backoffMs(tries, this.parts.random));
      stopped = await result.confirmStopped();
    }
  }

  /**
   * Backs off from the second preemption on, so that a request that keeps losing its slot does not
   * load the group owner.
   */
  private async waitAfterPreemption(): Promise<void> {
    if (this.preemptions > 0) {
      await this.sleep(backoffMs(this.preemptions, this.parts.random));
    }
    this.preemptions++;
  }

  private checkCrashEvidence(): void {
    const {crashEvidence, clock} = this.parts;
    if (crashEvidence.isBlocked(this.job.fingerprints, clock.wallMs())) {
      throw this.refused('crashes-targets');
    }
  }

  private mayRetry(): boolean {
    return (
      this.retries < maxRetries &&
      this.job.deadlineAtMs > this.parts.clock.nowMs() &&
      this.parts.retryBudget.take()
    );
  }

  private nextAttemptId(): string {
    const {id} = this.job.admitted;
    const attempt = this.attempts++;
    return attempt === 0 ? id : `${id}-${attempt}`;
  }

  private async acquire(): Promise<Grant> {
    const remainingMs = this.job.deadlineAtMs - this.parts.clock.nowMs();
    const stop = new AbortController();
    const pending = this.parts.dispatcher.acquire(
      {
        ...this.job.queued,
        timeoutMs: Math.max(1, Math.floor(remainingMs)),
        attempt: this.attempts,
        avoid: [...this.avoid],
      },
      stop.signal,
    );
    let received = false;
    // A grant that arrives after the request was abandoned must be returned to the owner.
    pending.then(
      grant => {
        if (!received && stop.signal.aborted) {
          grant.release({result: 'cancelled', totalMs: 0, tokens: 0});
        }
      },
      () => {},
    );
    try {
      const grant = await this.waitUnlessStopped(pending, stop);
      received = true;
      return grant;
    } catch (err) {
      throw this.withUnknownExecution(err);
    }
  }

  /** Waits for a promise; rejects when the caller disconnects or the deadline passes. */
  private waitUnlessStopped<T>(
    pending: Promise<T>,
    stop: AbortController,
  ): Promise<T> {
    return new Promise<T>((resolve, reject) => {
      const abandon = (err: FailureError) => {
        stop.abort('abandoned');
        finish(() => reject(err));
      };
      const onDisconnect = () =>
        abandon(
          new FailureError({
            kind: 'caller-left',
            execution: this.mayHaveRun ? 'unknown' : 'not-run',
          }),
        );
      const remainingMs = this.job.deadlineAtMs - this.parts.clock.nowMs();
      const cancelTimer = this.parts.clock.after(remainingMs, () =>
        abandon(this.deadlineError()),
      );
      const finish = (settle: () => void) => {
        cancelTimer();
        this.caller.removeEventListener('abort', onDisconnect);
        settle();
      };
      if (this.caller.aborted) return onDisconnect();
      this.caller.addEventListener('abort', onDisconnect, {once: true});
      pending.then(
        value => finish(() => resolve(value)),
        err => finish(() => reject(err)),
      );
    });
  }

  private sleep(ms: number): Promise<void> {
    let wake: () => void;
    const slept = new Promise<void>(resolve => (wake = resolve));
    const cancel = this.parts.clock.after(ms, () => wake());
    return this.waitUnlessStopped(slept, new AbortController()).finally(cancel);
  }

  private deadlineError(): FailureError {
    const decision = decideAttempt(
      {kind: 'deadline', dispatched: false, relayed: false},
      {
        idempotent: this.job.admitted.idempotent,
        resumable: false,
        mayHaveRun: this.mayHaveRun,
        mayRetry: () => false,
      },
    );
    return this.refused(
      decision.kind === 'refuse' ? decision.reason : 'outcome-unknown',
    );
  }

  /** Corrects a dispatcher's refusal, whose `not-run` does not hold after an attempt that may have run. */
  private withUnknownExecution(err: unknown): unknown {
    if (!this.mayHaveRun || !(err instanceof FailureError)) return err;
    const {failure} = err;
    if (failure.kind !== 'refused') return err;
    const reason: RefusalReason = failure.reason.startsWith('deadline')
      ? 'deadline-exceeded-running'
      : 'retries-exhausted';
    return new FailureError(
      {...failure, reason, execution: 'unknown'},
      {cause: err},
    );
  }

  private refused(reason: RefusalReason): FailureError {
    return new FailureError({
      kind: 'refused',
      reason,
      execution: this.mayHaveRun ? 'unknown' : undefined,
    });
  }
}
