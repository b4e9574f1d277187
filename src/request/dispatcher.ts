import type {
  AttemptOutcome,
  QueuedRequest,
  TargetView,
} from './scheduler/types.js';

/** Permit to send one request to one target. */
export interface Grant {
  readonly permitId: string;
  readonly target: TargetView;
  /** Number of prompt tokens expected in the target's cache. */
  readonly cachedTokens: number;
  /** Aborted when the group owner revokes the permit in favour of a higher tier. */
  readonly preempted: AbortSignal;

  /**
   * Reports the progress of the attempt.
   *
   * @param tokens - Tokens generated so far.
   * @param firstTokenMs - Time from dispatch to the first token, in milliseconds, once known.
   */
  progress(tokens: number, firstTokenMs?: number): void;

  /** Reports that the caller may have part of the response, so that a second run would be visible. */
  relayed(): void;

  /**
   * Releases the permit. Must be called exactly once.
   *
   * @param outcome - How the attempt ended.
   */
  release(outcome: AttemptOutcome): void;
}

/** Assigns targets to requests; hides group owners and queues from the request path. */
export abstract class Dispatcher {
  /**
   * Waits for a permit.
   *
   * @param req - Request to dispatch.
   * @param signal - Aborted when the request is abandoned; it is then removed from the queue.
   * @returns The grant.
   * @throws {@link FailureError} of kind `refused` if the request can't be granted.
   */
  abstract acquire(req: QueuedRequest, signal: AbortSignal): Promise<Grant>;
}
