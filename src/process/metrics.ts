import type {Histogram} from 'hdr-histogram-js';
import {Gauge} from 'prom-client';
import type {AbortReason} from '../request/response-sink.js';
import type {RefusalReason, RetryReason} from '../request/refusals.js';
import {tierCount, type Tier} from '../version/resources/kinds.js';
import {
  createLatencyHistogram,
  MetricRegistry,
  toMicroseconds,
} from './metric-registry.js';

const quantiles = [0.5, 0.9, 0.95, 0.99, 0.999];

/** Latency histograms of one tier. */
interface TierHistograms {
  readonly firstByte: Histogram;
  readonly total: Histogram;
}

/** Counters, gauges and latency histograms of one host. */
export class Metrics extends MetricRegistry {
  private readonly refusals = this.counter(
    'guavaseam_refusals_total',
    'Requests refused, by reason and tier',
    ['reason', 'tier'],
  );
  private readonly retries = this.counter(
    'guavaseam_retries_total',
    'Attempts retried, by reason',
    ['reason'],
  );
  private readonly requests = this.counter(
    'guavaseam_requests_total',
    'Requests with a complete response, by tier',
    ['tier'],
  );
  private readonly abortedResponses = this.counter(
    'guavaseam_broken_answers_total',
    'Responses aborted after a part was relayed, by reason and tier',
    ['reason', 'tier'],
  );
  private readonly invariants = this.counter(
    'guavaseam_invariant_violations_total',
    'Violations of an invariant, by name',
    ['invariant'],
  );
  private readonly latency = new Gauge({
    name: 'guavaseam_latency_seconds',
    help: 'Latency quantiles since the process started, by tier and phase',
    labelNames: ['tier', 'phase', 'quantile'],
    registers: [this.registry],
  });
  private readonly tiers: readonly TierHistograms[] = Array.from(
    {length: tierCount},
    () => ({
      firstByte: createLatencyHistogram(),
      total: createLatencyHistogram(),
    }),
  );

  /**
   * Counts a refused request.
   *
   * @param reason - Why the request was refused.
   * @param tier - Tier of the request; counted as `none` if not known.
   */
  refusal(reason: RefusalReason, tier?: Tier): void {
    this.refusals.inc({reason, tier: tier ?? 'none'});
  }

  /**
   * Counts a response that was aborted after a part of it was relayed.
   *
   * @param reason - Why it was aborted.
   * @param tier - Tier of the request.
   */
  broken(reason: AbortReason, tier: Tier): void {
    this.abortedResponses.inc({reason, tier});
  }

  /**
   * Counts a retry of an attempt.
   *
   * @param reason - Why it was retried.
   */
  retry(reason: RetryReason): void {
    this.retries.inc({reason});
  }

  /**
   * Counts a violation of an invariant.
   *
   * @param invariant - Name of the invariant.
   */
  invariantViolation(invariant: string): void {
    this.invariants.inc({invariant});
  }

  /**
   * Counts a request with a complete response, and records its latencies.
   *
   * @param tier - Tier of the request.
   * @param firstByteMs - Time to the first byte of the response, in milliseconds.
   * @param totalMs - Time to the end of the response, in milliseconds.
   */
  answered(tier: Tier, firstByteMs: number, totalMs: number): void {
    this.requests.inc({tier});
    this.tiers[tier].firstByte.recordValue(toMicroseconds(firstByteMs));
    this.tiers[tier].total.recordValue(toMicroseconds(totalMs));
  }

  /** @returns All metrics in the Prometheus text format. */
  async render(): Promise<string> {
    this.tiers.forEach((histograms, tier) => {
      for (const phase of ['firstByte', 'total'] as const) {
        for (const quantile of quantiles) {
          const us = histograms[phase].getValueAtPercentile(quantile * 100);
          this.latency.set(
            {tier, phase, quantile: String(quantile)},
            us / 1_000_000,
          );
        }
      }
    });
    return this.registry.metrics();
  }
}
