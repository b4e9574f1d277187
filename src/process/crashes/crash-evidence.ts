/** Attribution of one target crash to one request. */
export interface CrashRecord {
  /** Fingerprint of the request: `key:…` or `content:…`. */
  readonly fingerprint: string;
  readonly target: string;
  /** Wall time of the crash, in milliseconds. */
  readonly atMs: number;
  /** Number of requests that may have caused the crash, at least 1. */
  readonly suspects: number;
}

/** Crash evidence as hosts exchange it. */
export interface CrashEvidenceExport {
  readonly records: readonly CrashRecord[];
  /** Fingerprints that completed after their latest crash, with the wall time of the completion. */
  readonly cleared: readonly {fingerprint: string; atMs: number}[];
}

/** Settings of {@link CrashEvidence}. */
export interface CrashEvidenceOptions {
  /** Time after which evidence expires, in milliseconds. */
  readonly expiryMs?: number;
  /** Maximum time from a broken request to a crash for which it is suspected, in milliseconds. */
  readonly suspicionMs?: number;
  /** Maximum number of fingerprints with evidence. */
  readonly maxFingerprints?: number;
}

/** Number of crashes after which requests with a fingerprint are refused. */
export const maxCrashes = 2;
/** Reports of a target's crash that are at most this far apart are about the same one, in milliseconds. */
const sameCrashMs = 2000;

interface RunningAttempt {
  readonly fingerprints: readonly string[];
  /** Wall time at which the connection broke; the attempt stays a suspect for `suspicionMs`. */
  brokenAtMs?: number;
}

/**
 * Identifies requests that crash targets. It reads no clock: its methods are given wall time, which
 * is comparable between hosts; a clock error changes only when evidence expires.
 */
export class CrashEvidence {
  private readonly running = new Map<string, Map<string, RunningAttempt>>();
  private readonly crashes = new Map<string, CrashRecord[]>();
  private readonly cleared = new Map<string, number>();
  private readonly expiryMs: number;
  private readonly suspicionMs: number;
  private readonly maxFingerprints: number;

  /**
   * @param options - Times and limits.
   */
  constructor(options: CrashEvidenceOptions = {}) {
    this.expiryMs = options.expiryMs ?? 600_000;
    this.suspicionMs = options.suspicionMs ?? 2000;
    this.maxFingerprints = options.maxFingerprints ?? 10_000;
  }

  /**
   * Records that an attempt was sent to a target.
   *
   * @param target - Name of the target.
   * @param attemptId - Id of the attempt.
   * @param fingerprints - Fingerprints of the request.
   */
  started(
    target: string,
    attemptId: string,
    fingerprints: readonly string[],
  ): void {
    let attempts = this.running.get(target);
    if (!attempts) {
      attempts = new Map();
      this.running.set(target, attempts);
    }
    attempts.set(attemptId, {fingerprints});
  }

  /**
   * Records the end of an attempt. A completion clears the request's evidence.
   *
   * @param target - Name of the target.
   * @param attemptId - Id of the attempt.
   * @param outcome - `broken` attempts stay suspects until it is known whether the target crashed.
   * @param nowMs - Wall time in milliseconds.
   */
  ended(
    target: string,
    attemptId: string,
    outcome: 'completed' | 'broken' | 'other',
    nowMs: number,
  ): void {
    const attempts = this.running.get(target);
    const run = attempts?.get(attemptId);
    if (!attempts || !run) return;
    if (outcome === 'broken') {
      run.brokenAtMs = nowMs;
      this.dropOldSuspects(attempts, nowMs);
      return;
    }
    attempts.delete(attemptId);
    if (attempts.size === 0) this.running.delete(target);
    if (outcome !== 'completed') return;
    for (const fingerprint of run.fingerprints) {
      if (this.crashes.delete(fingerprint)) {
        this.cleared.set(fingerprint, nowMs);
      }
    }
  }

  /**
   * Records the crash of a target: it is unreachable, or its load epoch changed. Attributes the crash
   * to the requests that were running on it.
   *
   * @param target - Name of the target.
   * @param nowMs - Wall time in milliseconds.
   * @returns Number of requests that may have caused the crash.
   */
  recordTargetCrash(target: string, nowMs: number): number {
    const attempts = this.running.get(target);
    if (!attempts) return 0;
    this.running.delete(target);
    const suspects = [...attempts.values()].filter(
      run =>
        run.brokenAtMs === undefined ||
        nowMs - run.brokenAtMs <= this.suspicionMs,
    );
    for (const {fingerprints} of suspects) {
      for (const fingerprint of fingerprints) {
        this.add({fingerprint, target, atMs: nowMs, suspects: suspects.length});
      }
    }
    return suspects.length;
  }

  /**
   * Checks whether a request must be refused because it crashes targets.
   *
   * @param fingerprints - Fingerprints of the request.
   * @param nowMs - Wall time in milliseconds.
   * @returns Whether one of the fingerprints has {@link maxCrashes} crashes that have not expired.
   */
  isBlocked(fingerprints: readonly string[], nowMs: number): boolean {
    return fingerprints.some(
      fingerprint => this.current(fingerprint, nowMs).length >= maxCrashes,
    );
  }

  /**
   * Exports the evidence for other hosts.
   *
   * @param nowMs - Wall time in milliseconds.
   * @returns Evidence and completions that have not expired.
   */
  export(nowMs: number): CrashEvidenceExport {
    for (const [fingerprint, atMs] of this.cleared) {
      if (nowMs - atMs > this.expiryMs) this.cleared.delete(fingerprint);
    }
    const records = [...this.crashes.keys()].flatMap(fingerprint =>
      this.current(fingerprint, nowMs),
    );
    const cleared = [...this.cleared].map(([fingerprint, atMs]) => ({
      fingerprint,
      atMs,
    }));
    return {records, cleared};
  }

  /**
   * Merges evidence of another host; the operation is idempotent.
   *
   * @param evidence - Evidence from {@link CrashEvidence.export}.
   */
  merge(evidence: CrashEvidenceExport): void {
    for (const {fingerprint, atMs} of evidence.cleared) {
      if (atMs <= (this.cleared.get(fingerprint) ?? -Infinity)) continue;
      this.cleared.set(fingerprint, atMs);
      const later = (this.crashes.get(fingerprint) ?? []).filter(
        record => record.atMs > atMs,
      );
      if (later.length > 0) this.crashes.set(fingerprint, later);
      else this.crashes.delete(fingerprint);
    }
    for (const record of evidence.records) this.add(record);
  }

  private add(record: CrashRecord): void {
    if (record.atMs <= (this.cleared.get(record.fingerprint) ?? -Infinity)) {
      return;
    }
    const known = this.crashes.get(record.fingerprint) ?? [];
    const duplicate = known.some(
      other =>
        other.target === record.target &&
        Math.abs(other.atMs - record.atMs) <= sameCrashMs,
    );
    if (duplicate) return;
    // Re-inserting keeps the map ordered by latest crash, so that the oldest entry is evicted first.
    this.crashes.delete(record.fingerprint);
    this.crashes.set(record.fingerprint, [...known, record].slice(-maxCrashes));
    for (const map of [this.crashes, this.cleared]) {
      if (map.size <= this.maxFingerprints) continue;
      map.delete(map.keys().next().value as string);
    }
  }

  private current(fingerprint: string, nowMs: number): CrashRecord[] {
    const known = this.crashes.get(fingerprint);
    if (!known) return [];
    const remaining = known.filter(({atMs}) => nowMs - atMs <= this.expiryMs);
    if (remaining.length === 0) this.crashes.delete(fingerprint);
    else if (remaining.length < known.length)
      this.crashes.set(fingerprint, remaining);
    return remaining;
  }

  private dropOldSuspects(
    attempts: Map<string, RunningAttempt>,
    nowMs: number,
  ): void {
    for (const [id, {brokenAtMs}] of attempts) {
      if (brokenAtMs !== undefined && nowMs - brokenAtMs > this.suspicionMs) {
        attempts.delete(id);
      }
    }
  }
}
