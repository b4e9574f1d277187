import type {GatewayMetrics} from '../gateway-metrics.js';
import type {DutyCallResult} from './duty-platform.js';
import type {Duty} from './duty-record.js';

/** Counters of the duties of a host. */
export class DutyMetrics {
  private readonly calls;
  private readonly takeovers;
  private readonly logFailures;

  /**
   * Declares the metrics.
   *
   * @param metrics - Registry to declare them in.
   * @param token - Returns the fencing number of this host's term.
   */
  constructor(metrics: GatewayMetrics, token: () => number | undefined) {
    this.calls = metrics.counter(
      'guavaseam_gateway_duty_calls_total',
      'Calls of duties to the platform, by duty and result',
      ['duty', 'result'],
    );
    this.takeovers = metrics.counter(
      'guavaseam_gateway_duty_takeovers_total',
      'Terms in which this host held the duties',
    );
    this.logFailures = metrics.counter(
      'guavaseam_gateway_duty_log_failures_total',
      'Calls to the log of duties that did not succeed, by reason',
      ['reason'],
    );
    metrics.gauge(
      'guavaseam_gateway_duty_holder',
      'Whether this host holds the duties: 1 or 0',
      () => (token() === undefined ? 0 : 1),
    );
    metrics.gauge(
      'guavaseam_gateway_duty_token',
      'Fencing number of the term of this host; 0 without a term',
      () => token() ?? 0,
    );
  }

  /**
   * Counts a call to the platform.
   *
   * @param duty - Duty of the call.
   * @param result - How it ended.
   */
  called(duty: Duty, result: DutyCallResult): void {
    this.calls.inc({duty, result});
  }

  /** Counts a term of this host. */
  tookOver(): void {
    this.takeovers.inc();
  }

  /** @param reason - Kind of the failure, or `conflict`. */
  logFailed(reason: string): void {
    this.logFailures.inc({reason});
  }
}
