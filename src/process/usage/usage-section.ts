import type {Clock} from '../clock.js';
import type {RequestCounts} from '../duties/duty-record.js';
import {GossipSection, type SectionOrigin} from '../fleet/gossip-section.js';
import {isNumberWithin, maxCount, maxDurationMs} from '../number-limits.js';
import type {ClockVotes} from './clock-votes.js';
import type {UsageCounter} from './usage-counter.js';
import type {UsageMarks, UsagePlan} from './usage-plan.js';
import type {UsageSums} from './usage-sums.js';
import {keptWindows, windowAt} from './usage-window.js';
import type {WindowTime} from './window-time.js';

/** Newest windows that each message contains; older ones are sent by turns. */
const newestWindows = 2;
/** Largest Unix time and window number that a message can state. */
const maxTime = Number.MAX_SAFE_INTEGER;

/** Dependencies of a {@link UsageReportSection}. */
export interface UsageSectionParts {
  readonly host: string;
  readonly windowMs: number;
  readonly clock: Clock;
  readonly time: WindowTime;
  readonly votes: ClockVotes;
  readonly counter: UsageCounter;
  readonly sums: UsageSums;
  readonly plan: UsagePlan;
  /** Name of the host that holds the duties, if it is known. */
  readonly holder: () => string | undefined;
  /** Chooses the deputy that this host names while it holds the duties, if there is another host. */
  readonly chooseDeputy: () => string | undefined;
}

/** Sends the counts of this host to the holder of the duties and to its deputy, and receives those of other hosts. */
export class UsageReportSection extends GossipSection {
  override readonly name = 'us';
  private deputy: string | undefined;
  /** Number of messages with older windows, by recipient. */
  private readonly turns = new Map<string, number>();

  /** @param parts - Dependencies. */
  constructor(private readonly parts: UsageSectionParts) {
    super();
  }

  override compose(): unknown {
    const {plan, chooseDeputy} = this.parts;
    if (!this.isHolder) return undefined;
    this.deputy = chooseDeputy();
    const {fixedBefore, sentBefore} = plan.marks;
    return [fixedBefore, sentBefore, this.deputy ?? ''];
  }

  override composeFor(recipient: string, nowMs: number): unknown {
    const {clock, time, votes, holder} = this.parts;
    const {offsetMs} = time;
    const wallOffsetMs = clock.wallMs() - clock.nowMs();
    const correction = this.isHolder
      ? votes.correction(recipient, {offsetMs, wallOffsetMs}, nowMs)
      : undefined;
    const isReported = recipient === holder() || recipient === this.deputy;
    if (!isReported && !correction) return undefined;
    return {
      ...(isReported
        ? {r: this.composeReport(recipient, wallOffsetMs, nowMs)}
        : {}),
      ...(correction ? {c: [correction.byMs, correction.revision]} : {}),
    };
  }

  override receive(value: unknown, {host}: SectionOrigin): void {
    if (!Array.isArray(value)) return;
    const [fixedBefore, sentBefore, deputy] = value as unknown[];
    if (!isNumberWithin(fixedBefore, maxTime)) return;
    if (!isNumberWithin(sentBefore, maxTime)) return;
    this.receiveMarks({fixedBefore, sentBefore});
    if (host !== this.parts.holder() || typeof deputy !== 'string') return;
    this.deputy = deputy || undefined;
  }

  override receiveDirected(value: unknown, origin: SectionOrigin): void {
    if (!isRecord(value)) return;
    const {r: report, c: correction} = value;
    if (Array.isArray(report)) this.receiveReport(report, origin);
    if (!Array.isArray(correction)) return;
    const [byMs, revision] = correction as unknown[];
    // Only the holder compares the clocks of all hosts.
    if (origin.host !== this.parts.holder()) return;
    if (!isNumberWithin(byMs, maxTime, -maxTime)) return;
    if (isNumberWithin(revision, maxTime)) {
      this.parts.time.correct(byMs, revision);
    }
  }

  private get isHolder(): boolean {
    return this.parts.holder() === this.parts.host;
  }

  private composeReport(
    recipient: string,
    wallOffsetMs: number,
    nowMs: number,
  ): unknown[] {
    const {counter, plan, time, windowMs} = this.parts;
    const trueMs = time.trueMs(nowMs);
    counter.advance(windowAt(trueMs, windowMs));
    return [
      Math.round(trueMs),
      Math.round(wallOffsetMs - time.offsetMs),
      time.revision,
      plan.marks.fixedBefore,
      ...[...this.takeWindows(recipient)].map(each => [
        each,
        counter.counts(each),
      ]),
    ];
  }

  /** Lists the newest windows and one of the older ones, by turns. */
  private *takeWindows(recipient: string): Generator<number> {
    const windows = [...this.parts.counter.list()];
    const older = windows.slice(0, -newestWindows);
    const turn = this.turns.get(recipient) ?? 0;
    this.turns.set(recipient, turn + 1);
    if (older.length > 0) yield older[turn % older.length];
    yield* windows.slice(-newestWindows);
  }

  private receiveReport(report: unknown[], origin: SectionOrigin): void {
    const {clock, votes, sums, time, windowMs} = this.parts;
    const {host, incarnation, composedAtMs} = origin;
    const [trueMs, wallLeadMs, revision, fixedBefore, ...rows] = report;
    if (!isNumberWithin(trueMs, maxTime)) return;
    if (!isNumberWithin(wallLeadMs, maxTime, -maxTime)) return;
    if (!isNumberWithin(revision, maxTime)) return;
    const nowMs = clock.nowMs();
    const statement = {trueMs, wallLeadMs, revision};
    votes.record(host, statement, composedAtMs, nowMs);
    if (isNumberWithin(fixedBefore, maxTime)) {
      this.receiveMarks({fixedBefore, sentBefore: 0});
    }
    const current = windowAt(time.trueMs(nowMs), windowMs);
    sums.discardBefore(current - keptWindows);
    for (const row of rows) {
      if (!Array.isArray(row)) continue;
      const [window, counts] = row as unknown[];
      // Counts of a clock that is far off are not kept.
      if (!isNumberWithin(window, current + 1, current - keptWindows)) continue;
      if (!Number.isInteger(window)) continue;
      const valid = decodeCounts(counts);
      sums.receive(host, incarnation, window, valid, composedAtMs);
    }
  }

  private receiveMarks(marks: UsageMarks): void {
    const {clock, counter, plan, sums, time} = this.parts;
    plan.receiveMarks(marks, time.trueMs(clock.nowMs()));
    const {fixedBefore} = plan.marks;
    counter.discardBefore(fixedBefore);
    sums.discardBefore(fixedBefore);
  }
}

function decodeCounts(value: unknown): RequestCounts {
  if (!isRecord(value)) return {};
  return Object.fromEntries(
    Object.entries(value).filter((entry): entry is [string, number] =>
      isNumberWithin(entry[1], Math.min(maxCount, maxDurationMs)),
    ),
  );
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null;
}
