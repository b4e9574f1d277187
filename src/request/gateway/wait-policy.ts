/** What the time for which a request may wait depends on. */
export interface WaitInput {
  /** Time to the answer or first event that the caller aims at, in milliseconds. */
  readonly objectiveMs: number;
  /** Time until the caller or the route ends the request, in milliseconds. */
  readonly remainingMs: number;
  /** Time that a target probably needs for the answer or its first event, in milliseconds. */
  readonly responseMs: number;
  /** Whether the caller was refused before and came back. */
  readonly isRetry: boolean;
  /** Whether the answer is a stream. */
  readonly stream: boolean;
}

/** Part of the objective for which a request that can still meet it is held. */
const waitObjectiveShare = 1;
/** Callers give up a stream that has not begun after this time at least, in milliseconds. */
const minStreamPatienceMs = 2000;
/** Objectives after which callers give up a stream that has not begun, if that is longer. */
const streamPatienceObjectives = 4;
/** Part of the time left that a request which came back may wait; it would lose more by a refusal. */
const retryWaitShare = 0.5;

/**
 * Decides how long a request may wait for a slot. One that cannot be answered in its objective is
 * refused early, so that its caller can come back when there is room.
 *
 * @param input - The request.
 * @returns Time, in milliseconds; 0 if it should be refused at once unless there is a slot.
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

/** Least and greatest time after which callers are asked to come back, in milliseconds. */
const minRetryAfterMs = 300;
const maxRetryAfterMs = 4000;
/** Part of the time left within which callers honour a stated time. */
const honouredShare = 1 / 3;

/**
 * Decides when a refused caller should come back.
 *
 * @param backlogMs - Time that the requests which wait now will probably take, in milliseconds.
 * @param leftMs - Time until the caller ends the request, in milliseconds.
 * @param random - Random number in [0, 1), which spreads the callers.
 * @returns Time, in milliseconds.
 */
export function computeRetryAfterMs(
  backlogMs: number,
  leftMs: number,
  random: number,
): number {
  const desiredMs = Math.max(minRetryAfterMs, backlogMs) * (1 + random);
  return Math.min(desiredMs, maxRetryAfterMs, leftMs * honouredShare * 0.95);
}
