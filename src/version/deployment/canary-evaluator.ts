/** Counts of one version of a service on one route. */
export interface EvidenceCell {
  readonly requests: number;
  readonly failures: number;
  /** Sum of the logarithms of the times to the first event or the answer, in milliseconds. */
  readonly logFirst: number;
}

/** Evidence about a service: cells by version and route, separated by a line feed. */
export type Evidence = Readonly<Record<string, EvidenceCell>>;

/** What evidence says of a new version. */
export const verdicts = {
  /** Too few requests to tell. */
  open: 'open',
  good: 'good',
  bad: 'bad',
} as const;

/** One of {@link verdicts}. */
export type Verdict = (typeof verdicts)[keyof typeof verdicts];

/** Requests of a new version below which it is not judged good. */
const leastRequests = 12;
/** Failures of a new version below which it is not judged bad. */
const leastFailures = 4;
/** Standard errors by which the failure rate must exceed that of the old version. */
const failureErrors = 2.6;
/** The same on one route, where several are looked at. */
const routeFailureErrors = 3;
/**
 * Ratio of the times to the first event that counts as slow. Engines of one version differ fivefold
 * in speed, and bad versions are several times slower.
 */
const slowRatio = 3;
/** Answers below which the times of a version are not compared. */
const leastTimes = 8;

/** Collects the evidence of this host and what other hosts report. */
export class CanaryEvaluator {
  private readonly own = new Map<string, Record<string, EvidenceCell>>();
  private readonly others = new Map<
    string,
    ReadonlyMap<string, Evidence> | undefined
  >();
  private watched = new Set<string>();

  /**
   * Sets the services under rollout; evidence of all others is dropped.
   *
   * @param services - Names of the services.
   */
  watch(services: ReadonlySet<string>): void {
    this.watched = new Set(services);
    for (const service of this.own.keys()) {
      if (!services.has(service)) this.own.delete(service);
    }
  }

  /** Evidence of this host by service. */
  get localEvidence(): ReadonlyMap<string, Evidence> {
    return this.own;
  }

  /**
   * Records how a request ended.
   *
   * @param service - Service of the request.
   * @param version - Version of the target.
   * @param route - Name of the route.
   * @param failed - Whether the target failed.
   * @param firstMs - Time to the first event or the answer, in milliseconds.
   */
  record(
    service: string,
    version: string,
    route: string,
    failed: boolean,
    firstMs: number,
  ): void {
    if (!this.watched.has(service)) return;
    let cells = this.own.get(service);
    if (!cells) {
      cells = {};
      this.own.set(service, cells);
    }
    const name = `${version}\n${route}`;
    const known = cells[name] ?? {requests: 0, failures: 0, logFirst: 0};
    cells[name] = {
      requests: known.requests + 1,
      failures: known.failures + (failed ? 1 : 0),
      logFirst: known.logFirst + (failed ? 0 : Math.log(Math.max(1, firstMs))),
    };
  }

  /**
   * Takes over the evidence of another host.
   *
   * @param host - Name of the host.
   * @param evidence - Its evidence by service.
   */
  mergeRemote(host: string, evidence: ReadonlyMap<string, Evidence>): void {
    this.others.set(host, evidence);
  }

  /**
   * Judges a version by the evidence of all hosts.
   *
   * @param service - Name of the service.
   * @param version - New version.
   */
  evaluate(service: string, version: string): Verdict {
    const all: Evidence[] = [];
    const own = this.own.get(service);
    if (own) all.push(own);
    for (const evidence of this.others.values()) {
      const cells = evidence?.get(service);
      if (cells) all.push(cells);
    }
    return evaluateVersion(all, version);
  }
}

/**
 * Judges a new version against all other versions of its service.
 *
 * @param evidence - Evidence of each host.
 * @param version - New version.
 */
export function evaluateVersion(
  evidence: readonly Evidence[],
  version: string,
): Verdict {
  const routes = new Map<string, {now: EvidenceCell; old: EvidenceCell}>();
  const empty: EvidenceCell = {requests: 0, failures: 0, logFirst: 0};
  let now = empty;
  let old = empty;
  for (const cells of evidence) {
    for (const [name, cell] of Object.entries(cells)) {
      const [cellVersion, route] = name.split('\n');
      const pair = routes.get(route) ?? {now: empty, old: empty};
      const isNew = cellVersion === version;
      if (isNew) now = sum(now, cell);
      else old = sum(old, cell);
      routes.set(route, {
        now: isNew ? sum(pair.now, cell) : pair.now,
        old: isNew ? pair.old : sum(pair.old, cell),
      });
    }
  }
  if (failsMore(now, old, failureErrors)) return verdicts.bad;
  for (const pair of routes.values()) {
    if (failsMore(pair.now, pair.old, routeFailureErrors)) return verdicts.bad;
    if (isSlower(pair.now, pair.old)) return verdicts.bad;
  }
  return now.requests >= leastRequests ? verdicts.good : verdicts.open;
}

function sum(a: EvidenceCell, b: EvidenceCell): EvidenceCell {
  return {
    requests: a.requests + b.requests,
    failures: a.failures + b.failures,
    logFirst: a.logFirst + b.logFirst,
  };
}

function failsMore(
  now: EvidenceCell,
  old: EvidenceCell,
  errors: number,
): boolean {
  if (now.failures < leastFailures) return false;
  // One added success and failure keep the error finite while there are few requests.
  const oldRate = (old.failures + 0.5) / (old.requests + 1);
  const nowRate = now.failures / now.requests;
  const pooled =
    (now.failures + old.failures + 1) / (now.requests + old.requests + 2);
  const error = Math.sqrt(
    pooled * (1 - pooled) * (1 / now.requests + 1 / (old.requests + 1)),
  );
  return nowRate - oldRate > errors * error;
}

function isSlower(now: EvidenceCell, old: EvidenceCell): boolean {
  const nowTimes = now.requests - now.failures;
  const oldTimes = old.requests - old.failures;
  if (nowTimes < leastTimes || oldTimes < leastTimes) return false;
  const ratio = now.logFirst / nowTimes - old.logFirst / oldTimes;
  return ratio > Math.log(slowRatio);
}
