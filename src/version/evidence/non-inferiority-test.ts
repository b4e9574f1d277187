import {
  evidenceMetrics,
  nonInferiorityAlternatives,
  nonInferiorityLogLikelihoodRatios,
  type EvidenceMetric,
} from './metrics.js';
import type {ReferenceStore} from './reference-store.js';
import {logSumExp, rateLogLikelihoodRatios} from './sequential.js';
import type {PairedCell} from './version-evaluator.js';

/** Probability of passing a step although the version is worse than the margin of the step. */
export const falsePassRate = 0.05;
const needed = Math.log(1 / falsePassRate);
/** Part of all requests that one step may put at risk of undetected failure. */
const riskPerStep = 0.01;
/** Greatest margin on the failure rate of the whole service. */
const maxMargin = 0.4;
/** Greatest margin on the failure rate of a route. */
const maxRouteMargin = 0.25;
/** Part of the requests below which a route needs no evidence of its own. */
const minRouteWeight = 0.02;
/** Share up to which routes need no evidence of their own; the canary has to collect it first. */
const routeFreeShare = 0.05;

const latencyMetrics = [
  evidenceMetrics.firstTokenMedian,
  evidenceMetrics.tokenMedian,
] as const;

/** Whether a step may be taken, and what is missing. */
export interface NonInferiorityResult {
  readonly ready: boolean;
  readonly missing: readonly string[];
  /** Estimated number of further requests of the new version that are needed without faults. */
  readonly requestsMissing: number;
}

interface RouteCounts {
  requests: number;
  failures: number;
  all: number;
}

/**
 * Evidence that the new version does no harm beyond a margin. The counts of the whole service and
 * latency begin afresh with each step, because load changes. Those of single routes go on, because
 * a route with few requests would hold back each step for long.
 */
export class NonInferiorityTest {
  requests = 0;
  failures = 0;
  private readonly routes = new Map<string, RouteCounts>();
  private readonly latency = new Map<EvidenceMetric, number[]>();
  private latencySamples = 0;

  /** @param references - Past of the old version. */
  constructor(private readonly references: ReferenceStore) {}

  /** @returns The test of the next step. */
  nextStep(): NonInferiorityTest {
    const next = new NonInferiorityTest(this.references);
    for (const [route, counts] of this.routes)
      next.routes.set(route, {...counts});
    return next;
  }

  /**
   * Takes the cells of a period into account.
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
   * Judges the step to a share.
   *
   * @param share - Next share.
   * @param latency - Whether latency counts.
   * @returns Whether the evidence suffices.
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
    for (const [route, counts] of share > routeFreeShare ? this.routes : [])
      places.push([`route:${route}`, counts, maxRouteMargin]);
    for (const [name, counts, most] of places) {
      const weight = counts.all / Math.max(1, all);
      if (weight < minRouteWeight && counts !== total) continue;
      const margin = Math.min(most, riskPerStep / (share * weight || 1));
      const lack = failureLack(counts, this.oldRate(), margin);
      if (lack <= 0) continue;
      missing.push(`${Math.ceil(lack)} requests on ${name}`);
      requestsMissing = Math.max(requestsMissing, lack / (weight || 1));
    }
    for (const metric of latency ? latencyMetrics : []) {
      if (this.latencySamples === 0 && this.requests >= 200) continue;
      // Answers in one piece, of plain services for example, have no time per token.
      if (
        metric === 'token-median' &&
        this.latencySamples > 0 &&
        !this.references.hasTokens
      )
        continue;
      const sum = this.latency.get(metric) ?? zeros();
      const value = logSumExp(sum) - Math.log(sum.length);
      if (value >= needed) continue;
      missing.push(
        `latency evidence ${value.toFixed(1)} of ${needed.toFixed(1)} (${metric})`,
      );
      requestsMissing = Math.max(requestsMissing, (needed - value) * 15);
    }
    return {ready: missing.length === 0, missing, requestsMissing};
  }

  private oldRate(): number {
    return this.references.failureRate();
  }
}

/** Requests without failure that are still needed to rule out a rate above `old + margin`. */
function failureLack(
  {requests, failures}: RouteCounts,
  oldRate: number,
  margin: number,
): number {
  const worst = Math.min(0.9, oldRate + margin);
  const good = Math.min(worst * 0.9, oldRate + margin / 4);
  const [ratio] = rateLogLikelihoodRatios(requests, failures, worst, [good]);
  const perRequest = Math.log((1 - good) / (1 - worst));
  return (needed - ratio) / perRequest;
}

function zeros(): number[] {
  return new Array<number>(nonInferiorityAlternatives).fill(0);
}
