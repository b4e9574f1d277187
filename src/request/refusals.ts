/** Whether a refused request may have run; values of `execution` in problem documents. */
export const execution = {
  /** The request was certainly not run. */
  notRun: 'not-run',
  /** The request may have run. */
  unknown: 'unknown',
} as const;

/** One of the values of {@link execution}. */
export type Execution = (typeof execution)[keyof typeof execution];

/** Properties of a refusal reason in its problem document (RFC 9457). */
export interface RefusalProperties {
  /** HTTP status code. */
  readonly status: number;
  /** Short human-readable summary. */
  readonly title: string;
  /** Whether the same request may succeed later. */
  readonly retryable: boolean;
  /** Whether the request may have run, unless the host knows better in a given case. */
  readonly execution: Execution;
}

const notRun = execution.notRun;
const unknown = execution.unknown;

/** All refusal reasons. The keys are part of the API for callers and must stay stable. */
export const refusals = {
  'malformed-request': {
    status: 400,
    title: 'Malformed request',
    retryable: false,
    execution: notRun,
  },
  unauthenticated: {
    status: 401,
    title: 'Unknown or missing key',
    retryable: false,
    execution: notRun,
  },
  'unknown-route': {
    status: 404,
    title: 'Unknown path',
    retryable: false,
    execution: notRun,
  },
  'unknown-service': {
    status: 404,
    title: 'Unknown service or model',
    retryable: false,
    execution: notRun,
  },
  'method-not-allowed': {
    status: 405,
    title: 'Method not allowed',
    retryable: false,
    execution: notRun,
  },
  'request-timeout': {
    status: 408,
    title: 'Request arrived too slowly',
    retryable: true,
    execution: notRun,
  },
  'key-reused': {
    status: 422,
    title: 'Idempotency key used for another request',
    retryable: false,
    execution: notRun,
  },
  'key-in-progress': {
    status: 409,
    title: 'Request with this idempotency key is running',
    retryable: true,
    execution: unknown,
  },
  'body-too-large': {
    status: 413,
    title: 'Body too large',
    retryable: false,
    execution: notRun,
  },
  'headers-too-large': {
    status: 431,
    title: 'Headers too large',
    retryable: false,
    execution: notRun,
  },
  'rate-limited': {
    status: 429,
    title: 'Rate limit of the organisation reached',
    retryable: true,
    execution: notRun,
  },
  'concurrency-limited': {
    status: 429,
    title: 'Concurrency limit of the organisation reached',
    retryable: true,
    execution: notRun,
  },
  'crashes-targets': {
    status: 422,
    title: 'Request crashed targets before',
    retryable: false,
    execution: notRun,
  },
  'queue-full': {
    status: 503,
    title: 'Queue full',
    retryable: true,
    execution: notRun,
  },
  shed: {
    status: 503,
    title: 'Shed for higher tiers',
    retryable: true,
    execution: notRun,
  },
  'no-target': {
    status: 503,
    title: 'No usable target',
    retryable: true,
    execution: notRun,
  },
  'deadline-unreachable': {
    status: 503,
    title: 'Deadline cannot be met',
    retryable: true,
    execution: notRun,
  },
  'deadline-exceeded-waiting': {
    status: 504,
    title: 'Deadline passed before dispatch',
    retryable: true,
    execution: notRun,
  },
  'deadline-exceeded-running': {
    status: 504,
    title: 'Deadline passed after dispatch',
    retryable: false,
    execution: unknown,
  },
  'claim-unavailable': {
    status: 503,
    title: 'At-most-once claim cannot be recorded',
    retryable: true,
    execution: unknown,
  },
  'key-expired': {
    status: 409,
    title: 'Idempotency key too old to decide',
    retryable: false,
    execution: unknown,
  },
  'outcome-unknown': {
    status: 502,
    title: 'Outcome unknown',
    retryable: false,
    execution: unknown,
  },
  'target-failed': {
    status: 502,
    title: 'Target failed before it started the request',
    retryable: true,
    execution: notRun,
  },
  'retries-exhausted': {
    status: 502,
    title: 'Targets failed and no retry is left',
    retryable: true,
    execution: unknown,
  },
  draining: {
    status: 503,
    title: 'Host is shutting down',
    retryable: true,
    execution: notRun,
  },
  'internal-error': {
    status: 500,
    title: 'Unexpected error in the host',
    retryable: false,
    execution: unknown,
  },
  'no-memory': {
    status: 503,
    title: 'No memory left for the body',
    retryable: true,
    execution: notRun,
  },
  overloaded: {
    status: 503,
    title: 'Host is overloaded',
    retryable: true,
    execution: notRun,
  },
} as const satisfies Record<string, RefusalProperties>;

/** Key of {@link refusals}. */
export type RefusalReason = keyof typeof refusals;

/** Reasons for which a request is retried, requeued or resumed; label values of the retry metric. */
export const retryReasons = [
  'connect-failed',
  'target-busy',
  'target-error',
  'answer-broken',
  'preempted',
  'resumed',
] as const;

/** One of {@link retryReasons}. */
export type RetryReason = (typeof retryReasons)[number];
