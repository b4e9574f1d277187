import type {Grant} from '../../request/dispatcher.js';
import type {
  AttemptOutcome,
  QueuedRequest,
  TargetView,
} from '../../request/scheduler/types.js';

/** A permit that this host holds. */
export class HeldGrant implements Grant {
  /** Tokens reported so far. */
  tokens = 0;
  /** Whether the caller may have part of the answer. */
  private partRelayed = false;
  private readonly preemption = new AbortController();
  private released = false;

  /**
   * @param permitId - Id, unique in the fleet.
   * @param request - Request that was granted.
   * @param target - Target to use.
   * @param cachedTokens - Prompt tokens expected in the target's cache.
   * @param sinceMs - Time of the grant at this host, in milliseconds.
   * @param onProgress - Receives the progress.
   * @param onRelease - Receives the outcome, once.
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

  /** Aborted when the owner takes the permit back. */
  get preempted(): AbortSignal {
    return this.preemption.signal;
  }

  /**
   * Takes the permit back; the request path then releases it.
   *
   * @param force - Whether the answer is given up even if its caller would see a broken one.
   * @returns Whether it was taken back; false if part of the answer was relayed.
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
