import type {TargetState} from './target-state.js';
import type {QueuedRequest} from './types.js';

/** A queued request with the figures that the scheduler computed on arrival. */
export interface WaitingRequest {
  readonly request: QueuedRequest;
  /** Time of arrival at the owner, in milliseconds. */
  readonly offeredMs: number;
  /** Time of the deadline, in milliseconds. */
  readonly deadlineMs: number;
  /** Output length expected for fair queueing, in tokens. */
  readonly expectedTokens: number;
  /** Times that it was passed over for a better target. */
  deferrals: number;
  /** Busy targets that hold its prefix, while it waits for one of them. */
  deferredFor?: readonly TargetState[];
  /** Prompt and expected output, in tokens. */
  readonly cost: number;
}
