import type {RefusalReason, RetryReason} from './refusals.js';

/** What was observed of one attempt. */
export type Observation =
  /** No byte was written; the target certainly did not start. */
  | {kind: 'not-started'}
  /** The target says that it did not start: 503 with `X-Execution: not-run`, or 429. */
  | {kind: 'busy'; status: number}
  /** The target failed after the first byte was written, before any byte of an answer. */
  | {kind: 'no-answer'}
  /** The answer broke off; `relayed` tells whether the caller has seen part of it. */
  | {kind: 'broken'; relayed: boolean}
  /** The head of an answer arrived. */
  | {kind: 'answer'; status: number}
  | {kind: 'preempted'; relayed: boolean}
  | {kind: 'deadline'; dispatched: boolean; relayed: boolean};

/** Facts about the request that the failure table depends on. */
export interface AttemptContext {
  readonly idempotent: boolean;
  /** Whether the target can continue this stream by id and has not refused to. */
  readonly resumable: boolean;
  /** Whether an earlier attempt of this request may have run. */
  readonly mayHaveRun: boolean;
  /** Whether a further attempt is allowed; asking may take a token from the retry budget. */
  readonly mayRetry: () => boolean;
}

/** What follows an attempt. */
export type AttemptDecision =
  | {kind: 'relay'}
  | {kind: 'resume'}
  | {kind: 'retry'; reason: RetryReason}
  /** Return to the queue after a preemption; takes nothing from the retry budget. */
  | {kind: 'requeue'}
  | {kind: 'refuse'; reason: RefusalReason}
  /** End the partly relayed answer with a visible error. */
  | {kind: 'break'};

/** Statuses of an idempotent request after which another target may do better. */
const retryableStatuses = new Set([500, 502, 503, 504]);

/**
 * Decides what follows an attempt, by the failure table of the design page.
 *
 * @param observation - What was observed.
 * @param context - Facts about the request.
 * @returns What to do.
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
      // A second run generates other text, so it cannot continue what was relayed.
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
