import type {Cell} from './evidence-store.js';
import type {Sketch} from './sketch.js';
import {
  rateLogLikelihoodRatios,
  tableLogLikelihoodRatios,
} from './sequential.js';

/** What a test compares. */
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

/** All metrics. */
export const allMetrics = Object.values(evidenceMetrics);

/** Harm margin on latency as a shift of sketch buckets: 1.05² = 1.10 times the old latency. */
const harmShift = 2;
/** Margin of the evidence for growth: 1.05⁶ = 1.34 times the old latency. */
const growShift = 6;
/** Margin against a reference of another period: 1.05¹⁰ = 1.63, since load may differ by then. */
const referenceShift = 10;
/** Greatest additional margin for uneven load: 1.05⁶ = 1.34. */
const maxLoadShift = 6;
/** Odds ratios of harm. Small ones find slight harm, great ones find total failure early. */
export const harmOddsRatios = [2, 6, 40] as const;
/** Odds ratios of no harm. */
const nonInferiorityOddsRatios = [0.6, 0.3] as const;
/** Failure rate that a reference test allows on top of the old version's. */
const referenceRateMargin = 0.02;
/** Latencies of the old version that a threshold needs. */
const minReference = 20;

/** The old version's past on one route in one zone. */
export interface Reference {
  requests: number;
  failures: number;
  readonly firstToken: Sketch;
  readonly token: Sketch;
}

/** Counts of one version over several cells of a period. */
export interface PooledCounts {
  requests: number;
  failures: number;
}

/** What is known of the period of a cell. */
export interface Period {
  /** Whether the load is close enough to that of the past to compare latency. */
  readonly latency: boolean;
  /** Old version over the whole service, and in the zone of the cell. */
  readonly old: PooledCounts;
  readonly oldInZone: PooledCounts;
  /** Requests of both versions over the whole service. */
  readonly requests: number;
}

/** Requests of a period before which a test against the past waits for the old version's. */
const minPeriod = 10;

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
 * Compares the versions within one cell. Where the old version has hardly any requests left, its
 * past takes its place, with wider margins.
 *
 * @param metric - What to compare.
 * @param now - Cell of the new version.
 * @param old - Cell of the old version in the same period, if any.
 * @param past - Old version before this period.
 * @param period - What else is known of the period.
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
    return failuresAgainstPast(now, past, period);
  }
  const field = sketchOf[metric];
  if (past[field].total < minReference) return harmOddsRatios.map(() => 0);
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
 * The rate to exceed is that of the past, or that of the old version in the same period if it is
 * higher: an outage that hits both versions is no fault of the new one.
 */
function failuresAgainstPast(
  now: Cell,
  past: Reference,
  {old, oldInZone, requests}: Period,
): number[] {
  if (requests < minPeriod) return harmOddsRatios.map(() => 0);
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
 * Wider margin for a version that has more requests than the other: if both have as many targets,
 * its targets run larger batches, and it is slower for that reason alone.
 */
function loadShift(now: Cell, oldRequests: number): number {
  const part = Math.max(0, 1 - oldRequests / Math.max(1, now.requests));
  return Math.round(part * maxLoadShift);
}

/** Failure rate on the high side, because few requests may show no failure by chance. */
function cautiousRate({requests, failures}: PooledCounts): number {
  return requests > 0 ? (failures + 1) / (requests + 4) : 0;
}

/** Rate that has a given odds ratio to another rate. */
function rateOf(rate: number, ratio: number): number {
  const odds = (rate / (1 - rate)) * ratio;
  return odds / (1 + odds);
}

/**
 * Evidence within one cell that the new version is less than 1.34 times as slow as the old one.
 *
 * @param metric - A latency metric.
 * @param now - Cell of the new version.
 * @param old - Cell of the old version in the same period, if any.
 * @param past - Old version before this period.
 * @returns Log likelihood ratio of each alternative.
 */
export function nonInferiorityLogLikelihoodRatios(
  metric: Exclude<EvidenceMetric, 'failures'>,
  now: Cell,
  old: Cell | undefined,
  past: Reference,
): number[] {
  const field = sketchOf[metric];
  if (past[field].total < minReference)
    return nonInferiorityOddsRatios.map(() => 0);
  const threshold = past[field].quantileIndex(quantileOf(metric));
  return tableLogLikelihoodRatios(
    {
      newTotal: now[field].total,
      newHits: now[field].above(threshold + growShift),
      oldTotal: old?.[field].total ?? 0,
      oldHits: old?.[field].above(threshold) ?? 0,
    },
    nonInferiorityOddsRatios,
  );
}

/** Number of alternatives of {@link nonInferiorityLogLikelihoodRatios}. */
export const nonInferiorityAlternatives = nonInferiorityOddsRatios.length;
