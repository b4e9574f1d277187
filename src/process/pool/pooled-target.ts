import type {TargetReport} from '../fleet/gossip-message.js';
import type {ReportedLoad} from './load-reports.js';
import {UsualSpeed, type TargetSpeed} from './pace/target-speed.js';
import {ResponseEnds} from './response-ends.js';
import {TargetDeparture} from './target-departure.js';
import type {TargetStatement} from './target-statements.js';
import type {TargetEntry} from '../../version/deployment/types.js';

/** Weight of a new sample in the moving averages of a target. */
const sampleWeight = 0.2;
/** Weight of a new outcome in the failure rate of a target. */
const outcomeWeight = 0.15;
/** Consecutive failures after which a target is suspended. */
const failuresToSuspend = 4;
/** First and longest suspension of a target, in milliseconds; it doubles until a success. */
const minSuspensionMs = 300;
const maxSuspensionMs = 2500;

/** Time for which the load reported by a target overrides the reports of hosts, in milliseconds. */
const targetLoadValidMs = 300;

const usualSpeed = new UsualSpeed();

/** How a request ended at a target. */
export const outcomes = {
  /** Sent a complete response with a status below 500. */
  answered: 'answered',
  /** Sent an error, a truncated response or none, or stalled. */
  failed: 'failed',
  /** Refused the request without running it. */
  refused: 'refused',
  /** No connection could be opened. */
  unreachable: 'unreachable',
  /** Cancelled by this host or the caller; does not count for or against the target. */
  cancelled: 'cancelled',
} as const;

/** One of {@link outcomes}. */
export type Outcome = (typeof outcomes)[keyof typeof outcomes];

/** A target with its load, speed and health as known to this host. */
export class PooledTarget {
  /** Open requests of this host at the target. */
  localRequests = 0;
  /** Prompt tokens of this host's open requests that have no first event yet. */
  localPendingTokens = 0;
  private measuredTokenMs = 0;
  /** Whether `measuredTokenMs` has changed since the last report. */
  private isSpeedUnreported = false;
  /** Response time of a plain service, in milliseconds; 0 if unknown. */
  responseMs = 0;
  /** Share of recent requests that failed, as a moving average. */
  failureRate = 0;
  /** End of the suspension after failures, on the process's clock, in milliseconds. */
  suspendedUntilMs = 0;
  private observedUntilMs = 0;
  private consecutiveFailures = 0;
  /** Load reported by the target beyond the reports of hosts, and until when it is used. */
  private unreported = 0;
  private unreportedUntilMs = -Infinity;
  private suspensionMs = minSuspensionMs;
  readonly departure = new TargetDeparture();
  readonly ends = new ResponseEnds();

  /**
   * @param entry - Current entry of the target in the store.
   * @param reported - Reports of other hosts; kept up to date by the owner.
   * @param stated - What the target says of itself; kept up to date by the owner.
   * @param speed - How fast it works at the moment; kept up to date by the owner.
   * @param statedColdUntilMs - Looks up until when it is cold by its entry, on the process's clock, in milliseconds.
   */
  constructor(
    public entry: TargetEntry,
    readonly reported: Readonly<ReportedLoad>,
    readonly stated: TargetStatement = {
      leaving: false,
      backoffUntilMs: -Infinity,
    },
    readonly speed: TargetSpeed = usualSpeed,
    private readonly statedColdUntilMs: () => number = () => 0,
  ) {}

  /** Time on the process's clock until which the target is cold, in milliseconds; the latest that any source states. */
  get coldUntilMs(): number {
    return Math.max(this.statedColdUntilMs(), this.observedUntilMs);
  }

  /** Time on the process's clock until which this host takes the target for cold by what it saw, in milliseconds. */
  get observedColdUntilMs(): number {
    return this.observedUntilMs;
  }

  /**
   * Takes the target for cold by what this host saw. No entry ends this earlier: it may have been written before.
   *
   * @param untilMs - End on the process's clock, in milliseconds.
   */
  extendCold(untilMs: number): void {
    this.observedUntilMs = Math.max(this.observedUntilMs, untilMs);
  }

  /** Whether the target is about to stop and gets no new requests, by its entry or its responses. */
  get isLeaving(): boolean {
    return this.entry.draining || this.stated.leaving;
  }

  /**
   * Checks whether the target accepts new requests of this host, by its responses.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  accepts(nowMs: number): boolean {
    return !this.stated.leaving && this.stated.backoffUntilMs <= nowMs;
  }

  /** Number of requests that the target runs concurrently. */
  get slots(): number {
    return Math.max(1, this.entry.slots);
  }

  /** Time per output token at the usual speed, in milliseconds; 0 if unknown. */
  get tokenMs(): number {
    return this.measuredTokenMs || this.reported.tokenMs;
  }

  /** Time per output token measured by this host, in milliseconds; 0 without samples. */
  get localTokenMs(): number {
    return this.measuredTokenMs;
  }

  /** Prompt tokens that the target has probably not processed yet. */
  get pendingPromptTokens(): number {
    return this.localPendingTokens + this.reported.pendingPromptTokens;
  }

  /** Open requests at the target as counted by the hosts, without the load that the target reports. */
  get hostReportedLoad(): number {
    return this.localRequests + this.reported.load;
  }

  /**
   * Estimates the number of open requests of all hosts at the target.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  loadAt(nowMs: number): number {
    const unreported = nowMs < this.unreportedUntilMs ? this.unreported : 0;
    return this.localRequests + Math.max(0, this.reported.load + unreported);
  }

  /**
   * Records the load that the target reports in a response, which is newer than the reports of hosts.
   *
   * @param load - Running and waiting requests at the target.
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
   * Builds this host's report for the other hosts. They keep the reported speed, so an idle target is reported
   * only when its speed was measured again: the reports of all targets in each message would take most of a
   * host's link.
   *
   * @param withIdle - Whether to report idle targets too, because another host has just started.
   * @returns The report, or `undefined` if there is nothing to report.
   */
  takeReport(withIdle: boolean): TargetReport | undefined {
    const {localRequests: load, localPendingTokens, measuredTokenMs} = this;
    const isSpeedDue = this.isSpeedUnreported || withIdle;
    this.isSpeedUnreported = false;
    if (load === 0 && !(isSpeedDue && measuredTokenMs > 0)) return undefined;
    return {
      load,
      pendingPromptTokens: localPendingTokens,
      tokenMs: measuredTokenMs,
    };
  }

  /**
   * Adds a sample of the time per output token.
   *
   * @param ms - Time per token, in milliseconds.
   */
  sampleTokenMs(ms: number): void {
    this.isSpeedUnreported = true;
    this.measuredTokenMs = updateAverage(this.measuredTokenMs, ms);
  }

  /**
   * Adds a sample of the response time of a plain service.
   *
   * @param ms - Time to the complete response, in milliseconds.
   */
  sampleResponseMs(ms: number): void {
    this.responseMs = updateAverage(this.responseMs, ms);
  }

  /**
   * Records the outcome of a request, and suspends the target after repeated failures.
   *
   * @param outcome - How the request ended.
   * @param nowMs - Time on the process's clock, in milliseconds.
   * @returns Whether this outcome suspended the target.
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
