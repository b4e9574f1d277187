import type {Clock} from '../clock.js';
import {dutyCallResults} from '../duties/duty-platform.js';
import type {PositionedRecord} from '../duties/duty-record.js';
import {DutyTask, type HeldDuties} from '../duties/duty-task.js';
import type {Logger} from '../logger.js';
import type {ClockVotes} from './clock-votes.js';
import type {UsageCounter} from './usage-counter.js';
import {reportResults, type UsageMetrics} from './usage-metrics.js';
import type {CountsView, UsagePlan, UsageReport} from './usage-plan.js';
import type {UsageSums} from './usage-sums.js';
import {windowAt, windowEndMs, type UsageTiming} from './usage-window.js';
import type {WindowTime} from './window-time.js';

/** Dependencies of a {@link UsageDuty}. */
export interface UsageDutyParts {
  readonly host: string;
  /** Unix time at which this host started, in milliseconds. */
  readonly incarnation: number;
  readonly timing: UsageTiming;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: UsageMetrics;
  readonly time: WindowTime;
  readonly votes: ClockVotes;
  readonly counter: UsageCounter;
  readonly sums: UsageSums;
  readonly plan: UsagePlan;
  /** Names of the other hosts that may be running. */
  readonly others: () => readonly string[];
  /** Names of the other hosts from which messages were received recently. */
  readonly live: () => readonly string[];
}

/** Fixes the usage reports in the store, and sends what is fixed to the platform. */
export class UsageDuty extends DutyTask {
  /** @param parts - Dependencies. */
  constructor(private readonly parts: UsageDutyParts) {
    super();
  }

  override adopt(records: readonly PositionedRecord[]): void {
    this.parts.plan.adopt(records, this.trueMs);
    this.discardFixed();
  }

  override lost(): void {
    this.parts.plan.lost();
  }

  override async run(held: HeldDuties, nowMs: number): Promise<void> {
    this.correctTime(nowMs);
    this.expire();
    await this.record(held);
    await this.send(held);
  }

  private get trueMs(): number {
    const {clock, time} = this.parts;
    return time.trueMs(clock.nowMs());
  }

  private correctTime(nowMs: number): void {
    const {clock, others, time, votes} = this.parts;
    const wallOffsetMs = clock.wallMs() - clock.nowMs();
    const {offsetMs, revision} = time;
    const hosts = others().length + 1;
    const byMs = votes.ownCorrectionMs({offsetMs, wallOffsetMs}, hosts, nowMs);
    if (byMs !== 0) time.correct(byMs, revision);
  }

  private expire(): void {
    const {logger, metrics, plan} = this.parts;
    for (const {from, windows} of plan.expire(this.trueMs)) {
      metrics.ended(reportResults.missed, windows);
      logger.event('usageMissed', {window: from, windows});
    }
  }

  private async record(held: HeldDuties): Promise<void> {
    const {logger, metrics, plan} = this.parts;
    const reports = [...plan.reportsToRecord(this.view())];
    if (reports.length === 0) return;
    const records = reports.map(each => ({kind: 'usage', ...each}) as const);
    if (!(await held.record(records))) return;
    plan.recorded(reports, this.trueMs);
    this.discardFixed();
    for (const report of reports) {
      metrics.recorded();
      logger.event('usageFixed', this.describe(report));
    }
  }

  private async send(held: HeldDuties): Promise<void> {
    const {logger, metrics, plan} = this.parts;
    for (const report of [...plan.reportsToSend(this.trueMs)]) {
      const result = await held.call({kind: 'usage', ...report});
      const {trueMs} = this;
      switch (result) {
        case dutyCallResults.accepted:
          this.recordSent(report, trueMs);
          break;
        case dutyCallResults.refused:
          plan.wasRefused(report.window);
          metrics.ended(reportResults.refused);
          logger.event('usageRefused', {window: report.window});
          break;
        case dutyCallResults.busy:
        case dutyCallResults.unanswered:
          metrics.unconfirmed(result);
          return plan.failed(trueMs);
        default:
          return;
      }
    }
  }

  private recordSent(report: UsageReport, trueMs: number): void {
    const {logger, metrics, plan, timing} = this.parts;
    const {window} = report;
    plan.sent(window);
    const afterMs = Math.round(trueMs - windowEndMs(window, timing.windowMs));
    const isLate = afterMs > timing.dueMs;
    metrics.ended(isLate ? reportResults.late : reportResults.accepted);
    const fields = {...this.describe(report), afterMs};
    metrics.reported(fields.requests);
    logger.event(isLate ? 'usageLate' : 'usageSent', fields);
  }

  private describe({window, counts}: UsageReport) {
    const numbers = Object.values(counts);
    const requests = numbers.reduce((sum, count) => sum + count, 0);
    return {window, organisations: numbers.length, requests};
  }

  private discardFixed(): void {
    const {counter, plan, sums} = this.parts;
    const {fixedBefore} = plan.marks;
    counter.discardBefore(fixedBefore);
    sums.discardBefore(fixedBefore);
  }

  private view(): CountsView {
    const {clock, counter, host, incarnation, sums, time, timing} = this.parts;
    const {live, others} = this.parts;
    const nowMs = clock.nowMs();
    const trueMs = time.trueMs(nowMs);
    const {windowMs} = timing;
    counter.advance(windowAt(trueMs, windowMs));
    for (const window of counter.list()) {
      const counts = counter.counts(window);
      sums.receive(host, incarnation, window, counts, nowMs);
    }
    const hasReported =
      (hosts: () => readonly string[]) => (window: number, sinceMs: number) =>
        hosts().every(each =>
          sums.hasReported(
            each,
            window,
            windowEndMs(window, windowMs),
            sinceMs - time.offsetMs,
          ),
        );
    return {
      trueMs,
      startedWindow: windowAt(sums.firstStartMs, windowMs),
      firstCounted: sums.firstCounted,
      isComplete: hasReported(others),
      isLiveComplete: hasReported(live),
      counts: window => sums.counts(window),
    };
  }
}
