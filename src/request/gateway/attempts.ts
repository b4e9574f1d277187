import type {GatewayRetryReason} from '../../process/gateway-metrics.js';
import type {ServiceRetryBudget} from '../../process/limits/service-retry-budget.js';
import type {AdmittedRequest} from './admitted-request.js';

/** Greatest number of times that one request is sent, refusals by targets included. */
const maxAttempts = 3;
/** Time that must be left for another attempt, in milliseconds. */
const minRemainingMs = 50;
/** Multiple of the objective after which a target that has not answered counts as stalled. */
const stallObjectiveFactor = 1.5;
/** Least time after which a target counts as stalled, in milliseconds. */
const minStallTimeoutMs = 250;
/** Pause within a stream after which its target counts as stalled, in milliseconds. */
const streamStallTimeoutMs = 1200;

/** Keeps account of where one request was sent, and decides whether it may be sent again. */
export class Attempts {
  private count = 0;
  private runs = 0;
  private readonly excludedTargets = new Set<string>();

  /**
   * @param request - The request.
   * @param deadlineAtMs - Time at which it ends, on the process's clock.
   * @param share - Repeats that the host may send.
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

  /** Counts a send. */
  sent(): void {
    this.count++;
  }

  /** Counts a send that a target may have run. */
  ran(): void {
    this.runs++;
  }

  /**
   * Tells whether another target could run the request if the current one is given up.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  allowsRetry(nowMs: number): boolean {
    return this.allows(this.runs + 1, nowMs);
  }

  /**
   * Takes a repeat from the host's share.
   *
   * @param why - Why the request is sent again.
   * @param target - Id of the target that did not answer it.
   * @param nowMs - Time on the process's clock, in milliseconds.
   * @returns Whether it may be sent again.
   */
  takeRetry(why: GatewayRetryReason, target: string, nowMs: number): boolean {
    if (!this.allows(this.runs, nowMs)) return false;
    // A request that did not arrive anywhere is not repeated by sending it.
    const free = why === 'not-sent';
    if (!free && !this.share.take(this.request.service, nowMs)) return false;
    this.excludedTargets.add(target);
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
 * Tells after which silence a target counts as stalled.
 *
 * @param objectiveMs - Time to the answer or first event that the caller aims at, in milliseconds.
 * @param started - Whether a part of the answer was received.
 * @returns Time, in milliseconds.
 */
export function stallTimeoutMs(objectiveMs: number, started: boolean): number {
  return started
    ? streamStallTimeoutMs
    : Math.max(minStallTimeoutMs, objectiveMs * stallObjectiveFactor);
}
