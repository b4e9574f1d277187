import type {PositionedRecord, RequestCounts} from '../duties/duty-record.js';
import {
  oldestWindow,
  windowAt,
  windowEndMs,
  type UsageTiming,
} from './usage-window.js';

/** Share of the time until a report is late after which the reports of other hosts count as complete. */
const settleShare = 0.2;
/** Share of it after which only the reports of live hosts are needed. */
const liveShare = 0.3;
/** Share of it after which a window is fixed although reports of hosts are missing. */
const waitShare = 0.5;
/** Share of it up to which a host that has just taken over waits for them. */
const takeoverShare = 0.9;
/** Time for which a host that has just taken over waits for the reports of other hosts, in milliseconds. */
const takeoverWaitMs = 2000;
/** Time after which a report is sent again, and the longest one after several failures, in milliseconds. */
const minPauseMs = 500;
const maxPauseMs = 2000;

/** A report for one window. */
export interface UsageReport {
  readonly window: number;
  readonly counts: RequestCounts;
}

/** What the holder knows of the counts. */
export interface CountsView {
  /** Unix time, in milliseconds. */
  readonly trueMs: number;
  /** Window in which the first known run of a host started. */
  readonly startedWindow: number;
  /** First window with requests, if there is one. */
  readonly firstCounted: number | undefined;
  /**
   * Checks whether all hosts that may be running have reported a window.
   *
   * @param window - Number of the window.
   * @param sinceMs - Unix time after which the reports must have been composed, in milliseconds.
   */
  isComplete(window: number, sinceMs: number): boolean;
  /** Checks the same for the hosts that are live. */
  isLiveComplete(window: number, sinceMs: number): boolean;
  /** Sums the counts of a window. */
  counts(window: number): RequestCounts;
}

/** Up to where the windows are done, as the holder states it to all hosts. */
export interface UsageMarks {
  /** Earlier windows are never fixed again. */
  readonly fixedBefore: number;
  /** Earlier windows are not sent again. */
  readonly sentBefore: number;
}

/** Successive windows. */
export interface WindowRange {
  readonly from: number;
  windows: number;
}

/** Decides which reports to fix and which to send. */
export class UsagePlan {
  /** Fixed reports, and counts whose append was not confirmed; both are never changed. */
  private readonly fixed = new Map<number, RequestCounts>();
  private readonly drafts = new Map<number, RequestCounts>();
  /** Windows whose reports the log holds; after the store was restored, fixed ones may be missing. */
  private logged = new Set<number>();
  private readonly accepted = new Set<number>();
  /** Windows whose reports the platform refused in this term. */
  private readonly refused = new Set<number>();
  private fixedBefore = 0;
  private sentBefore = 0;
  /** First window of which it is not decided whether its report is missing. */
  private openFrom: number | undefined;
  private takenAtMs: number | undefined;
  private pauseMs = minPauseMs;
  private sendAtMs = -Infinity;

  /** @param timing - Timing of the reports. */
  constructor(private readonly timing: UsageTiming) {}

  /** What to state to the other hosts. */
  get marks(): UsageMarks {
    const unsent = [...this.fixed.keys()].filter(each => !this.isSent(each));
    const sentBefore = Math.min(this.fixedBefore, ...unsent);
    return {fixedBefore: this.fixedBefore, sentBefore};
  }

  /**
   * Adopts the records of the log when this host has taken over, or the log was read again.
   *
   * @param records - Newest record of each key.
   * @param trueMs - Unix time, in milliseconds.
   */
  adopt(records: readonly PositionedRecord[], trueMs: number): void {
    const ordered = [...records].sort((a, b) => a.position - b.position);
    this.logged = new Set();
    for (const {record} of ordered) {
      if (record.kind !== 'usage') continue;
      this.logged.add(record.window);
      this.fixed.set(record.window, record.counts);
      this.drafts.delete(record.window);
      this.raiseFixed(record.window + 1, trueMs);
    }
    if (this.takenAtMs !== undefined) return;
    this.takenAtMs = trueMs;
    this.sendAtMs = -Infinity;
    this.pauseMs = minPauseMs;
  }

  /** Records that this host no longer holds the duties. */
  lost(): void {
    this.takenAtMs = undefined;
    this.openFrom = undefined;
    this.refused.clear();
  }

  /**
   * Applies the marks that another host stated.
   *
   * @param marks - Marks as received.
   * @param trueMs - Unix time, in milliseconds.
   */
  receiveMarks(marks: UsageMarks, trueMs: number): void {
    this.raiseFixed(marks.fixedBefore, trueMs);
    const sentBefore = Math.min(marks.sentBefore, this.fixedBefore);
    this.sentBefore = Math.max(this.sentBefore, sentBefore);
  }

  /**
   * Lists the reports that have to be recorded now, the oldest first.
   *
   * @param view - Counts that are known.
   */
  *reportsToRecord(view: CountsView): Generator<UsageReport> {
    const {trueMs} = view;
    const oldest = this.oldest(trueMs);
    for (const [window, counts] of this.fixed) {
      const isMissing = !this.logged.has(window) && !this.isSent(window);
      if (isMissing && window >= oldest) yield {window, counts};
    }
    const first =
      this.fixedBefore > 0
        ? Math.max(this.fixedBefore, view.startedWindow)
        : view.firstCounted;
    if (first === undefined || !Number.isFinite(first)) return;
    const kept = [...this.fixed.keys()].filter(each => each >= oldest);
    this.openFrom ??= Math.min(first, ...kept);
    for (let window = Math.max(first, oldest); ; window++) {
      if (this.fixed.has(window)) continue;
      const endMs = windowEndMs(window, this.timing.windowMs);
      const settledMs = endMs + settleShare * this.timing.dueMs;
      if (trueMs < settledMs) return;
      const isReady =
        this.drafts.has(window) ||
        trueMs >= this.waitUntilMs(endMs) ||
        view.isComplete(window, settledMs) ||
        (trueMs >= endMs + liveShare * this.timing.dueMs &&
          view.isLiveComplete(window, settledMs));
      if (!isReady) return;
      const counts = this.drafts.get(window) ?? view.counts(window);
      // Its append may arrive although it fails, so the counts stay the same from here on.
      this.drafts.set(window, counts);
      yield {window, counts};
    }
  }

  /**
   * Records that reports are in the log.
   *
   * @param reports - Reports that were appended.
   * @param trueMs - Unix time, in milliseconds.
   */
  recorded(reports: readonly UsageReport[], trueMs: number): void {
    for (const {window, counts} of reports) {
      this.fixed.set(window, counts);
      this.logged.add(window);
      this.drafts.delete(window);
      this.raiseFixed(window + 1, trueMs);
    }
  }

  /**
   * Lists the fixed reports that have to be sent now, the oldest first.
   *
   * @param trueMs - Unix time, in milliseconds.
   */
  *reportsToSend(trueMs: number): Generator<UsageReport> {
    const oldest = this.oldest(trueMs);
    const windows = [...this.fixed.keys()].sort((a, b) => a - b);
    for (const window of windows) {
      if (trueMs < this.sendAtMs) return;
      const counts = this.fixed.get(window);
      if (!counts || window < oldest || !this.logged.has(window)) continue;
      if (this.isSent(window) || this.refused.has(window)) continue;
      yield {window, counts};
    }
  }

  /**
   * Records that the platform accepted a report.
   *
   * @param window - Number of the window.
   */
  sent(window: number): void {
    this.accepted.add(window);
    this.pauseMs = minPauseMs;
  }

  /**
   * Records that the platform refused a report. It is not sent again in this term.
   *
   * @param window - Number of the window.
   */
  wasRefused(window: number): void {
    this.refused.add(window);
  }

  /**
   * Records that a report may not have been accepted, so that it is sent again after a pause.
   *
   * @param trueMs - Unix time, in milliseconds.
   */
  failed(trueMs: number): void {
    this.sendAtMs = trueMs + this.pauseMs;
    this.pauseMs = Math.min(this.pauseMs * 2, maxPauseMs);
  }

  /**
   * Drops the windows that are too old.
   *
   * @param trueMs - Unix time, in milliseconds.
   * @returns Those whose reports were not accepted, as ranges.
   */
  expire(trueMs: number): WindowRange[] {
    const oldest = this.oldest(trueMs);
    const missed: WindowRange[] = [];
    let range: WindowRange | undefined;
    for (let window = this.openFrom ?? oldest; window < oldest; window++) {
      if (this.isSent(window)) range = undefined;
      else if (range) range.windows++;
      else missed.push((range = {from: window, windows: 1}));
    }
    if (this.openFrom !== undefined) {
      this.openFrom = Math.max(this.openFrom, oldest);
    }
    for (const set of [this.fixed, this.drafts, this.accepted, this.refused]) {
      for (const window of set.keys()) if (window < oldest) set.delete(window);
    }
    return missed;
  }

  /** Time at which a window is fixed although reports of hosts are missing, as Unix time in milliseconds. */
  private waitUntilMs(endMs: number): number {
    const {dueMs} = this.timing;
    const takenAtMs = this.takenAtMs ?? -Infinity;
    const waitMs = endMs + waitShare * dueMs;
    const joinedMs = takenAtMs + takeoverWaitMs;
    if (joinedMs <= waitMs) return waitMs;
    const lastMs = endMs + takeoverShare * dueMs;
    return takenAtMs < lastMs ? Math.min(joinedMs, lastMs) : joinedMs;
  }

  private isSent(window: number): boolean {
    return window < this.sentBefore || this.accepted.has(window);
  }

  private oldest(trueMs: number): number {
    return oldestWindow(trueMs, this.timing.windowMs);
  }

  /** Raises the mark, except to windows that have not begun: a clock was wrong where they were fixed. */
  private raiseFixed(before: number, trueMs: number): void {
    if (before > windowAt(trueMs, this.timing.windowMs) + 1) return;
    this.fixedBefore = Math.max(this.fixedBefore, before);
  }
}
