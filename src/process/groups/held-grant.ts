import type {Grant} from '../../request/dispatcher.js';
import type {
  AttemptOutcome,
  QueuedRequest,
  TargetView,
} from '../../request/scheduler/types.js';

/** A permit that this host holds for one attempt. */
export class HeldGrant implements Grant {
  /** Number of tokens reported so far. */
  tokens = 0;
  /** Whether the caller may have received part of the response. */
  private partRelayed = false;
  private readonly preemption = new AbortController();
  private released = false;

  /**
   * @param permitId - Id that is unique in the fleet.
   * @param request - Request that the permit was granted for.
   * @param target - Target to send the request to.
   * @param cachedTokens - Number of prompt tokens that are expected in the target's cache.
   * @param sinceMs - Time at which this host received the grant, in milliseconds of its clock.
   * @param onProgress - Called with the number of tokens and the time to the first, until the release.
   * @param onRelease - Called once with the outcome.
   */
  constructor(
    readonly permitId: string,
    readonly request: QueuedRequest,
    readonly target: TargetView,
    readonly cachedTokens: number,
    readonly sinceMs: number,
    private readonly onProgress: (tokens: number, firstMs?: number) => void,
    private readonly onRelease: (outcome: AttemptOutcome) => void,
  ) {}

  /** Aborted when the owner preempts the permit. */
  get preempted(): AbortSignal {
    return this.preemption.signal;
  }

  /**
   * Preempts the permit by aborting its attempt, which then releases it.
   *
   * @param force - Whether to preempt even if the caller gets a truncated response.
   * @returns Whether it was preempted; false if part of the response was relayed and not `force`.
   */
  preempt(force: boolean): boolean {
    if (this.partRelayed && !force) return false;
    this.preemption.abort();
    return true;
  }

  relayed(): void {
    this.partRelayed = true;
  }

  progress(tokens: number, firstTokenMs?: number): void {
    if (!this.released) this.onProgress(tokens, firstTokenMs);
  }

  release(outcome: AttemptOutcome): void {
    if (this.released) return;
    this.released = true;
    this.onRelease(outcome);
  }
}
