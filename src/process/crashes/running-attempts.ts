/** How an attempt ended, as far as crashes are concerned. */
export const attemptEnds = {
  /** The target responded completely and without an error. */
  completed: 'completed',
  /** The target closed or reset the connection before its response was complete, or was silent for too long. */
  broken: 'broken',
  /** Anything else, for example not sent or cancelled. */
  other: 'other',
} as const;

/** One of {@link attemptEnds}. */
export type AttemptEnd = (typeof attemptEnds)[keyof typeof attemptEnds];

/**
 * Time for which a target may have responded before its crash counts less against the request, in milliseconds. A request
 * that crashes targets does so when they begin to run it; a long one is more often beside a crash.
 */
const earlyCrashMs = 1000;
/** Weight of a crash after that time. */
const lateCrashWeight = 0.5;

/** A request that runs on a target, or whose connection broke recently. */
export interface RunningAttempt {
  readonly fingerprints: readonly string[];
  /** Time at which it was sent, in milliseconds; absent if unknown. */
  readonly startedMs?: number;
  /** Time of the first part of the response. */
  respondedMs?: number;
  /** Time at which the connection broke. */
  brokenAtMs?: number;
}

/** A request that may have crashed its target. */
export interface Suspect extends RunningAttempt {
  /** How strongly the crash counts against it, up to 1. */
  readonly weight: number;
}

/** The attempts of this host, by target, until they end or it is known whether their target crashed. */
export class RunningAttempts {
  private readonly byTarget = new Map<string, Map<string, RunningAttempt>>();

  /**
   * @param keptMs - Time for which a broken attempt is kept, in milliseconds.
   */
  constructor(private readonly keptMs: number) {}

  /**
   * Adds an attempt.
   *
   * @param target - Name of the target.
   * @param id - Id of the attempt.
   * @param attempt - The attempt.
   */
  add(target: string, id: string, attempt: RunningAttempt): void {
    let attempts = this.byTarget.get(target);
    if (!attempts) {
      attempts = new Map();
      this.byTarget.set(target, attempts);
    }
    attempts.set(id, attempt);
  }

  /**
   * Records that a target began to respond to an attempt.
   *
   * @param target - Name of the target.
   * @param id - Id of the attempt.
   * @param nowMs - Current time in milliseconds.
   */
  responded(target: string, id: string, nowMs: number): void {
    const attempt = this.byTarget.get(target)?.get(id);
    if (attempt) attempt.respondedMs ??= nowMs;
  }

  /**
   * Records that the connection of an attempt broke; the attempt stays a suspect for a while.
   *
   * @param target - Name of the target.
   * @param id - Id of the attempt.
   * @param nowMs - Current time in milliseconds.
   */
  broke(target: string, id: string, nowMs: number): void {
    const attempts = this.byTarget.get(target);
    const attempt = attempts?.get(id);
    if (!attempts || !attempt) return;
    attempt.brokenAtMs = nowMs;
    for (const [other, {brokenAtMs}] of attempts) {
      if (brokenAtMs === undefined) continue;
      if (nowMs - brokenAtMs > this.keptMs) attempts.delete(other);
    }
  }

  /**
   * Removes an attempt.
   *
   * @param target - Name of the target.
   * @param id - Id of the attempt.
   * @returns The attempt, if it was known.
   */
  remove(target: string, id: string): RunningAttempt | undefined {
    const attempts = this.byTarget.get(target);
    const attempt = attempts?.get(id);
    attempts?.delete(id);
    if (attempts?.size === 0) this.byTarget.delete(target);
    return attempt;
  }

  /**
   * Drops the broken attempts of a target that did not crash.
   *
   * @param target - Name of the target.
   */
  dismissBroken(target: string): void {
    for (const [id, {brokenAtMs}] of this.byTarget.get(target) ?? []) {
      if (brokenAtMs !== undefined) this.remove(target, id);
    }
  }

  /**
   * Removes the attempts of a target that crashed, or only the broken ones while it is not certain that it crashed.
   *
   * @param target - Name of the target.
   * @param nowMs - Current time in milliseconds.
   * @param suspicionMs - Time since an attempt broke within which it is suspected, in milliseconds.
   * @param brokenOnly - Whether to leave the attempts that did not break.
   * @returns The suspects, the most suspicious first and of equal ones the last.
   */
  takeSuspects(
    target: string,
    nowMs: number,
    suspicionMs: number,
    brokenOnly = false,
  ): Suspect[] {
    const attempts = [...(this.byTarget.get(target)?.values() ?? [])];
    if (brokenOnly) this.dismissBroken(target);
    else this.byTarget.delete(target);
    return attempts
      .filter(({brokenAtMs}) =>
        brokenAtMs === undefined
          ? !brokenOnly
          : nowMs - brokenAtMs <= suspicionMs,
      )
      .map(attempt => ({...attempt, weight: weightOf(attempt, nowMs)}))
      .reverse()
      .sort((a, b) => b.weight - a.weight);
  }
}

function weightOf(
  {respondedMs, brokenAtMs}: RunningAttempt,
  nowMs: number,
): number {
  const crashedMs = brokenAtMs ?? nowMs;
  return crashedMs - (respondedMs ?? crashedMs) > earlyCrashMs
    ? lateCrashWeight
    : 1;
}
