import {Dispatcher, type Grant} from './dispatcher.js';
import type {
  AttemptOutcome,
  QueuedRequest,
  TargetView,
} from './scheduler/types.js';

/** Receives what happens to each attempt at this host. */
export abstract class AttemptRecorder {
  /**
   * Notes that an attempt may start.
   *
   * @param target - Target that was granted.
   */
  abstract started(target: TargetView): void;

  /**
   * Notes the end of an attempt.
   *
   * @param target - Target as it was when it was granted.
   * @param route - Route within the service.
   * @param outcome - How the attempt ended.
   */
  abstract ended(
    target: TargetView,
    route: string,
    outcome: AttemptOutcome,
  ): void;
}

/** Records the attempts that pass through another dispatcher. */
export class RecordingDispatcher extends Dispatcher {
  /**
   * @param next - Dispatcher that grants.
   * @param recorder - Receives starts and ends.
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
