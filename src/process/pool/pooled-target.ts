import type {ReportedLoad} from './load-reports.js';
import type {TargetEntry} from '../../version/deployment/types.js';

/** Weight of a new sample in the averages of one target. */
const sampleWeight = 0.2;
/** Weight of a new outcome in the failure rate of one target. */
const outcomeWeight = 0.15;
/** Failures in a row after which a target gets nothing for a while. */
const failuresToSuspend = 4;
/** Pause of a target after failures, in milliseconds: the first, and the longest. */
const minSuspensionMs = 300;
const maxSuspensionMs = 2500;

/** Time for which the load that a target states goes before the reports of hosts, in milliseconds. */
const targetLoadValidMs = 300;

/** How a request ended at a target. */
export const outcomes = {
  /** Answered whole, whatever the caller thinks of the answer. */
  answered: 'answered',
  /** Answered with a failure, or broke off its answer. */
  failed: 'failed',
  /** Refused without running it. */
  refused: 'refused',
  /** No connection could be opened. */
  unreachable: 'unreachable',
  /** Ended by this host or by the caller; says nothing about the target. */
  cancelled: 'cancelled',
} as const;

/** One of {@link outcomes}. */
export type Outcome = (typeof outcomes)[keyof typeof outcomes];

/** A target with what this host knows of its load, speed and health. */
export class PooledTarget {
  /** Requests that this host has sent and that have not ended. */
  localRequests = 0;
  /** Prompt tokens of this host's requests that have no first event yet. */
  localPendingTokens = 0;
  private measuredTokenMs = 0;
  /** Time of a whole answer of a plain service, in milliseconds; 0 if not known. */
  responseMs = 0;
  /** Part of the latest requests that failed. */
  failureRate = 0;
  /** Time until which the target gets nothing after failures, on the process's clock. */
  suspendedUntilMs = 0;
  /** Time until which the target is cold, on the process's clock. */
  coldUntilMs = 0;
  private consecutiveFailures = 0;
  /** By how much the target's own figure differed from what was known, and until when that counts. */
  private unreported = 0;
  private unreportedUntilMs = -Infinity;
  private suspensionMs = minSuspensionMs;

  /**
   * @param entry - Entry of the target.
   * @param reported - What other hosts report of it.
   */
  constructor(
    public entry: TargetEntry,
    readonly reported: Readonly<ReportedLoad>,
  ) {}

  /** Requests that may run at once. */
  get slots(): number {
    return Math.max(1, this.entry.slots);
  }

  /** Time for one generated token, in milliseconds; 0 if not known. */
  get tokenMs(): number {
    return this.measuredTokenMs || this.reported.tokenMs;
  }

  /** Time for one generated token as this host measured it, in milliseconds; 0 if it has not. */
  get localTokenMs(): number {
    return this.measuredTokenMs;
  }

  /** Prompt tokens that the target has probably not read yet. */
  get pendingPromptTokens(): number {
    return this.localPendingTokens + this.reported.pendingPromptTokens;
  }

  /** Requests that hosts have at the target by their own account, whatever the target states. */
  get hostReportedLoad(): number {
    return this.localRequests + this.reported.load;
  }

  /**
   * Requests that all hosts together have at the target, as far as is known.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  loadAt(nowMs: number): number {
    const unreported = nowMs < this.unreportedUntilMs ? this.unreported : 0;
    return this.localRequests + Math.max(0, this.reported.load + unreported);
  }

  /**
   * Takes over the load that the target states in an answer, which is newer than the reports of hosts.
   *
   * @param load - Requests that run and that wait at the target.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  recordTargetLoad(
    {running, waiting}: {readonly running: number; readonly waiting: number},
    nowMs: number,
  ): void {
    this.unreported = running + waiting - this.hostReportedLoad;
    this.unreportedUntilMs = nowMs + targetLoadValidMs;
  }

  /**
   * Learns the time of one token.
   *
   * @param ms - Time, in milliseconds.
   */
  sampleTokenMs(ms: number): void {
    this.measuredTokenMs = updateAverage(this.measuredTokenMs, ms);
  }

  /**
   * Learns the time of a whole answer.
   *
   * @param ms - Time, in milliseconds.
   */
  sampleResponseMs(ms: number): void {
    this.responseMs = updateAverage(this.responseMs, ms);
  }

  /**
   * Learns from how a request ended.
   *
   * @param outcome - How it ended.
   * @param nowMs - Time on the process's clock, in milliseconds.
   * @returns Whether the target was suspended because of it.
   */
  recordOutcome(outcome: Outcome, nowMs: number): boolean {
    if (outcome === outcomes.cancelled) return false;
    const failed = outcome !== outcomes.answered;
    this.failureRate += outcomeWeight * ((failed ? 1 : 0) - this.failureRate);
    if (!failed) {
      this.consecutiveFailures = 0;
      this.suspensionMs = minSuspensionMs;
      return false;
    }
    this.consecutiveFailures++;
    const unreachable = outcome === outcomes.unreachable;
    if (!unreachable && this.consecutiveFailures < failuresToSuspend)
      return false;
    if (nowMs < this.suspendedUntilMs) return false;
    this.suspendedUntilMs = nowMs + this.suspensionMs;
    this.suspensionMs = Math.min(maxSuspensionMs, this.suspensionMs * 2);
    return true;
  }
}

function updateAverage(average: number, sample: number): number {
  return average === 0 ? sample : average + sampleWeight * (sample - average);
}
