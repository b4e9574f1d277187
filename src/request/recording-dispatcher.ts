import {Dispatcher, type Grant} from './dispatcher.js';
import type {
  AttemptOutcome,
  QueuedRequest,
  TargetView,
} from './scheduler/types.js';

/** Receives the start and end of each attempt of this host. */
export abstract class AttemptRecorder {
  /**
   * Records that an attempt was granted and may start.
   *
   * @param target - Granted target.
   */
  abstract started(target: TargetView): void;

  /**
   * Records the end of an attempt.
   *
   * @param target - Target in its state at the time of the grant.
   * @param route - Route within the service.
   * @param outcome - How the attempt ended.
   */
  abstract ended(
    target: TargetView,
    route: string,
    outcome: AttemptOutcome,
  ): void;
}

/** Wraps a dispatcher and reports its attempts to a recorder. */
export class RecordingDispatcher extends Dispatcher {
  /**
   * @param next - Wrapped dispatcher.
   * @param recorder - Receives the start and end of each attempt.
   */
  constructor(
    private readonly next: Dispatcher,
    private readonly recorder: AttemptRecorder,
  ) {
    super();
  }

  override async acquire(
    req: QueuedRequest,
    signal: AbortSignal,
  ): Promise<Grant> {
    const {recorder} = this;
    const grant = await this.next.acquire(req, signal);
    const {permitId, target, cachedTokens, preempted} = grant;
    recorder.started(target);
    return {
      permitId,
      target,
      cachedTokens,
      preempted,
      progress: (tokens, firstTokenMs) => grant.progress(tokens, firstTokenMs),
      relayed: () => grant.relayed(),
      release: outcome => {
        recorder.ended(target, req.route, outcome);
        grant.release(outcome);
      },
    };
  }
}
