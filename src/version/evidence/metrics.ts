import type {Cell} from './evidence-store.js';
import type {Sketch} from './sketch.js';
import {
  rateLogLikelihoodRatios,
  tableLogLikelihoodRatios,
} from './sequential.js';

/** Quantities that are compared between the old and the new version. */
export const evidenceMetrics = {
  failures: 'failures',
  firstTokenMedian: 'first-token-median',
  firstTokenTail: 'first-token-tail',
  tokenMedian: 'token-median',
  tokenTail: 'token-tail',
} as const;

/** Value of {@link evidenceMetrics}. */
export type EvidenceMetric =
  (typeof evidenceMetrics)[keyof typeof evidenceMetrics];

/** All metrics, in the order of {@link evidenceMetrics}. */
export const allMetrics = Object.values(evidenceMetrics);

/** Latency margin of the harm test, in sketch buckets: 1.05² = 1.10 times the old latency. */
const harmShift = 2;
/** Latency margin of the non-inferiority test, in buckets: 1.05⁶ = 1.34 times the old latency. */
const nonInferiorityShift = 6;
/**
 * Latency margin against a reference from an earlier period, in buckets: 1.05¹⁰ = 1.63. It is wider
 * because the load may have changed since.
 */
const referenceShift = 10;
/** Maximum additional margin for uneven load, in buckets: 1.05⁶ = 1.34. */
const maxLoadShift = 6;
/**
 * Odds ratios of the alternatives of the harm test. Small ones detect slight harm, large ones detect
 * total failure early.
 */
export const harmOddsRatios = [2, 6, 40] as const;
/** Odds ratios of the alternatives of the non-inferiority test. */
const nonInferiorityOddsRatios = [0.6, 0.3] as const;
/** Failure rate that a test against the reference tolerates above that of the old version. */
const referenceRateMargin = 0.02;
/** Minimum number of latencies of the old version from which a threshold is derived. */
const minReferenceLatencies = 20;

/** Earlier counts and latencies of the old version on one route in one zone. */
export interface Reference {
  requests: number;
  failures: number;
  readonly firstToken: Sketch;
  readonly token: Sketch;
}

/** Counts of one version, summed over several cells of a period. */
export interface PooledCounts {
  requests: number;
  failures: number;
}

/** Context of a cell: the traffic of the whole service in the same period. */
export interface Period {
  /** Whether the load is close enough to that of the reference to compare latency. */
  readonly latency: boolean;
  /** Old version over the whole service. */
  readonly old: PooledCounts;
  /** Old version in the zone of the cell. */
  readonly oldInZone: PooledCounts;
  /** Requests of both versions over the whole service. */
  readonly requests: number;
}

/**
 * Requests of a period below which a test against the reference waits, so that failures of the old
 * version in the same period can be taken into account.
 */
const minPeriodRequests = 10;

const sketchOf = {
  'first-token-median': 'firstToken',
  'first-token-tail': 'firstToken',
  'token-median': 'token',
  'token-tail': 'token',
} as const;

function quantileOf(metric: EvidenceMetric): number {
  return metric.endsWith('median') ? 0.5 : 0.9;
}

/**
 * Computes the evidence of harm within one cell. Where the old version has hardly any requests left,
 * its reference is used instead, with wider margins.
 *
 * @param metric - Metric to compare.
 * @param now - Cell of the new version.
 * @param old - Cell of the old version in the same period, if any.
 * @param past - Reference of the old version from earlier periods.
 * @param period - Traffic of the whole service in the same period.
 * @returns Log likelihood ratio of each of the {@link harmOddsRatios}.
 */
export function harmLogLikelihoodRatios(
  metric: EvidenceMetric,
  now: Cell,
  old: Cell | undefined,
  past: Reference,
  period: Period,
): number[] {
  const oldRequests = old?.requests ?? 0;
  if (metric === 'failures') {
    if (oldRequests >= now.requests * 0.5) {
      return tableLogLikelihoodRatios(
        {
          newTotal: now.requests,
          newHits: now.failures,
          oldTotal: oldRequests,
          oldHits: old?.failures ?? 0,
        },
        harmOddsRatios,
      );
    }
    return failuresAgainstReference(now, past, period);
  }
  const field = sketchOf[metric];
  if (past[field].total < minReferenceLatencies)
    return harmOddsRatios.map(() => 0);
  const q = quantileOf(metric);
  const threshold = past[field].quantileIndex(q);
  if (oldRequests < now.requests * 0.05) {
    if (!period.latency) return harmOddsRatios.map(() => 0);
    return rateLogLikelihoodRatios(
      now[field].total,
      now[field].above(threshold + referenceShift),
      1 - q,
      harmOddsRatios.map(odds => rateOf(1 - q, odds)),
    );
  }
  return tableLogLikelihoodRatios(
    {
      newTotal: now[field].total,
      newHits: now[field].above(
        threshold + harmShift + loadShift(now, oldRequests),
      ),
      oldTotal: old?.[field].total ?? 0,
      oldHits: old?.[field].above(threshold) ?? 0,
    },
    harmOddsRatios,
  );
}

/**
 * Compares failures with the failure rate of the reference, or with that of the old version in the
 * same period if it is higher: an outage that hits both versions is no fault of the new one.
 */
function failuresAgainstReference(
  now: Cell,
  past: Reference,
  {old, oldInZone, requests}: Period,
): number[] {
  if (requests < minPeriodRequests) return harmOddsRatios.map(() => 0);
  const rate = Math.min(
    0.9,
    Math.max(
      (past.failures + 1) / (past.requests + 50) + referenceRateMargin,
      cautiousRate(old),
      cautiousRate(oldInZone),
    ),
  );
  return rateLogLikelihoodRatios(
    now.requests,
    now.failures,
    rate,
    harmOddsRatios.map(odds => rateOf(rate, odds)),
  );
}

/**
 * Computes the additional margin for a new version that has more requests than the old one: with the
 * same number of targets, its targets run larger batches and are slower for that reason alone.
 */
function loadShift(now: Cell, oldRequests: number): number {
  const imbalance = Math.max(0, 1 - oldRequests / Math.max(1, now.requests));
  return Math.round(imbalance * maxLoadShift);
}

/** Estimates a failure rate on the high side: few requests may show no failure by chance. */
function cautiousRate({requests, failures}: PooledCounts): number {
  return requests > 0 ? (failures + 1) / (requests + 4) : 0;
}

/** Computes the rate that has a given odds ratio to another rate. */
function rateOf(rate: number, ratio: number): number {
  const odds = (rate / (1 - rate)) * ratio;
  return odds / (1 + odds);
}

/**
 * Computes the evidence within one cell that latency of the new version is less than 1.34 times that
 * of the old one.
 *
 * @param metric - A latency metric.
 * @param now - Cell of the new version.
 * @param old - Cell of the old version in the same period, if any.
 * @param past - Reference of the old version from earlier periods.
 * @returns Log likelihood ratio of each alternative.
 */
export function nonInferiorityLogLikelihoodRatios(
  metric: Exclude<EvidenceMetric, 'failures'>,
  now: Cell,
  old: Cell | undefined,
  past: Reference,
): number[] {
  const field = sketchOf[metric];
  if (past[field].total < minReferenceLatencies)
    return nonInferiorityOddsRatios.map(() => 0);
  const threshold = past[field].quantileIndex(quantileOf(metric));
  return tableLogLikelihoodRatios(
    {
      newTotal: now[field].total,
      newHits: now[field].above(threshold + nonInferiorityShift),
      oldTotal: old?.[field].total ?? 0,
      oldHits: old?.[field].above(threshold) ?? 0,
    },
    nonInferiorityOddsRatios,
  );
}

/** Number of alternatives of {@link nonInferiorityLogLikelihoodRatios}. */
export const nonInferiorityAlternatives = nonInferiorityOddsRatios.length;
