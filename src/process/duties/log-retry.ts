import {FailureError} from '../errors/catalogue.js';
import type {Logger} from '../logger.js';
import type {DutyMetrics} from './duty-metrics.js';

/** Shortest and longest time until a failed call to the log is repeated, in milliseconds. */
const minRetryMs = 150;
const maxRetryMs = 800;

/** Spaces the calls to the log of duties after failures, and logs the first and the end of a series. */
export class LogRetry {
  private failures = 0;
  private retryAtMs = -Infinity;

  /**
   * @param logger - Receives the events.
   * @param metrics - Counts the failures.
   * @param random - Random number in [0, 1).
   */
  constructor(
    private readonly logger: Logger,
    private readonly metrics: DutyMetrics,
    private readonly random: () => number,
  ) {}

  /**
   * Checks whether the next call may be made.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   */
  isDue(nowMs: number): boolean {
    return nowMs >= this.retryAtMs;
  }

  /**
   * Takes in that a call failed.
   *
   * @param err - Error of the call.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  failed(err: unknown, nowMs: number): void {
    const kind = err instanceof FailureError ? err.failure.kind : 'unexpected';
    this.metrics.logFailed(kind);
    if (this.failures++ === 0) {
      const reason = err instanceof Error ? err.message : String(err);
      this.logger.event('dutyLogFailed', {kind, reason});
    }
    const boundMs = Math.min(
      maxRetryMs,
      minRetryMs * 2 ** Math.min(this.failures, 8),
    );
    this.retryAtMs =
      nowMs + minRetryMs + this.random() * (boundMs - minRetryMs);
  }

  /** Takes in that a call succeeded. */
  succeeded(): void {
    if (this.failures > 0) {
      this.logger.event('dutyLogRecovered', {failures: this.failures});
    }
    this.failures = 0;
    this.retryAtMs = -Infinity;
  }
}
