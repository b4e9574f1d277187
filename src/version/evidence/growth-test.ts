import {
  evidenceMetrics,
  growAlternatives,
  growLogRatios,
  type EvidenceMetric,
} from './metrics.js';
import type {ReferenceBook} from './reference-book.js';
import {logSumExp, rateLogRatios} from './sequential.js';
import type {PairedCell} from './version-judge.js';

/** Probability of passing a step although the version is worse than the margin of the step. */
export const falseGrowRate = 0.05;
const needed = Math.log(1 / falseGrowRate);
/** Part of all requests that one step may put at risk of undetected failure. */
const riskPerStep = 0.01;
/** Greatest margin on the failure rate; a wider one would need no evidence. */
const maxMargin = 0.5;

const latencyMetrics = [
  evidenceMetrics.firstTokenMedian,
  evidenceMetrics.tokenMedian,
] as const;

/** Whether a step may be taken, and what is missing. */
export interface GrowthFinding {
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

/** Evidence since the current step began that the new version does no harm beyond a margin. */
export class GrowthTest {
  requests = 0;
  failures = 0;
  private readonly routes = new Map<string, RouteCounts>();
  private readonly latency = new Map<EvidenceMetric, number[]>();
  private latencySamples = 0;

  /** @param references - Past of the old version. */
  constructor(private readonly references: ReferenceBook) {}

  /**
   * Takes the cells of a period into account.
   *
   * @param pairs - Cells of both versions.
   */
  close(pairs: readonly PairedCell[]): void {
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
        growLogRatios(metric, now, old, past).forEach(
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
  withOpen(pairs: readonly PairedCell[]): GrowthTest {
    const copy = new GrowthTest(this.references);
    copy.requests = this.requests;
    copy.failures = this.failures;
    copy.latencySamples = this.latencySamples;
    for (const [route, counts] of this.routes)
      copy.routes.set(route, {...counts});
    for (const [metric, sum] of this.latency)
      copy.latency.set(metric, [...sum]);
    copy.close(pairs);
    return copy;
  }

  /**
   * Judges the step to a share.
   *
   * @param share - Next share.
   * @param latency - Whether latency counts.
   * @returns Whether the evidence suffices.
   */
  judge(share: number, latency: boolean): GrowthFinding {
    const missing: string[] = [];
    let requestsMissing = 0;
    let all = 0;
    for (const counts of this.routes.values()) all += counts.all;
    const total = {requests: this.requests, failures: this.failures, all};
    const places: [string, RouteCounts][] = [['overall', total]];
    for (const [route, counts] of this.routes)
      places.push([`route:${route}`, counts]);
    for (const [name, counts] of places) {
      const weight = Math.max(0.01, counts.all / Math.max(1, all));
      const margin = riskPerStep / (share * weight);
      if (margin >= maxMargin && this.requests > 0) continue;
      const lack = failureLack(counts, this.oldRate(), Math.min(margin, 0.4));
      if (lack <= 0) continue;
      missing.push(`${Math.ceil(lack)} requests on ${name}`);
      requestsMissing = Math.max(requestsMissing, lack / weight);
    }
    for (const metric of latency ? latencyMetrics : []) {
      if (this.latencySamples === 0 && this.requests >= 200) continue;
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
  const [ratio] = rateLogRatios(requests, failures, worst, [good]);
  const perRequest = Math.log((1 - good) / (1 - worst));
  return (needed - ratio) / perRequest;
}

function zeros(): number[] {
  return new Array<number>(growAlternatives).fill(0);
}
