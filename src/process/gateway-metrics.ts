import {Gauge, Histogram} from 'prom-client';
import type {ExchangeFailure} from '../connection/gateway/exchange.js';
import type {OverdueKind} from '../request/gateway/open-request-check.js';
import type {RefusalName} from '../request/gateway/refusal-reasons.js';

/** Why a request is retried. */
export type GatewayRetryReason =
  ExchangeFailure | 'failed' | 'refused' | 'relay-refused' | 'withheld';

/** Why a host ends the connection of a caller. */
export const connectionEnds = {
  /** The host stops, and no request was in progress. */
  idle: 'idle',
  /** The response that announced the end of the connection was sent. */
  lastResponse: 'last-response',
  /** No request came within the idle timeout, and none was in progress. */
  idleTimeout: 'idle-timeout',
  /** No byte came on a new connection within the header timeout. */
  unusedTimeout: 'unused-timeout',
  /** A request did not arrive completely within the header timeout or the time limit of requests. */
  requestTimeout: 'request-timeout',
  /** The idle timeout passed although a request was in progress or a part of one had arrived. */
  timeoutInRequest: 'timeout-in-request',
  /** The bytes of the caller are no request. */
  noRequest: 'no-request',
  /** The body of a request went on for too long after the response. */
  unreadBody: 'unread-body',
  /** The memory for callers could not hold an unfinished head, or requests sent ahead. */
  noMemory: 'no-memory',
  /** Parsing of its body took too long beside others. */
  costlyInput: 'costly-input',
  /** Too many connections were open, and no request was complete on this one for longest. */
  replaced: 'replaced',
  /** Too many connections were open, each with a complete request. */
  refused: 'refused',
  /** The host stopped while a response was in progress. */
  stopped: 'stopped',
} as const;

/** One of {@link connectionEnds}. */
export type ConnectionEnd =
  (typeof connectionEnds)[keyof typeof connectionEnds];

/** The {@link connectionEnds} at a limit that callers usually do not meet. */
export const limitEnds: ReadonlySet<ConnectionEnd> = new Set<ConnectionEnd>([
  connectionEnds.unreadBody,
  connectionEnds.noMemory,
  connectionEnds.costlyInput,
  connectionEnds.replaced,
  connectionEnds.refused,
]);

import {
  createLatencyHistogram,
  MetricRegistry,
  toMicroseconds,
} from './metric-registry.js';

const quantiles = [0.5, 0.95, 0.99] as const;

/** Latencies of one response. */
export interface ResponseTimes {
  /** Time to the first event of a stream or the first byte, in milliseconds. */
  readonly firstMs: number;
  /** Time to the last byte, in milliseconds. */
  readonly totalMs: number;
}

/** Counters, gauges and latency histograms of a gateway host. */
export class GatewayMetrics extends MetricRegistry {
  private readonly responses = this.counter(
    'guavaseam_gateway_answers_total',
    'Responses of targets delivered completely',
  );
  private readonly refusals = this.counter(
    'guavaseam_gateway_refusals_total',
    'Requests refused by the gateway, by reason',
    ['reason'],
  );
  private readonly retries = this.counter(
    'guavaseam_gateway_resends_total',
    'Requests retried on another target, by reason',
    ['reason'],
  );
  private readonly left = this.counter(
    'guavaseam_gateway_callers_left_total',
    'Requests whose caller disconnected before the end of the response',
  );
  private readonly broken = this.counter(
    'guavaseam_gateway_answers_broken_total',
    'Responses aborted after a part was delivered',
  );
  private readonly overdueRequests = this.counter(
    'guavaseam_gateway_requests_overdue_total',
    'Requests whose response had not ended when it should have, by kind',
    ['kind'],
  );
  private readonly discarded = this.counter(
    'guavaseam_gateway_requests_discarded_total',
    'Requests that arrived on a connection that this host had ended; they are not run',
  );
  private readonly connectionsEnded = this.counter(
    'guavaseam_gateway_caller_connections_ended_total',
    'Connections of callers that this host ended, by reason',
    ['reason'],
  );
  private readonly opened = this.counter(
    'guavaseam_gateway_target_connections_total',
    'Connections opened to targets',
  );
  private readonly coldSends = this.counter(
    'guavaseam_gateway_cold_target_requests_total',
    'Requests sent to targets that this host knows to be cold',
  );
  private readonly brittleRejections = new Histogram({
    name: 'guavaseam_gateway_brittle_target_rejections',
    help: 'Requests of this host that one brittle target turned away within a second; seconds without any do not count',
    buckets: [1, 2, 3, 5, 10, 20],
    registers: [this.registry],
  });
  private readonly unreadable = this.counter(
    'guavaseam_gateway_unreadable_records_total',
    'Store records that could not be decoded, by log',
    ['feed'],
  );
  private readonly droppedLines = this.counter(
    'guavaseam_gateway_log_lines_dropped_total',
    'Log lines dropped because standard output was not read fast enough',
  );
  private readonly crashes = this.counter(
    'guavaseam_gateway_target_crashes_total',
    'Crashes of targets that ran requests of this host',
  );
  private readonly latency = new Gauge({
    name: 'guavaseam_gateway_latency_seconds',
    help: 'Latency quantiles since the process started, by phase',
    labelNames: ['phase', 'quantile'],
    registers: [this.registry],
  });
  private readonly first = createLatencyHistogram();
  private readonly total = createLatencyHistogram();

  /**
   * Counts a response that was delivered completely, and records its latencies.
   *
   * @param times - Latencies of the response.
   */
  answered({firstMs, totalMs}: ResponseTimes): void {
    this.responses.inc();
    this.first.recordValue(toMicroseconds(firstMs));
    this.total.recordValue(toMicroseconds(totalMs));
  }

  /** @param reason - Why the gateway refused the request. */
  refused(reason: RefusalName): void {
    this.refusals.inc({reason});
  }

  /** @param reason - Why the request is retried. */
  retried(reason: GatewayRetryReason): void {
    this.retries.inc({reason});
  }

  /** Counts a request whose caller disconnected. */
  callerLeft(): void {
    this.left.inc();
  }

  /** Counts a response that was aborted after a part was delivered. */
  responseAborted(): void {
    this.broken.inc();
  }

  /** @param kind - How the request is open although its response should have ended. */
  requestOverdue(kind: OverdueKind): void {
    this.overdueRequests.inc({kind});
  }

  /** Counts a request that arrived on a connection that this host had ended. */
  requestDiscarded(): void {
    this.discarded.inc();
  }

  /** @param reason - Why this host ended the connection of a caller. */
  connectionEnded(reason: ConnectionEnd): void {
    this.connectionsEnded.inc({reason});
  }

  /** Counts a connection opened to a target. */
  connectionOpened(): void {
    this.opened.inc();
  }

  /** Counts a request to a target that is known to be cold. */
  sentToCold(): void {
    this.coldSends.inc();
  }

  /** @param count - Requests of this host that one brittle target turned away within a second. */
  rejectedByBrittle(count: number): void {
    this.brittleRejections.observe(count);
  }

  /** Counts a target that crashed while it ran requests of this host. */
  targetCrashed(): void {
    this.crashes.inc();
  }

  /** Counts a log line that was dropped. */
  lineDropped(): void {
    this.droppedLines.inc();
  }

  /** @param feed - Log that holds the record that could not be decoded. */
  recordUnreadable(feed: string): void {
    this.unreadable.inc({feed});
  }

  /** @returns All metrics in the Prometheus text format. */
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
