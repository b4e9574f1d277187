import type {TargetState} from './target-state.js';
import type {QueuedRequest} from './types.js';

/** A queued request with the values that the scheduler computed on arrival. */
export interface WaitingRequest {
  readonly request: QueuedRequest;
  /** Time of arrival at the owner, in milliseconds. */
  readonly offeredMs: number;
  /** Time at which the deadline passes, in milliseconds. */
  readonly deadlineMs: number;
  /** Expected output length for fair queueing, in tokens. */
  readonly expectedTokens: number;
  /** Number of times that it was deferred, beyond its deferral time, for a better target. */
  deferrals: number;
  /** Busy targets that hold its prefix, while it is deferred for one of them. */
  deferredFor?: readonly TargetState[];
  /** Prompt and expected output, in tokens. */
  readonly cost: number;
}
