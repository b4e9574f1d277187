import {Gauge} from 'prom-client';
import type {ExchangeFailure} from '../connection/gateway/exchange.js';
import type {RefusalName} from '../request/gateway/refusal-reasons.js';

/** Why a request is sent again. */
export type GatewayRetryReason = ExchangeFailure | 'failed' | 'refused';

import {
  createLatencyHistogram,
  MetricRegistry,
  toMicroseconds,
} from './metric-registry.js';

const quantiles = [0.5, 0.95, 0.99] as const;

/** Latencies of one answer. */
export interface ResponseTimes {
  /** Time to the first event or byte, in milliseconds. */
  readonly firstMs: number;
  /** Time to the last byte, in milliseconds. */
  readonly totalMs: number;
}

/** Counters, gauges and latency histograms of a gateway host. */
export class GatewayMetrics extends MetricRegistry {
  private readonly responses = this.counter(
    'guavaseam_gateway_answers_total',
    'Answers of targets that were delivered whole',
  );
  private readonly refusals = this.counter(
    'guavaseam_gateway_refusals_total',
    'Requests that the host answered itself, by reason',
    ['reason'],
  );
  private readonly retries = this.counter(
    'guavaseam_gateway_resends_total',
    'Requests sent to another target, by reason',
    ['reason'],
  );
  private readonly left = this.counter(
    'guavaseam_gateway_callers_left_total',
    'Requests whose caller left before the end of the answer',
  );
  private readonly broken = this.counter(
    'guavaseam_gateway_answers_broken_total',
    'Answers broken off after a part was delivered',
  );
  private readonly opened = this.counter(
    'guavaseam_gateway_target_connections_total',
    'Connections opened to targets',
  );
  private readonly unreadable = this.counter(
    'guavaseam_gateway_unreadable_records_total',
    'Records of the store that could not be decoded, by log',
    ['feed'],
  );
  private readonly droppedLines = this.counter(
    'guavaseam_gateway_log_lines_dropped_total',
    'Log lines dropped because nobody read standard output',
  );
  private readonly latency = new Gauge({
    name: 'guavaseam_gateway_latency_seconds',
    help: 'Latency quantiles since start, by phase',
    labelNames: ['phase', 'quantile'],
    registers: [this.registry],
  });
  private readonly first = createLatencyHistogram();
  private readonly total = createLatencyHistogram();

  /**
   * Counts an answer.
   *
   * @param times - Its latencies.
   */
  answered({firstMs, totalMs}: ResponseTimes): void {
    this.responses.inc();
    this.first.recordValue(toMicroseconds(firstMs));
    this.total.recordValue(toMicroseconds(totalMs));
  }

  /** @param reason - Why the host answered a request itself. */
  refused(reason: RefusalName): void {
    this.refusals.inc({reason});
  }

  /** @param reason - Why a request is sent again. */
  retried(reason: GatewayRetryReason): void {
    this.retries.inc({reason});
  }

  /** Counts a request whose caller left. */
  callerLeft(): void {
    this.left.inc();
  }

  /** Counts an answer that was broken off. */
  responseTruncated(): void {
    this.broken.inc();
  }

  /** Counts a connection opened to a target. */
  connectionOpened(): void {
    this.opened.inc();
  }

  /** Counts a log line that was dropped. */
  lineDropped(): void {
    this.droppedLines.inc();
  }

  /** @param feed - Log of a record that could not be decoded. */
  recordUnreadable(feed: string): void {
    this.unreadable.inc({feed});
  }

  /** @returns All metrics in the text format of Prometheus. */
  render(): Promise<string> {
    for (const [phase, histogram] of [
      ['first', this.first],
      ['total', this.total],
    ] as const) {
      for (const quantile of quantiles) {
        this.latency.set(
          {phase, quantile: String(quantile)},
          histogram.getValueAtPercentile(quantile * 100) / 1_000_000,
        );
      }
    }
    return this.registry.metrics();
  }
}
