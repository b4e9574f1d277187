import {
  evidenceMetrics,
  nonInferiorityAlternatives,
  nonInferiorityLogLikelihoodRatios,
  type EvidenceMetric,
} from './metrics.js';
import type {ReferenceStore} from './reference-store.js';
import {logSumExp, rateLogLikelihoodRatios} from './sequential.js';
import type {PairedCell} from './version-evaluator.js';

/** Maximum probability of passing a step with a version that is worse than the step's margin. */
export const falsePassRate = 0.05;
/** Log likelihood ratio from which the evidence suffices. */
const neededLogEvidence = Math.log(1 / falsePassRate);
/** Share of all requests that one step may put at risk of undetected failure. */
const riskPerStep = 0.01;
/** Maximum margin on the failure rate of the whole service. */
const maxMargin = 0.4;
/** Maximum margin on the failure rate of a route. */
const maxRouteMargin = 0.25;
/** Share of the requests below which a route needs no separate evidence. */
const minRouteWeight = 0.02;
/**
 * Request share of the new version up to which routes need no separate evidence; the canary has to
 * collect it first.
 */
const maxShareWithoutRouteEvidence = 0.05;

const latencyMetrics = [
  evidenceMetrics.firstTokenMedian,
  evidenceMetrics.tokenMedian,
] as const;

/** Whether the evidence suffices for a step, and what is missing otherwise. */
export interface NonInferiorityResult {
  readonly ready: boolean;
  /** Descriptions of the missing evidence. */
  readonly missing: readonly string[];
  /** Estimated number of further requests of the new version that must succeed. */
  readonly requestsMissing: number;
}

interface RouteCounts {
  requests: number;
  failures: number;
  /** Requests of both versions. */
  all: number;
}

/**
 * Tests whether the new version is worse than the old one by no more than a margin. Latency and the
 * counts of the whole service restart with each step, because the load changes. Counts of routes are
 * carried over, because a route with few requests would delay each step for long.
 */
export class NonInferiorityTest {
  /** Requests of the new version in this step. */
  requests = 0;
  /** Failures of the new version in this step. */
  failures = 0;
  private readonly routes = new Map<string, RouteCounts>();
  private readonly latency = new Map<EvidenceMetric, number[]>();
  private latencySamples = 0;

  /** @param references - Earlier counts and latencies of the old version. */
  constructor(private readonly references: ReferenceStore) {}

  /** @returns The test of the next step, with the counts of routes carried over. */
  nextStep(): NonInferiorityTest {
    const next = new NonInferiorityTest(this.references);
    for (const [route, counts] of this.routes)
      next.routes.set(route, {...counts});
    return next;
  }

  /**
   * Adds the cells of a period.
   *
   * @param pairs - Cells of both versions.
   */
  addPeriod(pairs: readonly PairedCell[]): void {
    for (const {now, old, place} of pairs) {
      const route = place.split('\n')[0];
      const counts = this.routes.get(route) ?? {
        requests: 0,
        failures: 0,
        all: 0,
      };
      this.routes.set(route, counts);
      counts.all += (now?.requests ?? 0) + (old?.requests ?? 0);
      if (!now) continue;
      counts.requests += now.requests;
      counts.failures += now.failures;
      this.requests += now.requests;
      this.failures += now.failures;
      this.latencySamples += now.firstToken.total;
      const past = this.references.get(place);
      for (const metric of latencyMetrics) {
        const sum = this.latency.get(metric) ?? zeros();
        this.latency.set(metric, sum);
        nonInferiorityLogLikelihoodRatios(metric, now, old, past).forEach(
          (ratio, i) => (sum[i] += ratio),
        );
      }
    }
  }

  /**
   * Copies the test and adds periods that are still open.
   *
   * @param pairs - Cells of the open periods.
   * @returns The copy.
   */
  withOpenPeriods(pairs: readonly PairedCell[]): NonInferiorityTest {
    const copy = new NonInferiorityTest(this.references);
    copy.requests = this.requests;
    copy.failures = this.failures;
    copy.latencySamples = this.latencySamples;
    for (const [route, counts] of this.routes)
      copy.routes.set(route, {...counts});
    for (const [metric, sum] of this.latency)
      copy.latency.set(metric, [...sum]);
    copy.addPeriod(pairs);
    return copy;
  }

  /**
   * Assesses the step to a share.
   *
   * @param share - Next request share of the new version, 0 to 1.
   * @param latency - Whether latency counts.
   * @returns Whether the evidence suffices, and what is missing otherwise.
   */
  evaluate(share: number, latency: boolean): NonInferiorityResult {
    const missing: string[] = [];
    let requestsMissing = 0;
    let all = 0;
    for (const counts of this.routes.values()) all += counts.all;
    const total = {requests: this.requests, failures: this.failures, all};
    const places: [string, RouteCounts, number][] = [
      ['overall', total, maxMargin],
    ];
    for (const [route, counts] of share > maxShareWithoutRouteEvidence
      ? this.routes
      : [])
      places.push([`route:${route}`, counts, maxRouteMargin]);
    for (const [name, counts, marginLimit] of places) {
      const weight = counts.all / Math.max(1, all);
      if (weight < minRouteWeight && counts !== total) continue;
      const margin = Math.min(marginLimit, riskPerStep / (share * weight || 1));
      const shortfall = countMissingRequests(counts, this.oldRate(), margin);
      if (shortfall <= 0) continue;
      missing.push(`${Math.ceil(shortfall)} requests on ${name}`);
      requestsMissing = Math.max(requestsMissing, shortfall / (weight || 1));
    }
    for (const metric of latency ? latencyMetrics : []) {
      if (this.latencySamples === 0 && this.requests >= 200) continue;
      // Responses that are not streamed, of plain services for example, have no time per token.
      if (
        metric === 'token-median' &&
        this.latencySamples > 0 &&
        !this.references.hasTokens
      )
        continue;
      const sum = this.latency.get(metric) ?? zeros();
      const value = logSumExp(sum) - Math.log(sum.length);
      if (value >= neededLogEvidence) continue;
      missing.push(
        `latency evidence ${value.toFixed(1)} of ${neededLogEvidence.toFixed(1)} (${metric})`,
      );
      requestsMissing = Math.max(
        requestsMissing,
        (neededLogEvidence - value) * 15,
      );
    }
    return {ready: missing.length === 0, missing, requestsMissing};
  }

  private oldRate(): number {
    return this.references.failureRate();
  }
}

/** Computes how many requests without failure still have to rule out a rate of `old + margin`. */
function countMissingRequests(
  {requests, failures}: RouteCounts,
  oldRate: number,
  margin: number,
): number {
  const worst = Math.min(0.9, oldRate + margin);
  const good = Math.min(worst * 0.9, oldRate + margin / 4);
  const [ratio] = rateLogLikelihoodRatios(requests, failures, worst, [good]);
  const perRequest = Math.log((1 - good) / (1 - worst));
  return (neededLogEvidence - ratio) / perRequest;
}

function zeros(): number[] {
  return new Array<number>(nonInferiorityAlternatives).fill(0);
}
