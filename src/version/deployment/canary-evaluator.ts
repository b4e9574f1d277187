/** Counters of one version of a service on one route. */
export interface EvidenceCell {
  readonly requests: number;
  readonly failures: number;
  /**
   * Sum of the natural logarithms of the latencies of requests that did not fail: the times to the first
   * event of a stream, or else to the response, in milliseconds.
   */
  readonly logLatencySum: number;
}

/** Evidence about a service: cells by version and route, which are joined by a line feed in the key. */
export type Evidence = Readonly<Record<string, EvidenceCell>>;

/** Result of comparing a new version with the old ones. */
export const verdicts = {
  /** Too few requests for a decision. */
  open: 'open',
  good: 'good',
  bad: 'bad',
} as const;

/** One of {@link verdicts}. */
export type Verdict = (typeof verdicts)[keyof typeof verdicts];

/** Minimum number of requests of a new version for the verdict `good`. */
const minRequests = 12;
/** Minimum number of failures of a new version for the verdict `bad` because of its failure rate. */
const minFailures = 4;
/** Standard errors by which the failure rate of a bad version exceeds that of the old one, over all routes. */
const failureStandardErrors = 2.6;
/** The same on a single route; higher, because several routes are tested. */
const routeFailureStandardErrors = 3;
/**
 * Ratio of the geometric mean latencies from which a version is slow. The speed of engines of one
 * version differs by a factor of five, and bad versions are several times slower.
 */
const slowRatio = 3;
/** Minimum number of responses of each version for a comparison of latencies. */
const minLatencySamples = 8;

/**
 * Latency samples of a new version, over all routes that can be compared, that the verdict `good` needs. While there are
 * fewer, a slow version cannot be distinguished from a good one.
 */
const minComparedSamples = 16;
/**
 * Ratio of latencies over all routes below which a version may be good. The rest up to `slowRatio` is left open:
 * with few samples a slow version may be found there.
 */
const goodRatio = 2;

/** Evaluates new versions from the evidence of this host and the reports of other hosts. */
export class CanaryEvaluator {
  private readonly local = new Map<string, Record<string, EvidenceCell>>();
  private readonly remote = new Map<
    string,
    ReadonlyMap<string, Evidence> | undefined
  >();
  private watched = new Set<string>();

  /**
   * Sets the services under rollout. Local evidence of all other services is dropped.
   *
   * @param services - Names of the services.
   */
  watch(services: ReadonlySet<string>): void {
    this.watched = new Set(services);
    for (const service of this.local.keys()) {
      if (!services.has(service)) this.local.delete(service);
    }
  }

  /** Evidence of this host, by service. */
  get localEvidence(): ReadonlyMap<string, Evidence> {
    return this.local;
  }

  /**
   * Counts the outcome of a request, if its service is under rollout.
   *
   * @param service - Service of the request.
   * @param version - Version of the target.
   * @param route - Name of the route.
   * @param failed - Whether the target failed.
   * @param latencyMs - Time to the first event of a stream, or else to the response, in milliseconds.
   */
  record(
    service: string,
    version: string,
    route: string,
    failed: boolean,
    latencyMs: number,
  ): void {
    if (!this.watched.has(service)) return;
    let cells = this.local.get(service);
    if (!cells) {
      cells = {};
      this.local.set(service, cells);
    }
    const name = `${version}\n${route}`;
    const known = cells[name] ?? {requests: 0, failures: 0, logLatencySum: 0};
    cells[name] = {
      requests: known.requests + 1,
      failures: known.failures + (failed ? 1 : 0),
      logLatencySum:
        known.logLatencySum + (failed ? 0 : Math.log(Math.max(1, latencyMs))),
    };
  }

  /**
   * Replaces the evidence of another host.
   *
   * @param host - Name of the other host.
   * @param evidence - All its evidence, by service.
   */
  mergeRemote(host: string, evidence: ReadonlyMap<string, Evidence>): void {
    this.remote.set(host, evidence);
  }

  /**
   * Evaluates a version by the evidence of all hosts.
   *
   * @param service - Name of the service.
   * @param version - New version.
   */
  evaluate(service: string, version: string): Verdict {
    const all: Evidence[] = [];
    const local = this.local.get(service);
    if (local) all.push(local);
    for (const evidence of this.remote.values()) {
      const cells = evidence?.get(service);
      if (cells) all.push(cells);
    }
    return evaluateVersion(all, version);
  }
}

/**
 * Compares a new version with all other versions of its service.
 *
 * @param evidence - Evidence of each host.
 * @param version - New version.
 */
export function evaluateVersion(
  evidence: readonly Evidence[],
  version: string,
): Verdict {
  const routes = new Map<string, {now: EvidenceCell; old: EvidenceCell}>();
  const empty: EvidenceCell = {requests: 0, failures: 0, logLatencySum: 0};
  let newCell = empty;
  let oldCell = empty;
  for (const cells of evidence) {
    for (const [name, cell] of Object.entries(cells)) {
      const [cellVersion, route] = name.split('\n');
      const pair = routes.get(route) ?? {now: empty, old: empty};
      const isNew = cellVersion === version;
      if (isNew) newCell = sum(newCell, cell);
      else oldCell = sum(oldCell, cell);
      routes.set(route, {
        now: isNew ? sum(pair.now, cell) : pair.now,
        old: isNew ? pair.old : sum(pair.old, cell),
      });
    }
  }
  if (failsMoreOften(newCell, oldCell, failureStandardErrors))
    return verdicts.bad;
  for (const pair of routes.values()) {
    if (failsMoreOften(pair.now, pair.old, routeFailureStandardErrors))
      return verdicts.bad;
    if (isSlower(pair.now, pair.old)) return verdicts.bad;
  }
  const isProven =
    newCell.requests >= minRequests && isAsFast([...routes.values()]);
  return isProven ? verdicts.good : verdicts.open;
}

/** Compares the latencies of all routes at once, each with the old version on the same route. */
function isAsFast(
  routes: readonly {now: EvidenceCell; old: EvidenceCell}[],
): boolean {
  const comparable = routes.filter(
    ({old}) => samplesOf(old) >= minLatencySamples,
  );
  // Without requests on the old version there is nothing to compare with.
  if (comparable.length === 0) return true;
  let samples = 0;
  let logRatioSum = 0;
  for (const {now, old} of comparable) {
    const count = samplesOf(now);
    samples += count;
    logRatioSum +=
      now.logLatencySum - (count * old.logLatencySum) / samplesOf(old);
  }
  return (
    samples >= minComparedSamples && logRatioSum / samples < Math.log(goodRatio)
  );
}

function samplesOf({requests, failures}: EvidenceCell): number {
  return requests - failures;
}

function sum(a: EvidenceCell, b: EvidenceCell): EvidenceCell {
  return {
    requests: a.requests + b.requests,
    failures: a.failures + b.failures,
    logLatencySum: a.logLatencySum + b.logLatencySum,
  };
}

function failsMoreOften(
  newCell: EvidenceCell,
  oldCell: EvidenceCell,
  standardErrors: number,
): boolean {
  if (newCell.failures < minFailures) return false;
  // One added success and failure in the pooled rate keep the standard error above 0 for few requests.
  const oldRate = (oldCell.failures + 0.5) / (oldCell.requests + 1);
  const newRate = newCell.failures / newCell.requests;
  const pooled =
    (newCell.failures + oldCell.failures + 1) /
    (newCell.requests + oldCell.requests + 2);
  const standardError = Math.sqrt(
    pooled * (1 - pooled) * (1 / newCell.requests + 1 / (oldCell.requests + 1)),
  );
  return newRate - oldRate > standardErrors * standardError;
}

function isSlower(newCell: EvidenceCell, oldCell: EvidenceCell): boolean {
  const newSamples = samplesOf(newCell);
  const oldSamples = samplesOf(oldCell);
  if (newSamples < minLatencySamples || oldSamples < minLatencySamples)
    return false;
  const ratio =
    newCell.logLatencySum / newSamples - oldCell.logLatencySum / oldSamples;
  return ratio > Math.log(slowRatio);
}
