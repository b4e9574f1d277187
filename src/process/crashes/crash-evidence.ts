import {CrashCountRule, type BlameRule} from './blame-rule.js';
import {CrashTimes} from './crash-times.js';
import {
  attemptEnds,
  RunningAttempts,
  type AttemptEnd,
  type Suspect,
} from './running-attempts.js';
import type {
  ClearedFingerprint,
  CrashEvidenceExport,
  CrashRecord,
} from './crash-record.js';

/** Settings of {@link CrashEvidence}. */
export interface CrashEvidenceOptions {
  /** Time after which evidence expires, in milliseconds. */
  readonly expiryMs?: number;
  /** Maximum time from a broken request to a crash for which it is suspected, in milliseconds. */
  readonly suspicionMs?: number;
  /**
   * Time in which a crash that is not certain must be confirmed, in milliseconds: the target has to start again, and its
   * new entry to be read. By default broken requests are not kept beyond `suspicionMs`.
   */
  readonly confirmationMs?: number;
  /** Maximum number of fingerprints with evidence. */
  readonly maxFingerprints?: number;
  /** Decides which fingerprints are refused; by default those with {@link maxCrashes} crashes. */
  readonly rule?: BlameRule;
}

/** Number of crashes after which requests with a fingerprint are refused, unless a rule says otherwise. */
export const maxCrashes = 2;
/** Reports of a target's crash that are at most this far apart are about the same one, in milliseconds. */
const sameCrashMs = 2000;

interface Verdict {
  readonly blocked: ReadonlySet<string>;
  /** Time until which it does not change without new evidence, in milliseconds. */
  readonly untilMs: number;
}

/**
 * Identifies requests and prompt parts that crash targets. It reads no clock: all times it is given are of one clock.
 * Hosts that exchange evidence by wall time do not state when runs began, so that a clock error changes only
 * when evidence expires.
 */
export class CrashEvidence {
  private readonly running: RunningAttempts;
  private readonly crashes = new Map<string, CrashRecord[]>();
  private readonly cleared = new Map<string, ClearedFingerprint>();
  /** Latest completion of each fingerprint on this host, which may be later than a crash that is reported afterwards. */
  private readonly completions = new Map<string, number>();
  private readonly times = new CrashTimes();
  private verdict: Verdict | undefined;
  private readonly rule: BlameRule;
  private readonly expiryMs: number;
  private readonly suspicionMs: number;
  private readonly confirmationMs: number;
  private readonly maxFingerprints: number;

  /**
   * @param options - Times and limits.
   */
  constructor(options: CrashEvidenceOptions = {}) {
    this.expiryMs = options.expiryMs ?? 600_000;
    this.suspicionMs = options.suspicionMs ?? 2000;
    this.confirmationMs = options.confirmationMs ?? this.suspicionMs;
    this.running = new RunningAttempts(this.confirmationMs);
    this.maxFingerprints = options.maxFingerprints ?? 10_000;
    this.rule = options.rule ?? new CrashCountRule(maxCrashes);
  }

  /**
   * Records that an attempt was sent to a target.
   *
   * @param target - Name of the target.
   * @param attemptId - Id of the attempt.
   * @param fingerprints - Fingerprints of the request, the most specific first.
   * @param startedMs - Current time, in milliseconds, unless starts are not compared with crashes.
   */
  started(
    target: string,
    attemptId: string,
    fingerprints: readonly string[],
    startedMs?: number,
  ): void {
    this.running.add(target, attemptId, {fingerprints, startedMs});
  }

  /**
   * Records that a target began to respond to an attempt.
   *
   * @param target - Name of the target.
   * @param attemptId - Id of the attempt.
   * @param nowMs - Current time in milliseconds.
   */
  responded(target: string, attemptId: string, nowMs: number): void {
    this.running.responded(target, attemptId, nowMs);
  }

  /**
   * Records the end of an attempt. A completion clears the request's evidence.
   *
   * @param target - Name of the target.
   * @param attemptId - Id of the attempt.
   * @param outcome - `broken` attempts stay suspects until it is known whether the target crashed.
   * @param nowMs - Current time in milliseconds.
   */
  ended(
    target: string,
    attemptId: string,
    outcome: AttemptEnd,
    nowMs: number,
  ): void {
    if (outcome === attemptEnds.broken) {
      return this.running.broke(target, attemptId, nowMs);
    }
    const run = this.running.remove(target, attemptId);
    if (!run || outcome !== attemptEnds.completed) return;
    for (const fingerprint of run.fingerprints) {
      // Re-inserting keeps the latest completions when the map is full.
      this.completions.delete(fingerprint);
      this.completions.set(fingerprint, nowMs);
      if (this.crashes.has(fingerprint)) this.clear(fingerprint, nowMs);
    }
    this.limit(this.completions);
  }

  /**
   * Drops the broken attempts of a target that did not crash.
   *
   * @param target - Name of the target.
   */
  dismissBroken(target: string): void {
    this.running.dismissBroken(target);
  }

  /**
   * Withdraws the crash of a target that this host reported.
   *
   * @param target - Name of the target.
   */
  withdrawTargetCrash(target: string): void {
    this.times.delete(target);
    for (const [fingerprint, records] of this.crashes) {
      const kept = records.filter(
        record => record.target !== target || !record.isLocal,
      );
      if (kept.length < records.length) this.keep(fingerprint, kept);
    }
  }

  /**
   * Records the crash of a target: it is unreachable, or its load epoch changed. Attributes the crash
   * to the requests that were running on it.
   *
   * @param target - Name of the target.
   * @param nowMs - Current time in milliseconds.
   * @returns Number of requests that may have caused the crash.
   */
  recordTargetCrash(target: string, nowMs: number): number {
    const {suspicionMs} = this;
    const suspects = this.running.takeSuspects(target, nowMs, suspicionMs);
    this.accuse(target, nowMs, suspects);
    return suspects.length;
  }

  /**
   * Records that a target has probably crashed: it reset the connections of requests, or was silent, and accepts no new
   * ones. Attributes the crash to these requests; it counts fully once {@link recordReplacement} confirms it.
   *
   * @param target - Name of the target.
   * @param nowMs - Current time in milliseconds.
   * @returns Number of requests that may have caused the crash.
   */
  recordProbableCrash(target: string, nowMs: number): number {
    // Finding that a target does not answer takes longer than `suspicionMs`.
    const suspects = this.running.takeSuspects(
      target,
      nowMs,
      this.confirmationMs,
      true,
    );
    this.accuse(target, nowMs, suspects, true);
    return suspects.length;
  }

  /**
   * Records that a target was replaced by another process, so that it has crashed if it was not stopped. Confirms what all
   * hosts have reported about it, and attributes the crash to the requests of this host that it left without an answer.
   *
   * @param target - Name of the target.
   * @param nowMs - Current time in milliseconds.
   * @returns Number of requests to which the crash was not attributed before.
   */
  recordReplacement(target: string, nowMs: number): number {
    for (const [fingerprint, records] of this.crashes) {
      const isProbable = ({target: other, isProvisional}: CrashRecord) =>
        other === target && isProvisional === true;
      if (!records.some(isProbable)) continue;
      this.keep(
        fingerprint,
        records.map(record =>
          isProbable(record) ? {...record, isProvisional: false} : record,
        ),
      );
    }
    const {confirmationMs} = this;
    const suspects = this.running.takeSuspects(target, nowMs, confirmationMs);
    this.accuse(target, nowMs, suspects);
    return suspects.length;
  }

  private accuse(
    target: string,
    nowMs: number,
    suspects: readonly Suspect[],
    isProvisional = false,
  ): void {
    // Of several runs with one fingerprint, the first in this order counts.
    for (const {fingerprints, startedMs, brokenAtMs, weight} of suspects) {
      fingerprints.forEach((fingerprint, rank) =>
        this.add({
          fingerprint,
          target,
          atMs: startedMs === undefined ? nowMs : (brokenAtMs ?? nowMs),
          startedMs,
          weight,
          rank,
          suspects: suspects.length,
          isLocal: true,
          isProvisional,
        }),
      );
    }
  }

  /**
   * Checks whether a request must be refused because it crashes targets.
   *
   * @param fingerprints - Fingerprints of the request.
   * @param nowMs - Current time in milliseconds.
   */
  isBlocked(fingerprints: readonly string[], nowMs: number): boolean {
    return this.blockedAmong(fingerprints, nowMs) !== undefined;
  }

  /**
   * Finds the fingerprint for which a request must be refused.
   *
   * @param fingerprints - Fingerprints of the request.
   * @param nowMs - Current time in milliseconds.
   * @returns The fingerprint, or `undefined` if the request may run.
   */
  blockedAmong(
    fingerprints: readonly string[],
    nowMs: number,
  ): string | undefined {
    const blocked = this.blocked(nowMs);
    if (blocked.size === 0) return undefined;
    return fingerprints.find(fingerprint => blocked.has(fingerprint));
  }

  /**
   * Lists the fingerprints whose requests are refused.
   *
   * @param nowMs - Current time in milliseconds.
   */
  blocked(nowMs: number): ReadonlySet<string> {
    if (!this.verdict || nowMs >= this.verdict.untilMs) {
      const records = this.unexpired(nowMs);
      const {settleMs} = this.rule;
      const changesMs = records.map(record =>
        nowMs - record.atMs < settleMs
          ? record.atMs + settleMs
          : this.expiresAtMs(record),
      );
      this.verdict = {
        blocked: this.rule.blocked(this.crashes, nowMs, this.times),
        untilMs: Math.min(...changesMs),
      };
    }
    return this.verdict.blocked;
  }

  /**
   * Computes when the evidence expires for which a fingerprint is refused.
   *
   * @param fingerprint - Refused fingerprint.
   * @returns Time in milliseconds.
   */
  blockedUntilMs(fingerprint: string): number {
    const records = this.crashes.get(fingerprint) ?? [];
    return Math.max(...records.map(({atMs}) => atMs)) + this.expiryMs;
  }

  /**
   * Exports the evidence for other hosts.
   *
   * @param nowMs - Current time in milliseconds.
   * @returns Evidence and completions that have not expired.
   */
  export(nowMs: number): CrashEvidenceExport {
    for (const [fingerprint, {atMs}] of this.cleared) {
      if (nowMs - atMs > this.expiryMs) this.cleared.delete(fingerprint);
    }
    const cleared = [...this.cleared.values()];
    return {records: this.unexpired(nowMs), cleared};
  }

  /**
   * Merges evidence of another host; the operation is idempotent.
   *
   * @param evidence - Evidence from {@link CrashEvidence.export}.
   */
  merge(evidence: CrashEvidenceExport): void {
    for (const {fingerprint, atMs} of evidence.cleared) {
      if (atMs <= this.clearedAtMs(fingerprint)) continue;
      this.cleared.set(fingerprint, {fingerprint, atMs});
      this.limit(this.cleared);
      const records = this.crashes.get(fingerprint);
      if (!records) continue;
      this.keep(
        fingerprint,
        records.filter(record => record.atMs > atMs),
      );
    }
    for (const record of evidence.records) this.add(record);
  }

  private add(record: CrashRecord): void {
    const {fingerprint, target, atMs} = record;
    this.times.add(record);
    const completedMs = this.completions.get(fingerprint) ?? -Infinity;
    // Clears it again, so that a host which still reports the crash learns of the completion.
    if (atMs <= completedMs) return this.clear(fingerprint, completedMs);
    if (atMs <= this.clearedAtMs(fingerprint)) return;
    const known = this.crashes.get(fingerprint) ?? [];
    const duplicate = known.find(
      other =>
        other.target === target && Math.abs(other.atMs - atMs) <= sameCrashMs,
    );
    if (duplicate && (!duplicate.isProvisional || record.isProvisional)) return;
    const others = known.filter(other => other !== duplicate);
    // Re-inserting keeps the map ordered by latest crash.
    this.crashes.delete(fingerprint);
    this.keep(fingerprint, [...others, record].slice(-this.rule.crashesKept));
    if (this.crashes.size > this.maxFingerprints) this.evict();
  }

  /** Drops the oldest fingerprint with a single crash, if there is one, so that others do not displace suspected ones. */
  private evict(): void {
    for (const [fingerprint, {length}] of this.crashes) {
      if (length > 1) continue;
      this.crashes.delete(fingerprint);
      return;
    }
    this.limit(this.crashes);
  }

  private clear(fingerprint: string, atMs: number): void {
    this.keep(fingerprint, []);
    this.cleared.delete(fingerprint);
    this.cleared.set(fingerprint, {fingerprint, atMs, isLocal: true});
    this.limit(this.cleared);
  }

  private clearedAtMs(fingerprint: string): number {
    return this.cleared.get(fingerprint)?.atMs ?? -Infinity;
  }

  private keep(fingerprint: string, records: CrashRecord[]): void {
    this.verdict = undefined;
    if (records.length > 0) this.crashes.set(fingerprint, records);
    else this.crashes.delete(fingerprint);
  }

  private expiresAtMs({atMs, isProvisional}: CrashRecord): number {
    return atMs + (isProvisional ? this.confirmationMs : this.expiryMs);
  }

  private unexpired(nowMs: number): CrashRecord[] {
    this.times.expire(nowMs - this.expiryMs);
    for (const [fingerprint, records] of this.crashes) {
      const kept = records.filter(record => nowMs <= this.expiresAtMs(record));
      if (kept.length < records.length) this.keep(fingerprint, kept);
    }
    return [...this.crashes.values()].flat();
  }

  /** Drops the oldest entries of a map beyond the limit. */
  private limit(map: Map<string, unknown>): void {
    for (const key of map.keys()) {
      if (map.size <= this.maxFingerprints) return;
      map.delete(key);
    }
  }
}
