import type {CrashEvidence} from './crash-evidence.js';
import type {
  ClearedFingerprint,
  CrashEvidenceExport,
  CrashRecord,
} from './crash-record.js';

/** A crash as hosts report it, with ages in place of times, in milliseconds. */
export interface ReportedCrash {
  readonly fingerprint: string;
  readonly target: string;
  readonly rank: number;
  readonly weight: number;
  readonly ageMs: number;
  readonly startedAgeMs: number;
  /** Whether the crash is not confirmed yet. */
  readonly isProvisional: boolean;
}

/** Crash evidence in one message between hosts. */
export interface CrashReport {
  readonly crashes: readonly ReportedCrash[];
  /** Fingerprints that completed, with the age of the completion in milliseconds. */
  readonly cleared: readonly {
    readonly fingerprint: string;
    readonly ageMs: number;
  }[];
}

/** A report without evidence. */
export const emptyReport: CrashReport = {crashes: [], cleared: []};

/** Maximum number of crashes and of completions in one message; some 40 bytes each. */
const maxEntries = 16;
/** Messages in which a host states what it saw itself, so that two of them may be lost. */
const repeats = 3;
/**
 * Interval at which every host repeats the crashes of refused fingerprints, for hosts that started or were cut off, and
 * of suspected ones, so that a host on which they complete can clear them: the first messages of a host that was
 * cut off itself got lost.
 */
const repeatMs = 2000;
/** Number of crashes from which a fingerprint is suspected. */
const crashesToSuspect = 2;

interface Sent {
  count: number;
  atMs: number;
}

/** Chooses the crash evidence for each message of this host, the most important first. */
export class CrashReporter {
  private readonly sent = new Map<CrashRecord | ClearedFingerprint, Sent>();

  /** @param evidence - Evidence of this host. */
  constructor(private readonly evidence: CrashEvidence) {}

  /**
   * Builds the report for the next message.
   *
   * @param nowMs - Time of the evidence's clock, in milliseconds.
   */
  take(nowMs: number): CrashReport {
    const {records, cleared} = this.evidence.export(nowMs);
    if (records.length === 0 && cleared.length === 0) {
      this.sent.clear();
      return emptyReport;
    }
    const blocked = this.evidence.blocked(nowMs);
    const isBlocked = ({fingerprint}: {fingerprint: string}) =>
      blocked.has(fingerprint);
    const order = [...records].sort(
      (a, b) =>
        Number(isBlocked(b)) - Number(isBlocked(a)) ||
        a.suspects - b.suspects ||
        b.atMs - a.atMs,
    );
    const known = new Set<CrashRecord | ClearedFingerprint>();
    const counts = new Map<string, number>();
    for (const {fingerprint} of records) {
      counts.set(fingerprint, (counts.get(fingerprint) ?? 0) + 1);
    }
    const isSuspected = ({fingerprint}: CrashRecord | ClearedFingerprint) =>
      (counts.get(fingerprint) ?? 0) >= crashesToSuspect;
    const isDue = (entry: CrashRecord | ClearedFingerprint) => {
      known.add(entry);
      const {count, atMs} = this.sent.get(entry) ?? {count: 0, atMs: -Infinity};
      if (entry.isLocal && count < repeats) return true;
      const isRepeated =
        isBlocked(entry) || (entry.isLocal === true && isSuspected(entry));
      return isRepeated && nowMs - atMs >= repeatMs;
    };
    const crashes = this.takeDue(nowMs, order, isDue);
    const completions = this.takeDue(nowMs, cleared, isDue);
    for (const entry of this.sent.keys()) {
      if (!known.has(entry)) this.sent.delete(entry);
    }
    return {
      crashes: crashes.map(record => ({
        fingerprint: record.fingerprint,
        target: record.target,
        rank: record.rank ?? 0,
        weight: record.weight ?? 1,
        ageMs: nowMs - record.atMs,
        startedAgeMs: nowMs - (record.startedMs ?? record.atMs),
        isProvisional: record.isProvisional === true,
      })),
      cleared: completions.map(({fingerprint, atMs}) => ({
        fingerprint,
        ageMs: nowMs - atMs,
      })),
    };
  }

  private takeDue<T extends CrashRecord | ClearedFingerprint>(
    nowMs: number,
    entries: readonly T[],
    isDue: (entry: T) => boolean,
  ): T[] {
    const taken = entries.filter(isDue).slice(0, maxEntries);
    for (const entry of taken) {
      const count = (this.sent.get(entry)?.count ?? 0) + 1;
      this.sent.set(entry, {count, atMs: nowMs});
    }
    return taken;
  }
}

/**
 * Converts a report of another host to evidence.
 *
 * @param report - Report as received.
 * @param composedAtMs - Time at which it was composed, on the evidence's clock, in milliseconds.
 */
export function toEvidence(
  {crashes, cleared}: CrashReport,
  composedAtMs: number,
): CrashEvidenceExport {
  return {
    records: crashes.map(({ageMs, startedAgeMs, ...crash}) => ({
      ...crash,
      atMs: composedAtMs - ageMs,
      startedMs: composedAtMs - startedAgeMs,
      suspects: 1,
    })),
    cleared: cleared.map(({fingerprint, ageMs}) => ({
      fingerprint,
      atMs: composedAtMs - ageMs,
    })),
  };
}
