/** Blame of one crash on one request. */
export interface CrashRecord {
  /** Fingerprint of the request: `key:…` or `content:…`. */
  readonly fingerprint: string;
  readonly target: string;
  /** Time of the crash, wall time in milliseconds. */
  readonly atMs: number;
  /** Requests that share the blame, at least 1. */
  readonly suspects: number;
}

/** Evidence as hosts exchange it. */
export interface CrashEvidenceExport {
  readonly records: readonly CrashRecord[];
  /** Fingerprints that completed after their latest crash, with the time of the completion. */
  readonly cleared: readonly {fingerprint: string; atMs: number}[];
}

/** Settings of {@link CrashEvidence}. */
export interface CrashEvidenceOptions {
  /** Time for which evidence counts, in milliseconds. */
  readonly expiryMs?: number;
  /** Time before a death in which a broken request is still a suspect, in milliseconds. */
  readonly suspicionMs?: number;
  /** Greatest number of fingerprints with evidence. */
  readonly maxFingerprints?: number;
}

/** Crashes after which a fingerprint is refused. */
export const maxCrashes = 2;
/** Deaths of one target that are reported closer together are one crash, in milliseconds. */
const sameCrashMs = 2000;

interface RunningAttempt {
  readonly fingerprints: readonly string[];
  /** Set when the attempt broke off; it stays a suspect for a while. */
  brokenAtMs?: number;
}

/**
 * Tells which requests crash targets. Pure: the caller passes wall time, which hosts compare with
 * each other; an error of the clocks changes only when evidence expires.
 */
export class CrashEvidence {
  private readonly running = new Map<string, Map<string, RunningAttempt>>();
  private readonly crashes = new Map<string, CrashRecord[]>();
  private readonly cleared = new Map<string, number>();
  private readonly expiryMs: number;
  private readonly suspicionMs: number;
  private readonly maxFingerprints: number;

  /**
   * @param options - Times and bounds.
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
   * Records the end of an attempt. A completed request is exonerated.
   *
   * @param target - Name of the target.
   * @param attemptId - Id of the attempt.
   * @param outcome - `broken` attempts stay suspects until it is known whether the target died.
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
   * Records the death of a target: it is unreachable, or its load epoch changed. Blames the requests
   * that were running on it.
   *
   * @param target - Name of the target.
   * @param nowMs - Wall time in milliseconds.
   * @returns Number of requests that share the blame.
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
   * Tells whether a request must not run again.
   *
   * @param fingerprints - Fingerprints of the request.
   * @param nowMs - Wall time in milliseconds.
   * @returns Whether one of them crashed {@link maxCrashes} targets.
   */
  isBlocked(fingerprints: readonly string[], nowMs: number): boolean {
    return fingerprints.some(
      fingerprint => this.current(fingerprint, nowMs).length >= maxCrashes,
    );
  }

  /**
   * Lists the evidence for other hosts.
   *
   * @param nowMs - Wall time in milliseconds.
   * @returns Evidence that has not expired.
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
   * Adds evidence of another host; merging the same evidence again changes nothing.
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
    // Re-inserting keeps the map in the order of the latest crash, so the oldest is dropped first.
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
