/** Attribution of one target crash to one request or prompt part. */
export interface CrashRecord {
  readonly fingerprint: string;
  /** Name of the target; one that may restart under its name is named with its incarnation. */
  readonly target: string;
  /** Time of the crash, in milliseconds. */
  readonly atMs: number;
  /** Time at which the run began, in milliseconds; absent if unknown. */
  readonly startedMs?: number;
  /** How strongly the crash counts against the fingerprint, up to 1; absent for 1. */
  readonly weight?: number;
  /** Position among the fingerprints of its request, the most specific first; absent for 0. */
  readonly rank?: number;
  /** Number of requests that may have caused the crash, at least 1. */
  readonly suspects: number;
  /** Whether this host saw the crash itself; not exchanged. */
  readonly isLocal?: boolean;
  /**
   * Whether it is not known yet that the target's process ended: its connections were reset and refused, which a cut
   * between hosts and targets brings about, too. Expires early unless it is confirmed.
   */
  readonly isProvisional?: boolean;
}

/** A fingerprint that completed after its latest crash. */
export interface ClearedFingerprint {
  readonly fingerprint: string;
  /** Time of the completion, in milliseconds. */
  readonly atMs: number;
  /** Whether the completion was on this host; not exchanged. */
  readonly isLocal?: boolean;
}

/** Crash evidence as hosts exchange it. */
export interface CrashEvidenceExport {
  readonly records: readonly CrashRecord[];
  readonly cleared: readonly ClearedFingerprint[];
}
