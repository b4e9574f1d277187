/** Input of the wait limit of a request. */
export interface WaitInput {
  /** Target time to the response or its first event, in milliseconds. */
  readonly objectiveMs: number;
  /** Time to the deadline of the caller or the route, in milliseconds. */
  readonly remainingMs: number;
  /** Expected time of a target to the response or its first event, in milliseconds. */
  readonly responseMs: number;
  /** Whether the caller retries after a refusal. */
  readonly isRetry: boolean;
  /** Whether the response is a stream. */
  readonly stream: boolean;
}

/** Share of the objective for which a first attempt may wait. */
const waitObjectiveShare = 1;
/** Minimum time after which callers cancel a stream that has not started, in milliseconds. */
const minStreamPatienceMs = 2000;
/** The same as a multiple of the objective; the longer time applies. */
const streamPatienceObjectives = 4;
/** Share of the remaining time that a retry may wait, because another refusal would cost it more. */
const retryWaitShare = 0.5;

/**
 * Computes how long a request may wait for a slot. A first attempt that cannot meet its objective is
 * refused early, so that its caller can retry when slots are free.
 *
 * @param input - Objective, remaining time and kind of the request.
 * @returns Time in milliseconds; 0 to refuse the request at once unless a slot is free.
 */
export function maxWaitMs(input: WaitInput): number {
  const {objectiveMs, remainingMs, responseMs, isRetry, stream} = input;
  const patienceMs = stream
    ? Math.max(minStreamPatienceMs, objectiveMs * streamPatienceObjectives)
    : remainingMs;
  const latestMs = Math.min(remainingMs, patienceMs) - responseMs;
  if (isRetry) return Math.max(0, latestMs * retryWaitShare);
  return Math.max(0, Math.min(latestMs, objectiveMs * waitObjectiveShare));
}

/** Bounds of the time after which callers are asked to retry, in milliseconds. */
const minRetryAfterMs = 300;
const maxRetryAfterMs = 4000;
/** Share of the remaining time up to which callers honour Retry-After. */
const honouredShare = 1 / 3;

/**
 * Computes the time after which a refused caller should retry.
 *
 * @param backlogMs - Expected time to serve the requests that wait now, in milliseconds.
 * @param remainingMs - Time to the deadline, in milliseconds.
 * @param random - Random number in [0, 1) that spreads the retries.
 * @returns Time in milliseconds.
 */
export function computeRetryAfterMs(
  backlogMs: number,
  remainingMs: number,
  random: number,
): number {
  const desiredMs = Math.max(minRetryAfterMs, backlogMs) * (1 + random);
  return Math.min(
    desiredMs,
    maxRetryAfterMs,
    remainingMs * honouredShare * 0.95,
  );
}
