import type {RefusalReason, RetryReason} from './refusals.js';

/** How one attempt ended, as observed by the host. */
export type Observation =
  /** No byte was written, so the target cannot have started the request. */
  | {kind: 'not-started'}
  /** The target reported that it did not start: 503 with `X-Execution: not-run`, or 429. */
  | {kind: 'busy'; status: number}
  /** The target failed after the first byte was written and before any byte of a response. */
  | {kind: 'no-answer'}
  /** The response was cut short; `relayed`: whether the caller received part of it. */
  | {kind: 'broken'; relayed: boolean}
  /** The head of a response arrived. */
  | {kind: 'answer'; status: number}
  | {kind: 'preempted'; relayed: boolean}
  | {kind: 'deadline'; dispatched: boolean; relayed: boolean};

/** State of the request that the failure table depends on. */
export interface AttemptContext {
  readonly idempotent: boolean;
  /** Whether the target can resume this stream by attempt id and has not refused to. */
  readonly resumable: boolean;
  /** Whether an earlier attempt of this request may have run. */
  readonly mayHaveRun: boolean;
  /** Whether a retry is allowed; a call that returns true takes a token from the retry budget. */
  readonly mayRetry: () => boolean;
}

/** What to do after an attempt. */
export type AttemptDecision =
  | {kind: 'relay'}
  | {kind: 'resume'}
  | {kind: 'retry'; reason: RetryReason}
  /** Queue the request again after a preemption; does not use the retry budget. */
  | {kind: 'requeue'}
  | {kind: 'refuse'; reason: RefusalReason}
  /** End the partly relayed response with an error that the caller can detect. */
  | {kind: 'break'};

/** Response statuses after which an idempotent request is retried at another target. */
const retryableStatuses = new Set([500, 502, 503, 504]);

/**
 * Decides what to do after an attempt, by the failure table in `docs/design.md`.
 *
 * @param observation - How the attempt ended.
 * @param context - State of the request.
 * @returns What to do next.
 */
export function decideAttempt(
  observation: Observation,
  context: AttemptContext,
): AttemptDecision {
  switch (observation.kind) {
    case 'not-started':
      return retryOr(context, 'connect-failed', {
        kind: 'refuse',
        reason: context.mayHaveRun ? 'retries-exhausted' : 'target-failed',
      });
    case 'busy':
      return retryOr(
        context,
        'target-busy',
        observation.status === 429
          ? {kind: 'relay'}
          : {
              kind: 'refuse',
              reason: context.mayHaveRun
                ? 'retries-exhausted'
                : 'target-failed',
            },
      );
    case 'no-answer':
      return decideAfterPossibleStart(context, 'target-error');
    case 'broken':
      if (!observation.relayed)
        return decideAfterPossibleStart(context, 'answer-broken');
      return context.idempotent && context.resumable
        ? {kind: 'resume'}
        : {kind: 'break'};
    case 'answer':
      return context.idempotent && retryableStatuses.has(observation.status)
        ? retryOr(context, 'target-error', {kind: 'relay'})
        : {kind: 'relay'};
    case 'preempted':
      // A second run generates different text, which cannot continue what was already relayed.
      return observation.relayed ? {kind: 'break'} : {kind: 'requeue'};
    case 'deadline':
      return decideDeadline(observation, context);
  }
}

function decideAfterPossibleStart(
  context: AttemptContext,
  reason: RetryReason,
): AttemptDecision {
  if (!context.idempotent) return {kind: 'refuse', reason: 'outcome-unknown'};
  if (context.resumable) return {kind: 'resume'};
  return retryOr(context, reason, {
    kind: 'refuse',
    reason: 'retries-exhausted',
  });
}

function decideDeadline(
  observation: {dispatched: boolean; relayed: boolean},
  context: AttemptContext,
): AttemptDecision {
  if (observation.relayed) return {kind: 'break'};
  return {
    kind: 'refuse',
    reason:
      observation.dispatched || context.mayHaveRun
        ? 'deadline-exceeded-running'
        : 'deadline-exceeded-waiting',
  };
}

function retryOr(
  context: AttemptContext,
  reason: RetryReason,
  fallback: AttemptDecision,
): AttemptDecision {
  return context.mayRetry() ? {kind: 'retry', reason} : fallback;
}
