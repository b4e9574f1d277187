import type {CrashRecord} from './crash-record.js';
import {contradictionMs, CrashTimes} from './crash-times.js';

/** Decides from the crashes under which fingerprints ran which of them are refused. */
export abstract class BlameRule {
  /** Number of crashes that are kept for each fingerprint. */
  abstract readonly crashesKept: number;
  /** Age up to which the same crash may count later although it does not count now, in milliseconds. */
  abstract readonly settleMs: number;

  /**
   * Finds the fingerprints to refuse.
   *
   * @param crashes - Crashes by fingerprint, without those that expired or were cleared.
   * @param nowMs - Current time in milliseconds.
   * @param times - Times at which targets seemed to crash, also for fingerprints that were cleared.
   * @returns The refused fingerprints.
   */
  abstract blocked(
    crashes: ReadonlyMap<string, readonly CrashRecord[]>,
    nowMs: number,
    times?: CrashTimes,
  ): Set<string>;
}

/** Refuses each fingerprint with a number of crashes. */
export class CrashCountRule extends BlameRule {
  override readonly settleMs = 0;

  /** @param crashesKept - Number of crashes from which a fingerprint is refused. */
  constructor(override readonly crashesKept: number) {
    super();
  }

  override blocked(
    crashes: ReadonlyMap<string, readonly CrashRecord[]>,
  ): Set<string> {
    const blocked = new Set<string>();
    for (const [fingerprint, records] of crashes) {
      if (records.length >= this.crashesKept) blocked.add(fingerprint);
    }
    return blocked;
  }
}

/**
 * Time by which a run may seem to start before the crash that it followed, in milliseconds: hosts date each other's
 * crashes by the ages in messages.
 */
const orderToleranceMs = 20;
/** Time within which crashes of several targets may have one cause, in milliseconds: a cut, a rack, a switch. */
const commonCauseMs = 250;
/** Number of other targets that crashed at about the same time from which a crash is no evidence. */
const targetsOfCommonCause = 3;
/** Sum of the weights of crashes in a row from which a fingerprint is refused. */
const crashesToBlame = 3;
/** Sum of the weights of confirmed crashes from which those that are not confirmed yet count as well. */
const confirmedToBlame = 2;

/**
 * Refuses the fingerprints that explain crashes best. Runs that overlapped count as one crash, because one cause may
 * have ended their targets together: a fingerprint is suspected again only by a run that started after the crash
 * before. A crash together with those of several targets that the fingerprint does not explain is no evidence. What a
 * refused fingerprint explains is no evidence against others, so that of several under the same crashes only the most
 * specific one is refused. Crashes that are not confirmed count only beside confirmed ones, because a cut between hosts
 * and targets looks like many of them.
 */
export class BestExplanationRule extends BlameRule {
  override readonly crashesKept = 8;
  /** Time in which the reports of other hosts arrive, which may explain a crash by something more specific. */
  override readonly settleMs = 300;

  override blocked(
    crashes: ReadonlyMap<string, readonly CrashRecord[]>,
    nowMs: number,
    times = timesOf(crashes),
  ): Set<string> {
    const blocked = new Set<string>();
    const explained = new Set<string>();
    const candidates = new Map(
      [...crashes].filter(([, records]) => records.length >= crashesToBlame),
    );
    if (candidates.size === 0) return blocked;
    const crashedMs = firstCrashes(crashes);
    for (const [fingerprint, records] of candidates) {
      candidates.set(fingerprint, attributable(records, crashedMs, times));
    }
    for (;;) {
      const best = this.findBest(candidates, explained, nowMs);
      if (best === undefined) return blocked;
      blocked.add(best);
      for (const {target} of candidates.get(best) ?? []) explained.add(target);
      candidates.delete(best);
    }
  }

  /** Finds the fingerprint that explains most of the unexplained crashes, and of equal ones the most specific. */
  private findBest(
    candidates: ReadonlyMap<string, readonly CrashRecord[]>,
    explained: ReadonlySet<string>,
    nowMs: number,
  ): string | undefined {
    let best: {fingerprint: string; count: number; rank: number} | undefined;
    for (const [fingerprint, records] of candidates) {
      const unexplained = records.filter(({target}) => !explained.has(target));
      const rank = Math.min(...unexplained.map(record => record.rank ?? 0));
      const settledMs = rank > 0 ? nowMs - this.settleMs : nowMs;
      const settled = unexplained.filter(({atMs}) => atMs <= settledMs);
      const confirmed = settled.filter(({isProvisional}) => !isProvisional);
      if (weightInSequence(confirmed) < confirmedToBlame) continue;
      if (weightInSequence(settled) < crashesToBlame) continue;
      const count = new Set(unexplained.map(({target}) => target)).size;
      const isBetter =
        !best ||
        count > best.count ||
        (count === best.count && rank < best.rank);
      if (isBetter) best = {fingerprint, count, rank};
    }
    return best?.fingerprint;
  }
}

/** Sums the weights of the crashes of which each run started after the crash counted before. */
function weightInSequence(records: readonly CrashRecord[]): number {
  let sum = 0;
  let lastMs = -Infinity;
  for (const {atMs, startedMs, weight = 1} of [...records].sort(
    (a, b) => a.atMs - b.atMs,
  )) {
    if ((startedMs ?? atMs) < lastMs - orderToleranceMs) continue;
    sum += weight;
    lastMs = atMs;
  }
  return sum;
}

/** Finds when each target crashed: a target that is named with its incarnation crashes only once. */
function firstCrashes(
  crashes: ReadonlyMap<string, readonly CrashRecord[]>,
): Map<string, number> {
  const crashedMs = new Map<string, number>();
  for (const records of crashes.values()) {
    for (const {target, atMs} of records) {
      crashedMs.set(target, Math.min(atMs, crashedMs.get(target) ?? Infinity));
    }
  }
  return crashedMs;
}

function timesOf(
  crashes: ReadonlyMap<string, readonly CrashRecord[]>,
): CrashTimes {
  const times = new CrashTimes();
  const records = [...crashes.values()].flat();
  for (const record of records.sort((a, b) => a.atMs - b.atMs)) {
    times.add(record);
  }
  return times;
}

/**
 * Leaves out the crashes around which several other targets crashed or seemed to, and those of targets that had crashed
 * before the run began.
 *
 * @param records - Crashes of one fingerprint.
 * @param crashedMs - Times of the crashes of all targets, in milliseconds.
 * @param times - Times at which targets seemed to crash.
 */
function attributable(
  records: readonly CrashRecord[],
  crashedMs: ReadonlyMap<string, number>,
  times: CrashTimes,
): CrashRecord[] {
  const own = new Set(records.map(({target}) => target));
  return records.filter(({target, atMs, startedMs = atMs}) => {
    const crashMs = crashedMs.get(target) ?? atMs;
    const beside = times.count(
      crashMs - commonCauseMs,
      crashMs + commonCauseMs,
      own,
    );
    return (
      beside < targetsOfCommonCause && startedMs <= crashMs + contradictionMs
    );
  });
}
