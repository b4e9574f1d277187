import type {CrashWatch} from '../../process/crashes/crash-watch.js';
import type {Clock} from '../../process/clock.js';
import type {DecisionLog} from '../../process/decision-log.js';
import type {PooledTarget} from '../../process/pool/pooled-target.js';
import {
  decideOpenEnd,
  openEndResults,
  sameEndMs,
  type OpenEndView,
} from './decide-open-end.js';

/** Interval at which an undecided end is decided again, in milliseconds. */
const intervalMs = 20;
/** Time in which a target that has ended has its entry removed, in milliseconds. */
const removalMs = 100;
/** Interval between reads of the list of targets until the entry is removed, in milliseconds. */
const readIntervalMs = 400;

/** What the checks need to know of the list of targets. */
export interface OpenEndOptions {
  /** Time for which a target at least goes on serving after it announced that it leaves, in milliseconds. */
  readonly drainMs: number;
  /** Reads the list of targets at once. */
  readTargets(): void;
}

/** Dependencies of an {@link OpenEndCheck}. */
export interface OpenEndParts {
  readonly clock: Clock;
  readonly crashWatch: Pick<CrashWatch, 'check'>;
  readonly decisions: Pick<DecisionLog, 'log'>;
  readonly openEnds: OpenEndOptions;
}

/** Finds out whether one response without a length is complete, or ended because its target's process did. */
export class OpenEndCheck {
  private readonly endedAtMs: number;
  /** Time on the process's clock at which the list of targets is read next, in milliseconds. */
  private readAtMs: number;
  private done = false;
  private cancelTimer = () => {};

  /**
   * Begins the check, when the response has ended.
   *
   * @param parts - Dependencies.
   * @param target - Target that sent the response.
   * @param requestId - Id of the request, for the log.
   * @param onChecked - Called once with whether the response is complete, unless the check is cancelled.
   */
  constructor(
    private readonly parts: OpenEndParts,
    private readonly target: PooledTarget,
    private readonly requestId: string,
    private readonly onChecked: (isComplete: boolean) => void,
  ) {
    this.endedAtMs = parts.clock.nowMs();
    this.readAtMs = this.endedAtMs + removalMs;
    target.ends.checking++;
    const {isLeaving} = target;
    const end = {wasClosed: true, isLeaving, needsResult: true};
    parts.crashWatch.check(target.entry, end, hasEnded => {
      if (this.done) return;
      if (!hasEnded) return this.finish(true);
      target.ends.recordDoubtful(this.endedAtMs);
      this.decide();
    });
  }

  /** Ends the check without a result. */
  cancel(): void {
    if (this.done) return;
    this.done = true;
    this.cancelTimer();
    this.target.ends.checking--;
  }

  private decide(): void {
    const {clock, decisions, openEnds} = this.parts;
    const {endedAtMs, requestId, target, view} = this;
    const nowMs = clock.nowMs();
    const result = decideOpenEnd(view, openEnds.drainMs, nowMs);
    if (result === openEndResults.undecided) return this.wait(view, nowMs);
    const {openRequests, endedBeside, announcedAtMs, removedAtMs} = view;
    decisions.log('responseEndChecked', {
      request: requestId,
      target: target.entry.id,
      result,
      afterMs: Math.round(nowMs - endedAtMs),
      openRequests,
      endedBeside,
      leavingForMs: roundedAge(announcedAtMs, endedAtMs),
      removedForMs: roundedAge(removedAtMs, endedAtMs),
    });
    this.finish(result === openEndResults.complete);
  }

  private wait({openRequests}: OpenEndView, nowMs: number): void {
    const {clock, openEnds} = this.parts;
    if (openRequests === 0 && nowMs >= this.readAtMs) {
      this.readAtMs = nowMs + readIntervalMs;
      openEnds.readTargets();
    }
    this.cancelTimer = clock.after(intervalMs, () => this.decide());
  }

  private get view(): OpenEndView {
    const {endedAtMs} = this;
    const {departure, ends, localRequests} = this.target;
    return {
      endedAtMs,
      receivedAtMs: ends.receivedAtMs,
      openRequests: localRequests - ends.checking,
      endedBeside: ends.countDoubtful(endedAtMs, sameEndMs) - 1,
      announcedAtMs: departure.announcedAtMs,
      removedAtMs: departure.removedAtMs,
    };
  }

  private finish(isComplete: boolean): void {
    this.cancel();
    this.onChecked(isComplete);
  }
}

/** Time from an earlier event until the end of a response, in milliseconds; negative if it came later. */
function roundedAge(
  sinceMs: number | undefined,
  endedAtMs: number,
): number | undefined {
  return sinceMs === undefined ? undefined : Math.round(endedAtMs - sinceMs);
}
