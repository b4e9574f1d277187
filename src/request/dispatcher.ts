import type {
  AttemptOutcome,
  QueuedRequest,
  TargetView,
} from './scheduler/types.js';

/** Permission to send one request to one target. */
export interface Grant {
  readonly permitId: string;
  readonly target: TargetView;
  /** Prompt tokens expected in the target's cache. */
  readonly cachedTokens: number;
  /** Aborted when the owner takes the permit back for a higher tier. */
  readonly preempted: AbortSignal;

  /**
   * Reports how far the attempt has come.
   *
   * @param tokens - Tokens generated so far.
   * @param firstTokenMs - Time from dispatch to the first token, in milliseconds, once known.
   */
  progress(tokens: number, firstTokenMs?: number): void;

  /** Notes that the caller may have part of the answer, so that it can't be run again unseen. */
  relayed(): void;

  /**
   * Returns the permit. Must be called exactly once.
   *
   * @param outcome - How the attempt ended.
   */
  release(outcome: AttemptOutcome): void;
}

/** Assigns targets to requests; the request path knows nothing of owners and queues. */
export abstract class Dispatcher {
  /**
   * Waits for a permit.
   *
   * @param req - Request to dispatch.
   * @param signal - Aborted when the caller leaves; the request is then removed from the queue.
   * @returns A grant.
   * @throws {@link FailureError} of kind `refused` if there will be none.
   */
  abstract acquire(req: QueuedRequest, signal: AbortSignal): Promise<Grant>;
}
