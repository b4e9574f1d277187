import type {SimRequest} from './workload.js';

/** Counts of one group of requests. */
export interface Counts {
  offered: number;
  good: number;
}

/** What a run measured; only requests that arrived in the measured period count. */
export class Metrics {
  readonly byTier = Array.from({length: 4}, () => ({offered: 0, good: 0}));
  readonly byOrganisation = new Map<string, Counts>();
  /** By tier and organisation. */
  readonly byBoth = Array.from({length: 4}, () => new Map<string, Counts>());
  readonly refusals = new Map<string, number>();
  /** Prompt tokens processed for answers that were not delivered. */
  undelivered = 0;
  /** Prompt tokens processed although some engine had them in its cache. */
  avoidable = 0;
  /** Submissions beyond the bearable concurrency of a cold engine. */
  overCold = 0;
  /** Time that warm engines were beyond their bearable concurrency, in engine milliseconds. */
  overWarmMs = 0;
  engineMs = 0;
  crashes = 0;
  preemptions = 0;
  retries = 0;

  /**
   * @param fromMs - Start of the measured period.
   * @param untilMs - End of the measured period.
   */
  constructor(
    private readonly fromMs: number,
    private readonly untilMs: number,
  ) {}

  /** Whether a request counts. */
  counts(req: SimRequest): boolean {
    return req.arrivalMs >= this.fromMs && req.arrivalMs < this.untilMs;
  }

  /** Counts the end of a request. */
  ended(req: SimRequest, good: boolean, reason: string): void {
    if (!this.counts(req)) return;
    for (const counts of [
      this.byTier[req.tier],
      countsOf(this.byOrganisation, req.organisation),
      countsOf(this.byBoth[req.tier], req.organisation),
    ]) {
      counts.offered++;
      if (good) counts.good++;
    }
    if (!good) this.refusals.set(reason, (this.refusals.get(reason) ?? 0) + 1);
  }

  /** Goodput of all tiers, in requests. */
  get good(): number {
    return this.byTier.reduce((sum, {good}) => sum + good, 0);
  }

  /** Offered requests of all tiers. */
  get offered(): number {
    return this.byTier.reduce((sum, {offered}) => sum + offered, 0);
  }

  /** Prompt tokens processed in vain. */
  get wasted(): number {
    return this.undelivered + this.avoidable;
  }
}

function countsOf(map: Map<string, Counts>, name: string): Counts {
  let counts = map.get(name);
  if (!counts) map.set(name, (counts = {offered: 0, good: 0}));
  return counts;
}
