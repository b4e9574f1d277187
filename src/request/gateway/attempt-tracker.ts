import type {GatewayRetryReason} from '../../process/gateway-metrics.js';
import type {ServiceRetryBudget} from '../../process/limits/service-retry-budget.js';
import type {Route} from '../../version/deployment/types.js';
import type {AdmittedRequest} from './admitted-request.js';
import type {RequestState} from './open-request-check.js';
import type {AttemptPeer} from './request-attempt.js';
import {streamPatienceMs} from './wait-policy.js';

/** Maximum number of times that one request is sent, including attempts that a target refused. */
const maxAttempts = 3;
/** Retries of requests that reached no target, also not through another host; they cost neither the retry budget nor the quota. */
const freeRetries: ReadonlySet<GatewayRetryReason> = new Set([
  'not-sent',
  'relay-refused',
  'withheld',
]);
/** Minimum time to the deadline for another attempt, in milliseconds. */
const minRemainingMs = 50;
/** Multiple of the objective after which a target without a response counts as stalled. */
const stallObjectiveFactor = 1.5;
/** Minimum time after which a target without a response counts as stalled, in milliseconds. */
const minStallTimeoutMs = 250;
/**
 * Share of the pause after which callers cancel a stream, after which its target counts as stalled. Sound targets are
 * silent for a second or so at times; the rest of the time is for the first event of another target.
 */
const streamStallShare = 0.65;
/** Maximum pause after which the target of a stream counts as stalled, in milliseconds. */
const maxStreamStallMs = 2500;

/** Tracks the attempts of one request and decides whether it may be retried. */
export class Attempts {
  private count = 0;
  private runs = 0;
  /** Whether a retry was taken from the budget for the case that the target of a moved request refuses it. */
  private hasSpare = false;
  private readonly excludedTargets = new Set<string>();
  /** Hosts through which the request was sent in vain. */
  readonly excludedRelays: Set<string> = new Set();
  /** Failure that was not retried last, and what forbade it. */
  private lastDenied: string | undefined;

  /**
   * @param request - Request with its route's limits.
   * @param deadlineAtMs - Deadline on the process's clock, in milliseconds.
   * @param share - Retry budget of this host, its share of the deployment's.
   */
  constructor(
    private readonly request: AdmittedRequest,
    private readonly deadlineAtMs: number,
    private readonly share: ServiceRetryBudget,
  ) {}

  /** Targets that failed or refused the request. */
  get excluded(): ReadonlySet<string> {
    return this.excludedTargets;
  }

  /** State for logs, with what forbade the last retry that was not made. */
  get state(): RequestState {
    const {count, excludedRelays, excludedTargets, lastDenied, runs} = this;
    const excluded = [...excludedTargets, ...excludedRelays];
    return {attempts: count, runs, excluded, lastDenied};
  }

  /** Counts an attempt that is sent. */
  sent(): void {
    this.count++;
  }

  /** Counts an attempt that a target may have run. */
  ran(): void {
    this.runs++;
  }

  /**
   * Checks whether the request could be retried if the current attempt were aborted, without taking
   * anything from the retry budget.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   * @returns Whether runs, attempts and remaining time allow a retry.
   */
  allowsRetry(nowMs: number): boolean {
    return this.allows(this.runs + 1, nowMs);
  }

  /**
   * Takes what a move elsewhere may use from the budget: the retry, and a second one in case it is refused there.
   * Excludes the present target or host.
   *
   * @param peer - Where the stalled attempt was sent.
   * @param nowMs - Time on the process's clock, in milliseconds.
   * @returns Whether the request may be moved.
   */
  takeMove(peer: AttemptPeer, nowMs: number): boolean {
    if (!this.share.take(this.request.service, nowMs, 2)) return false;
    this.hasSpare = true;
    this.exclude(peer);
    return true;
  }

  /**
   * Returns the retry that was taken for a refusal, because the target runs the request or the request has ended.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  returnSpare(nowMs: number): void {
    if (!this.hasSpare) return;
    this.hasSpare = false;
    this.share.giveBack(this.request.service, nowMs);
  }

  /**
   * Takes a retry from the budget and excludes the target or host of the failed attempt, unless this host withheld the request.
   *
   * @param why - Why the request is retried.
   * @param peer - Where the attempt was sent.
   * @param nowMs - Time on the process's clock, in milliseconds.
   * @returns Whether the request may be retried.
   */
  takeRetry(
    why: GatewayRetryReason,
    peer: AttemptPeer,
    nowMs: number,
  ): boolean {
    if (why === 'withheld') this.count--;
    if (!this.allows(this.runs, nowMs)) {
      this.lastDenied = `${why}: limits of the request`;
      return false;
    }
    if (!isFreeRetry(why) && !this.takeFromBudget(nowMs)) {
      this.lastDenied = `${why}: budget`;
      return false;
    }
    if (why !== 'withheld') this.exclude(peer);
    return true;
  }

  private exclude({target, relay}: AttemptPeer): void {
    if (target !== undefined) this.excludedTargets.add(target);
    if (relay !== undefined) this.excludedRelays.add(relay);
  }

  private takeFromBudget(nowMs: number): boolean {
    if (!this.hasSpare) return this.share.take(this.request.service, nowMs);
    this.hasSpare = false;
    return true;
  }

  private allows(runs: number, nowMs: number): boolean {
    return (
      runs < this.request.route.maxRuns &&
      this.count < maxAttempts &&
      this.deadlineAtMs - nowMs > minRemainingMs
    );
  }
}

/**
 * Computes how long a target may send nothing before it counts as stalled.
 *
 * @param route - Route of the request.
 * @param started - Whether a part of the response was already relayed.
 * @returns Timeout in milliseconds.
 */
export function stallTimeoutMs(route: Route, started: boolean): number {
  return started
    ? Math.min(maxStreamStallMs, streamPatienceMs(route) * streamStallShare)
    : Math.max(minStallTimeoutMs, route.objectiveMs * stallObjectiveFactor);
}

/**
 * Checks whether a retry is free because the request reached no target.
 *
 * @param why - Why the request is retried.
 */
export function isFreeRetry(why: GatewayRetryReason): boolean {
  return freeRetries.has(why);
}
