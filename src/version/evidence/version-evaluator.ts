import {
  bucketMs,
  retainedBuckets,
  type Cell,
  type EvidenceStore,
  type StopVerdict,
} from './evidence-store.js';
import {
  NonInferiorityTest,
  type NonInferiorityResult,
} from './non-inferiority-test.js';
import {
  allMetrics,
  harmLogLikelihoodRatios,
  harmOddsRatios,
  type EvidenceMetric,
  type Period,
  type PooledCounts,
} from './metrics.js';
import {ReferenceStore} from './reference-store.js';
import {EProcess} from './sequential.js';

/**
 * Probability that a good version is stopped during its whole rollout, over all tests together: one
 * of 1,000 good rollouts is rolled back by chance.
 */
export const falseStopRate = 0.001;
/** Most recent buckets that stay open, since counters of other hosts arrive later. */
const openBuckets = 2;

/** Evaluation of a new version so far. */
export interface Verdict {
  readonly stop?: StopVerdict;
  /** Request share of the new version in the last buckets, 0 to 1; absent without requests. */
  readonly measuredShare?: number;
  /** Requests per second of both versions in the last buckets. */
  readonly requestsPerSecond: number;
  /** Requests and failures of the new version since the current step began. */
  readonly requests: number;
  readonly failures: number;
  /** Strongest evidence of harm so far and its threshold, as natural logarithms. */
  readonly harm: {readonly logEvidence: number; readonly needed: number};
  /**
   * Assesses whether the evidence suffices for the next request share.
   *
   * @param share - Next share, 0 to 1.
   * @param latency - Whether latency counts; false once the old version has no requests left.
   * @returns Whether it suffices, and the missing evidence otherwise.
   */
  readonly assessShare: (
    share: number,
    latency?: boolean,
  ) => NonInferiorityResult;
}

/** Ratios of one cell and the counters from which they were computed. */
interface CachedRatios {
  readonly marker: string;
  readonly ratios: ReadonlyMap<EvidenceMetric, number[]>;
}

/** Compares one new version with the old one of its service, from the counters of all hosts. */
export class VersionEvaluator {
  private readonly processes = new Map<string, EProcess>();
  private readonly references = new ReferenceStore();
  private readonly cache = new Map<string, CachedRatios>();
  private readonly strataNames = new Map<
    string,
    [EvidenceMetric, string[]][]
  >();
  private nonInferiority: NonInferiorityTest;
  private nextBucket: number | undefined;
  private readonly comparison: string;

  /**
   * @param store - Counters of all hosts.
   * @param service - Service of both versions.
   * @param oldVersion - Version in effect.
   * @param newVersion - Version to evaluate.
   * @param alpha - Maximum probability of stopping a good version.
   */
  constructor(
    private readonly store: EvidenceStore,
    readonly service: string,
    readonly oldVersion: string,
    readonly newVersion: string,
    private readonly alpha = falseStopRate,
  ) {
    this.nonInferiority = new NonInferiorityTest(this.references);
    this.comparison = JSON.stringify([service, oldVersion, newVersion]);
  }

  /** Resets the non-inferiority test, because a step changes the load under which it was made. */
  startStep(): void {
    this.nonInferiority = this.nonInferiority.nextStep();
  }

  /**
   * Evaluates the counters that arrived since the last call.
   *
   * @param wallMs - Wall time, in milliseconds.
   * @returns The evaluation; a stop is final.
   */
  update(wallMs: number): Verdict {
    const current = Math.floor(wallMs / bucketMs);
    this.nextBucket = Math.max(
      this.nextBucket ?? current - retainedBuckets,
      current - retainedBuckets,
    );
    while (this.nextBucket <= current - openBuckets) {
      this.closeBucket(this.nextBucket++);
    }
    const open: Map<string, number[]>[] = [];
    const openPairs: PairedCell[][] = [];
    for (let bucket = this.nextBucket; bucket <= current; bucket++) {
      const pairs = this.pairedCells(bucket);
      open.push(this.strata(pairs));
      openPairs.push(pairs);
    }
    const harm = this.strongestEvidence(open);
    if (harm.logEvidence >= harm.needed)
      this.store.recordStop(this.comparison, {...harm, atMs: wallMs});
    const stop = this.store.stopOf(this.comparison);
    const nonInferiority = this.nonInferiority.withOpenPeriods(
      openPairs.flat(),
    );
    return {
      ...(stop && {stop}),
      ...this.measureTraffic(current, wallMs),
      requests: nonInferiority.requests,
      failures: nonInferiority.failures,
      harm,
      assessShare: (share, latency = true) =>
        nonInferiority.evaluate(share, latency),
    };
  }

  private strongestEvidence(open: readonly Map<string, number[]>[]) {
    const names = new Set(this.processes.keys());
    for (const strata of open)
      for (const name of strata.keys()) names.add(name);
    const needed = Math.log(Math.max(1, names.size) / this.alpha);
    const none = harmOddsRatios.map(() => 0);
    const unstarted = new EProcess(harmOddsRatios.length);
    let best = {name: 'failures overall', logEvidence: -Infinity};
    for (const name of names) {
      const process = this.processes.get(name) ?? unstarted;
      const hasOpenRatios = open.some(strata => strata.has(name));
      const logEvidence = process.value(
        hasOpenRatios ? open.map(strata => strata.get(name) ?? none) : [],
      );
      if (logEvidence > best.logEvidence) best = {name, logEvidence};
    }
    const separator = best.name.indexOf(' ');
    return {
      metric: best.name.slice(0, separator) as EvidenceMetric,
      stratum: best.name.slice(separator + 1),
      logEvidence: best.logEvidence === -Infinity ? 0 : best.logEvidence,
      needed,
    };
  }

  private closeBucket(bucket: number): void {
    const pairs = this.pairedCells(bucket);
    const strata = this.strata(pairs);
    for (const name of strata.keys()) {
      if (!this.processes.has(name))
        this.processes.set(name, new EProcess(harmOddsRatios.length));
    }
    const none = harmOddsRatios.map(() => 0);
    for (const [name, process] of this.processes) {
      process.addPeriod(strata.get(name) ?? none);
    }
    this.nonInferiority.addPeriod(pairs);
    for (const {old, place} of pairs) if (old) this.references.add(place, old);
    this.references.closePeriod(pairs);
    this.cache.clear();
  }

  private pairedCells(bucket: number): PairedCell[] {
    const found = new Map<string, {now?: Cell; old?: Cell; place: string}>();
    for (const cell of this.store.cells(this.service, bucket)) {
      const place = `${cell.place.route}\n${cell.place.zone}`;
      const pair = found.get(place) ?? {place};
      found.set(place, pair);
      if (cell.place.version === this.newVersion) pair.now = cell;
      if (cell.place.version === this.oldVersion) pair.old = cell;
    }
    return [...found.values()].map(pair => ({...pair, bucket}));
  }

  /** Sums the log ratios of the cells by stratum; keys are `METRIC STRATUM`. */
  private strata(pairs: readonly PairedCell[]): Map<string, number[]> {
    const strata = new Map<string, number[]>();
    const periods = periodsOf(pairs, this.references.similarLoad(pairs));
    for (const pair of pairs) {
      if (!pair.now) continue;
      const ratios = this.cellRatios(pair, periods(pair.place));
      for (const [metric, names] of this.strataOf(pair.place)) {
        const values = ratios.get(metric)!;
        for (const name of names) {
          const sum = strata.get(name);
          if (!sum) strata.set(name, [...values]);
          else values.forEach((value, i) => (sum[i] += value));
        }
      }
    }
    return strata;
  }

  /** Lists the strata of a place: the whole service, its route and its zone. */
  private strataOf(place: string): [EvidenceMetric, string[]][] {
    let found = this.strataNames.get(place);
    if (found) return found;
    const [route, zone] = place.split('\n');
    found = allMetrics.map(metric => [
      metric,
      ['overall', `route:${route}`, `zone:${zone}`].map(
        stratum => `${metric} ${stratum}`,
      ),
    ]);
    this.strataNames.set(place, found);
    return found;
  }

  private cellRatios(
    {now, old, place, bucket}: PairedCell,
    period: Period,
  ): ReadonlyMap<EvidenceMetric, number[]> {
    const key = `${bucket} ${place}`;
    const marker = `${now!.requests} ${now!.failures} ${old?.requests} ${old?.failures} ${period.latency} ${period.requests} ${period.old.failures}`;
    const cached = this.cache.get(key);
    if (cached?.marker === marker) return cached.ratios;
    const past = this.references.get(place);
    const ratios = new Map(
      allMetrics.map(metric => [
        metric,
        harmLogLikelihoodRatios(metric, now!, old, past, period),
      ]),
    );
    this.cache.set(key, {marker, ratios});
    return ratios;
  }

  private measureTraffic(current: number, wallMs: number) {
    let all = 0;
    let newRequests = 0;
    for (let bucket = current - 2; bucket <= current; bucket++) {
      for (const cell of this.store.cells(this.service, bucket)) {
        all += cell.requests;
        if (cell.place.version === this.newVersion)
          newRequests += cell.requests;
      }
    }
    const seconds = (wallMs - (current - 2) * bucketMs) / 1000;
    return {
      ...(all > 0 && {measuredShare: newRequests / all}),
      requestsPerSecond: all / seconds,
    };
  }
}

/** Cells of both versions on one route in one zone and period. */
export interface PairedCell {
  /** Cell of the new version. */
  readonly now?: Cell;
  /** Cell of the old version. */
  readonly old?: Cell;
  /** Route and zone, separated by a line feed. */
  readonly place: string;
  readonly bucket: number;
}

/** Sums the counts of the old version in a period, over the service and over each zone. */
function periodsOf(
  pairs: readonly PairedCell[],
  latency: boolean,
): (place: string) => Period {
  const old: PooledCounts = {requests: 0, failures: 0};
  const zones = new Map<string, PooledCounts>();
  let requests = 0;
  for (const pair of pairs) {
    requests += (pair.now?.requests ?? 0) + (pair.old?.requests ?? 0);
    if (!pair.old) continue;
    const zone = pair.place.split('\n')[1];
    const sum = zones.get(zone) ?? {requests: 0, failures: 0};
    zones.set(zone, sum);
    for (const counts of [old, sum]) {
      counts.requests += pair.old.requests;
      counts.failures += pair.old.failures;
    }
  }
  const none = {requests: 0, failures: 0};
  return place => ({
    latency,
    old,
    oldInZone: zones.get(place.split('\n')[1]) ?? none,
    requests,
  });
}
