import type {GatewayMetrics} from '../gateway-metrics.js';

/** How the report of a window ended. */
export const reportResults = {
  accepted: 'accepted',
  /** Accepted after it was due. */
  late: 'late',
  /** Not accepted while its counts were kept. */
  missed: 'missed',
  refused: 'refused',
} as const;

/** One of {@link reportResults}. */
export type ReportResult = (typeof reportResults)[keyof typeof reportResults];

/** Counters of the usage reports of this host. */
export class UsageMetrics {
  private readonly fixed;
  private readonly reports;
  private readonly repeats;
  private readonly requests;

  /** @param metrics - Registry to declare them in. */
  constructor(metrics: Pick<GatewayMetrics, 'counter'>) {
    this.fixed = metrics.counter(
      'guavaseam_usage_windows_fixed_total',
      'Windows of time whose usage report this host recorded in the store',
    );
    this.reports = metrics.counter(
      'guavaseam_usage_reports_total',
      'Usage reports of windows of time, by result',
      ['result'],
    );
    this.repeats = metrics.counter(
      'guavaseam_usage_reports_unconfirmed_total',
      'Calls with a usage report that have to be repeated, by reason',
      ['reason'],
    );
    this.requests = metrics.counter(
      'guavaseam_usage_requests_reported_total',
      'Requests in the accepted usage reports',
    );
  }

  /** Counts a window whose report was recorded. */
  recorded(): void {
    this.fixed.inc();
  }

  /**
   * Counts windows whose report ended.
   *
   * @param result - How it ended.
   * @param windows - Number of windows.
   */
  ended(result: ReportResult, windows = 1): void {
    this.reports.inc({result}, windows);
  }

  /** @param reason - Why a call has to be repeated. */
  unconfirmed(reason: 'busy' | 'unanswered'): void {
    this.repeats.inc({reason});
  }

  /** @param requests - Number of requests in an accepted report. */
  reported(requests: number): void {
    this.requests.inc(requests);
  }
}
