import type {LengthEstimates} from './length-estimates.js';
import type {PermitTable} from './permit.js';
import type {RequestQueue} from './request-queue.js';
import type {ServiceRate} from './service-rate.js';
import type {TargetTable} from './target-table.js';
import type {WaitingRequest} from './waiting-request.js';

/** Multiple of the typical response time; a request with less time left is at risk. */
const atRiskFactor = 2;
/**
 * Maximum share of a request's time limit, up to the first-token target, reserved for its response.
 * Before the first observation the typical time is near 0 and would leave no time to run.
 */
const maxReservedShare = 0.25;

/** Estimates whether requests can complete by their deadlines. */
export class DeadlineEstimate {
  /**
   * @param queue - Waiting requests.
   * @param permits - Outstanding permits.
   * @param targets - Targets with their learnt rates.
   * @param rate - Observed service rate.
   * @param lengths - Learnt output lengths.
   * @param firstTokenTargetMs - Objective for the time to first token, in milliseconds.
   */
  constructor(
    private readonly queue: RequestQueue,
    private readonly permits: PermitTable,
    private readonly targets: TargetTable,
    private readonly rate: ServiceRate,
    private readonly lengths: LengthEstimates,
    private readonly firstTokenTargetMs: number,
  ) {}

  /**
   * Counts waiting top-tier requests that will miss their deadline unless they get a slot soon. A
   * late first token does not count, because aborting a relayed response loses it for its caller.
   */
  topTierAtRisk(nowMs: number): number {
    return this.queue.tiers[0].count(item => {
      const timeLimitMs = item.deadlineMs - item.offeredMs;
      const reservedMs = Math.max(
        atRiskFactor * this.typicalMs(item),
        Math.min(this.firstTokenTargetMs, maxReservedShare * timeLimitMs),
      );
      return item.deadlineMs - nowMs < reservedMs;
    });
  }

  /**
   * Whether requests of a tier may be refused because of an estimate: not before enough completions
   * were observed, and not in the top tier while lower tiers run or wait.
   */
  mayRefuse(tier: number): boolean {
    if (!this.rate.hasEvidence) return false;
    const lowerWaits = this.queue.size > this.queue.tiers[0].size;
    return tier > 0 || !(lowerWaits || this.permits.runsBelow(0));
  }

  /** Whether a new request can complete in time behind those that wait. */
  canMeet(item: WaitingRequest, nowMs: number): boolean {
    const {attempt, tier} = item.request;
    // After an attempt, a refusal would tell the caller that the outcome is unknown.
    if (attempt > 0 || !this.mayRefuse(tier)) return true;
    const waitMs = this.waitMs(item);
    return nowMs + waitMs + this.typicalMs(item) <= item.deadlineMs;
  }

  /** Typical time from grant to complete response on an unloaded target, in milliseconds. */
  typicalMs(item: WaitingRequest): number {
    const rates = this.targets.groupRates;
    const outputTokens = this.lengths.typical(item.request);
    return rates.firstTokenMs(0) + (outputTokens - 1) * rates.tokenMs(1);
  }

  private waitMs(item: WaitingRequest): number {
    const {tier, organisation, weight} = item.request;
    const rate = this.rate.forTier(tier, this.targets.warmSlots);
    if (!rate) return 0;
    const queue = this.queue.tiers[tier];
    let ahead = queue.costAhead(organisation, weight, item.deadlineMs);
    for (let i = 0; i < tier; i++) ahead += this.queue.tiers[i].cost;
    return ahead / rate;
  }
}
