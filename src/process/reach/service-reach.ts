import type {TargetEntry} from '../../version/deployment/types.js';

/** Time after which a connection that is being opened counts as failed, in milliseconds; targets accept within a few. */
const openingMs = 200;
/** Time without a byte after a request was sent from which targets are probed, in milliseconds. */
const silenceMs = 300;
/** Minimum time from the first failed opening to the decision, in milliseconds; probes of other targets end within it. */
const openingsConfirmMs = 100;
/**
 * Minimum time from the first reset to the last one, in milliseconds. Targets that crash together reset their
 * connections at the same moment and refuse new ones from then on; a partition resets new connections as well.
 */
const resetsConfirmMs = 250;
/** Largest numbers of targets that have to fail; a service may have hundreds. */
const maxFailedOpenings = 5;
const maxResets = 3;
/** First and longest time between two trial requests, in milliseconds; it doubles until one gets a response. */
const minTrialPauseMs = 1000;
const maxTrialPauseMs = 8000;
/** Time for which targets accept connections after which a cut ends although no request came for a trial, in milliseconds. */
const unusedMs = 5000;
/** Time for which a trial is left to requests that may run twice, in milliseconds. */
const unsafeTrialMs = 3000;

/** A connection that is being opened. */
export interface Opening {
  readonly target: string;
  startedAtMs: number;
}

/** Since when a host reaches no target of a service. */
export interface Cut {
  /** Time of the decision on the process's clock, in milliseconds. */
  readonly atMs: number;
  /** Time of the first failure that led to it, in milliseconds. */
  readonly sinceMs: number;
  /** Number of targets to which no connection could be opened. */
  readonly failedOpenings: number;
  /** Number of targets that reset connections. */
  readonly resets: number;
}

/** Decides from what happens to connections whether this host reaches the targets of one service. */
export class ServiceReach {
  /** Targets that take new requests. */
  targets: readonly TargetEntry[] = [];
  /** Time of the newest sign of life of any target, in milliseconds. */
  contactAtMs = -Infinity;
  private readonly openings = new Set<Opening>();
  /** Time of the first failed opening by target, since a connection was opened last. */
  private readonly failedOpenings = new Map<string, number>();
  /** Time of the first reset by target, since bytes arrived last. */
  private readonly resets = new Map<string, number>();
  private lastResetAtMs = -Infinity;
  private unansweredSinceMs = Infinity;
  private currentCut: Cut | undefined;
  private acceptedAtMs = -Infinity;
  /** Since when all connections were accepted and no trial has begun, in milliseconds. */
  private acceptedSinceMs = Infinity;
  private trialAtMs = -Infinity;
  /** Time at which a request came last that would have been the trial if one had been due, in milliseconds. */
  private wantedAtMs = -Infinity;
  private trialPauseMs = minTrialPauseMs;

  /** Since when no target is reached; `undefined` while targets are reached. */
  get cut(): Cut | undefined {
    return this.currentCut;
  }

  /** Whether other targets have to be probed at once, because a connection could not be opened. */
  get hasFailedOpenings(): boolean {
    return this.failedOpenings.size > 0;
  }

  /**
   * Whether targets have to be probed because one reset a connection, or because none sends anything.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  isSuspect(nowMs: number): boolean {
    const isSilent = nowMs - this.unansweredSinceMs >= silenceMs;
    return isSilent || this.resets.size > 0;
  }

  /**
   * Checks whether the last opening at a target failed, and none at any target succeeded since.
   *
   * @param target - Id of the target.
   */
  hasFailed(target: string): boolean {
    return this.failedOpenings.has(target);
  }

  /**
   * Replaces the targets.
   *
   * @param targets - Targets of the service that take new requests.
   */
  setTargets(targets: readonly TargetEntry[]): void {
    this.targets = targets;
    const ids = new Set(targets.map(({id}) => id));
    for (const failures of [this.failedOpenings, this.resets]) {
      for (const id of failures.keys()) if (!ids.has(id)) failures.delete(id);
    }
  }

  /**
   * Records that a connection is being opened.
   *
   * @param target - Id of the target.
   * @param nowMs - Time on the process's clock, in milliseconds.
   * @returns The opening, for {@link opened} or {@link openingFailed}.
   */
  opening(target: string, nowMs: number): Opening {
    const opening = {target, startedAtMs: nowMs};
    this.openings.add(opening);
    return opening;
  }

  /**
   * Records that a target accepted a connection.
   *
   * @param opening - From {@link opening}.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  opened(opening: Opening, nowMs: number): void {
    this.openings.delete(opening);
    this.failedOpenings.clear();
    this.unansweredSinceMs = Infinity;
    this.contactAtMs = nowMs;
    this.acceptedAtMs = nowMs;
    this.acceptedSinceMs = Math.min(this.acceptedSinceMs, nowMs);
  }

  /**
   * Records that a connection could not be opened.
   *
   * @param opening - From {@link opening}.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  openingFailed(opening: Opening, nowMs: number): void {
    this.openings.delete(opening);
    this.recordFailure(opening, nowMs);
  }

  /**
   * Records that a request is being sent.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  sent(nowMs: number): void {
    this.unansweredSinceMs = Math.min(this.unansweredSinceMs, nowMs);
  }

  /**
   * Records that bytes of a target arrived.
   *
   * @param openedAtMs - Time at which their connection was opened, in milliseconds.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  received(openedAtMs: number, nowMs: number): void {
    this.resets.clear();
    this.unansweredSinceMs = Infinity;
    this.contactAtMs = nowMs;
    // Connections from before the cut may live on while new ones are refused.
    if (!this.currentCut || openedAtMs < this.currentCut.atMs) return;
    this.endCut();
  }

  /**
   * Records that a target reset a connection.
   *
   * @param target - Id of the target.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  reset(target: string, nowMs: number): void {
    addFirst(this.resets, target, nowMs);
    this.lastResetAtMs = nowMs;
    this.acceptedSinceMs = Infinity;
  }

  /**
   * Drops what was found before a time in which the process did not run: targets did not fail because of it.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  paused(nowMs: number): void {
    this.failedOpenings.clear();
    this.resets.clear();
    this.unansweredSinceMs = Infinity;
    for (const opening of this.openings) opening.startedAtMs = nowMs;
  }

  /**
   * Decides whether targets are reached.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  check(nowMs: number): void {
    for (const opening of this.openings) {
      if (nowMs - opening.startedAtMs < openingMs) continue;
      this.recordFailure(opening, nowMs);
    }
    if (this.currentCut) {
      const sinceMs = Math.max(this.acceptedSinceMs, this.wantedAtMs);
      if (nowMs - sinceMs >= unusedMs) this.endCut();
      return;
    }
    if (this.targets.length === 0) return;
    const [failedAtMs = Infinity] = this.failedOpenings.values();
    const [resetAtMs = Infinity] = this.resets.values();
    const isRefused =
      this.failedOpenings.size >= this.majority(maxFailedOpenings) &&
      nowMs - failedAtMs >= openingsConfirmMs;
    const isReset =
      this.resets.size >= this.majority(maxResets) &&
      this.lastResetAtMs - resetAtMs >= resetsConfirmMs;
    if (!isRefused && !isReset) return;
    this.currentCut = {
      atMs: nowMs,
      sinceMs: isRefused ? failedAtMs : resetAtMs,
      failedOpenings: this.failedOpenings.size,
      resets: this.resets.size,
    };
  }

  /**
   * Decides whether a request is sent to a target although none is known to be reached: one at a time, after a target
   * has accepted a connection. An accepted connection alone may be reset once something is sent.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   * @param isRepeatable - Whether the request may run twice; one that may not is lost if its trial fails.
   */
  takeTrial(nowMs: number, isRepeatable: boolean): boolean {
    const {acceptedAtMs, acceptedSinceMs, currentCut, trialAtMs} = this;
    this.wantedAtMs = nowMs;
    if (!currentCut || acceptedAtMs <= Math.max(currentCut.atMs, trialAtMs)) {
      return false;
    }
    const extraMs = isRepeatable ? 0 : unsafeTrialMs;
    if (nowMs - acceptedSinceMs < extraMs) return false;
    if (nowMs - trialAtMs < this.trialPauseMs + extraMs) return false;
    if (trialAtMs > currentCut.atMs) {
      this.trialPauseMs = Math.min(maxTrialPauseMs, this.trialPauseMs * 2);
    }
    this.trialAtMs = nowMs;
    this.acceptedSinceMs = Infinity;
    return true;
  }

  /**
   * Checks whether a connection may be dead: a trial request and those after it need new ones.
   *
   * @param openedAtMs - Time at which it was opened, in milliseconds.
   */
  isDoubtful(openedAtMs: number): boolean {
    return openedAtMs < this.trialAtMs;
  }

  private recordFailure({target, startedAtMs}: Opening, nowMs: number): void {
    // Another target was reached since, so the failure concerns this one only.
    if (startedAtMs < this.acceptedAtMs) return;
    addFirst(this.failedOpenings, target, nowMs);
    this.acceptedSinceMs = Infinity;
  }

  private endCut(): void {
    this.currentCut = undefined;
    this.trialPauseMs = minTrialPauseMs;
    this.failedOpenings.clear();
    this.resets.clear();
  }

  /** More than half of the targets, up to a limit; all of up to three, so that the last ones are tried as well. */
  private majority(max: number): number {
    const count = this.targets.length;
    if (count <= 3) return count;
    return Math.min(max, Math.floor(count / 2) + 1);
  }
}

function addFirst(times: Map<string, number>, key: string, nowMs: number) {
  if (!times.has(key)) times.set(key, nowMs);
}
