import {inputRead} from '../input-read.js';
import {
  probeResults,
  type TargetProbe,
} from '../../connection/gateway/target-probe.js';
import type {TargetEntry} from '../../version/deployment/types.js';
import type {Clock} from '../clock.js';
import type {CrashEvidence} from './crash-evidence.js';
import type {AttemptEnd} from './running-attempts.js';

/** Longest time for which the retry of a broken attempt waits to learn whether its target crashed, in milliseconds. */
const maxCheckMs = 100;

/**
 * Time within which another host must be heard after a crash, in milliseconds. A host that hears none is cut off itself,
 * and its refused connections say nothing about targets.
 */
const confirmMs = 500;

/** Dependencies of a {@link CrashWatch}. */
export interface CrashWatchParts {
  readonly clock: Clock;
  readonly evidence: CrashEvidence;
  readonly probe: TargetProbe;
  /** Whether new requests may be sent to a target. */
  readonly isInService: (entry: TargetEntry) => boolean;
  /** Time at which another host was heard last, in milliseconds; `undefined` if no other host is live. */
  readonly lastHeardMs: () => number | undefined;
  /** Called for each crash, with the number of this host's requests that ran on the target. */
  readonly onCrash: (target: string, suspects: number) => void;
}

interface CheckCallback {
  readonly needsResult: boolean;
  readonly call: (hasEnded: boolean) => void;
}

/** A check of a target that is in progress. */
interface Check {
  callbacks: CheckCallback[];
  /** Whether the target closed one of the connections that broke in order. */
  wasClosed: boolean;
  /** Whether the target announced that it leaves, by its entry or its responses. */
  isLeaving: boolean;
}

/** What is known about the end of an attempt whose target is checked. */
export interface CheckedEnd {
  /** Whether the target closed the connection in order. A reset or silence may come from a cut. */
  readonly wasClosed: boolean;
  /** Whether the target announced that it leaves, so that its end is no crash. */
  readonly isLeaving: boolean;
  /** Whether the result is waited for however long the probe takes; otherwise a slow one counts as accepted. */
  readonly needsResult?: boolean;
}

/** An attempt that is watched. */
export interface WatchedAttempt {
  readonly id: string;
  readonly entry: TargetEntry;
}

/**
 * Distinguishes crashes of targets from lost responses and cut connections, and attributes them to the requests of this host
 * that ran there. A target has crashed if it closed the connection of a request and nothing listens at its address. If it
 * reset the connection instead, or was silent, this is certain only when another process takes its place: a cut between
 * hosts and targets resets and refuses connections as well.
 */
export class CrashWatch {
  private attempts = 0;
  private readonly checks = new Map<string, Check>();

  /** @param parts - Dependencies. */
  constructor(private readonly parts: CrashWatchParts) {}

  /**
   * Finds the fingerprint for which a request must not be sent.
   *
   * @param fingerprints - Fingerprints of the request.
   * @returns The fingerprint and the time until which it is refused, in milliseconds, if there is one.
   */
  blockedAmong(
    fingerprints: readonly string[],
  ): {readonly fingerprint: string; readonly forMs: number} | undefined {
    const {clock, evidence} = this.parts;
    const nowMs = clock.nowMs();
    const fingerprint = evidence.blockedAmong(fingerprints, nowMs);
    if (fingerprint === undefined) return undefined;
    const forMs = evidence.blockedUntilMs(fingerprint) - nowMs;
    return {fingerprint, forMs};
  }

  /**
   * Records that a request is sent.
   *
   * @param entry - Target of the request.
   * @param fingerprints - Fingerprints of the request, the most specific first.
   * @returns The attempt, for {@link ended}.
   */
  started(entry: TargetEntry, fingerprints: readonly string[]): WatchedAttempt {
    const {clock, evidence} = this.parts;
    const id = String(this.attempts++);
    evidence.started(incarnationOf(entry), id, fingerprints, clock.nowMs());
    return {id, entry};
  }

  /**
   * Records that the target of an attempt began to respond.
   *
   * @param attempt - Attempt from {@link started}.
   */
  responded({id, entry}: WatchedAttempt): void {
    const {clock, evidence} = this.parts;
    evidence.responded(incarnationOf(entry), id, clock.nowMs());
  }

  /**
   * Records the end of an attempt.
   *
   * @param attempt - Attempt from {@link started}.
   * @param end - How it ended.
   */
  ended({id, entry}: WatchedAttempt, end: AttemptEnd): void {
    const {clock, evidence} = this.parts;
    evidence.ended(incarnationOf(entry), id, end, clock.nowMs());
  }

  /**
   * Finds out whether the target of an attempt whose connection ended has crashed, so that the attempt is not retried
   * if its request is now known to crash targets.
   *
   * @param entry - Target of the attempt.
   * @param end - What is known about its end.
   * @param onChecked - Called once, when it is known or after a short time, with whether the target's process has ended,
   *   by a crash or because it left.
   */
  check(
    entry: TargetEntry,
    end: CheckedEnd,
    onChecked: (hasEnded: boolean) => void,
  ): void {
    const {clock, evidence, isInService, probe} = this.parts;
    const target = incarnationOf(entry);
    const {needsResult = false, wasClosed, isLeaving} = end;
    const callback = {needsResult, call: onChecked};
    const known = this.checks.get(target);
    if (known) {
      known.callbacks.push(callback);
      known.wasClosed ||= wasClosed;
      known.isLeaving ||= isLeaving;
      return;
    }
    const check: Check = {callbacks: [callback], wasClosed, isLeaving};
    this.checks.set(target, check);
    const finish = (
      hasEnded: boolean,
      isDue: (each: CheckCallback) => boolean,
    ) => {
      const due = check.callbacks.filter(isDue);
      check.callbacks = check.callbacks.filter(each => !isDue(each));
      for (const {call} of due) call(hasEnded);
    };
    const cancel = clock.after(
      maxCheckMs,
      () =>
        void inputRead().then(() => finish(false, each => !each.needsResult)),
    );
    void probe.probe(entry.address).then(result => {
      cancel();
      this.checks.delete(target);
      const hasEnded = check.wasClosed && result === probeResults.refused;
      const isDown = result !== probeResults.accepted;
      // A target that is about to leave ends without a crash.
      const isCrash = isDown && !check.isLeaving && isInService(entry);
      if (isCrash) this.recordCrash(entry, !hasEnded);
      evidence.dismissBroken(target);
      finish(hasEnded, () => true);
    });
  }

  /**
   * Records that another process has taken the place of a target.
   *
   * @param target - Target with its incarnation, as named by {@link incarnationOf}.
   */
  replaced(target: string): void {
    const {clock, evidence, onCrash} = this.parts;
    const suspects = evidence.recordReplacement(target, clock.nowMs());
    if (suspects > 0) onCrash(target, suspects);
  }

  private recordCrash(entry: TargetEntry, isProvisional: boolean): void {
    const {clock, evidence, lastHeardMs, onCrash} = this.parts;
    const target = incarnationOf(entry);
    const nowMs = clock.nowMs();
    const suspects = isProvisional
      ? evidence.recordProbableCrash(target, nowMs)
      : evidence.recordTargetCrash(target, nowMs);
    if (suspects === 0) return;
    onCrash(entry.id, suspects);
    if (lastHeardMs() === undefined) return;
    clock.after(confirmMs, () => {
      const heardMs = lastHeardMs() ?? -Infinity;
      if (heardMs < nowMs) evidence.withdrawTargetCrash(target);
    });
  }
}

/**
 * Names one run of a target's process, which can crash only once.
 *
 * @param entry - Entry of the target.
 */
export function incarnationOf({id, bornMs}: TargetEntry): string {
  return `${id}/${bornMs}`;
}
