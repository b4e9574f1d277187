import type {Route} from '../../version/deployment/types.js';

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
  /** Whether a retry waits nearly as long as its caller, because another refusal would be its last. */
  readonly waitsOut?: boolean;
}

/** Share of the objective for which a first attempt may wait. */
const waitObjectiveShare = 1;
/** Minimum time after which callers cancel a stream without an event, in milliseconds. */
const minStreamPatienceMs = 2000;
/** The same as multiples of the objective and of the longest pause on time; the longest time applies. */
const streamPatienceObjectives = 4;
const streamPatienceGaps = 8;
/** Share of the remaining time that a retry may wait, because another refusal would cost it more. */
const retryWaitShare = 0.5;
/** The same for a retry that waits nearly as long as its caller; the rest is a margin for slow targets. */
const waitOutShare = 0.9;

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
  if (isRetry) {
    const share = input.waitsOut ? waitOutShare : retryWaitShare;
    return Math.max(0, latestMs * share);
  }
  return Math.max(0, Math.min(latestMs, objectiveMs * waitObjectiveShare));
}

/**
 * Computes after which pause callers cancel a stream of a route.
 *
 * @param route - Objective and longest pause on time.
 * @returns Time in milliseconds.
 */
export function streamPatienceMs({
  objectiveMs,
  gapMs = 0,
}: Pick<Route, 'objectiveMs' | 'gapMs'>): number {
  return Math.max(
    minStreamPatienceMs,
    objectiveMs * streamPatienceObjectives,
    gapMs * streamPatienceGaps,
  );
}

/** Input of the wait limit of a stream that its caller has begun to receive. */
export interface ResumeWaitInput {
  /** Time after which the caller cancels a silent stream, in milliseconds. */
  readonly patienceMs: number;
  /** Time since the last event, in milliseconds. */
  readonly silentMs: number;
  /** Time to the deadline of the caller or the route, in milliseconds. */
  readonly remainingMs: number;
  /** Expected time of a target to the first event, in milliseconds. */
  readonly responseMs: number;
}

/**
 * Computes how long a stream may wait for the slot on which it is resumed: until its caller leaves, because it is cut
 * off otherwise.
 *
 * @param input - Patience of the caller and time since the last event.
 * @returns Time in milliseconds.
 */
export function maxResumeWaitMs(input: ResumeWaitInput): number {
  const {patienceMs, silentMs, remainingMs, responseMs} = input;
  return Math.max(0, Math.min(remainingMs, patienceMs - silentMs) - responseMs);
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
