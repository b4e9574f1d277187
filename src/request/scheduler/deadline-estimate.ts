import type {LengthEstimates} from './length-estimates.js';
import type {PermitTable} from './permit.js';
import type {RequestQueue} from './request-queue.js';
import type {ServiceRate} from './service-rate.js';
import type {TargetTable} from './target-table.js';
import type {WaitingRequest} from './waiting-request.js';

/** Part of the first-token target after which a waiting top-tier request is at risk. */
const riskPart = 0.5;
/** Typical answer times left before the deadline from which a request is at risk. */
const nearFactor = 2;

/** Estimates whether requests can be answered by their deadlines. */
export class DeadlineEstimate {
  /**
   * @param queue - Requests that wait.
   * @param permits - Work that runs.
   * @param targets - Targets with their learnt speeds.
   * @param rate - Observed rate of service.
   * @param lengths - Learnt output lengths.
   * @param firstTokenTargetMs - Wanted time to first token, in milliseconds.
   */
  constructor(
    private readonly queue: RequestQueue,
    private readonly permits: PermitTable,
    private readonly targets: TargetTable,
    private readonly rate: ServiceRate,
    private readonly lengths: LengthEstimates,
    private readonly firstTokenTargetMs: number,
  ) {}

  /** Waiting top-tier requests that will be late unless they get a slot soon. */
  topTierAtRisk(nowMs: number): number {
    return this.queue.tiers[0].count(
      item =>
        nowMs - item.offeredMs > riskPart * this.firstTokenTargetMs ||
        item.deadlineMs - nowMs < nearFactor * this.typicalMs(item),
    );
  }

  /**
   * Whether requests of a tier may be refused by an estimate: not before answers were observed, and
   * not in the top tier while lower tiers run or wait.
   */
  mayRefuse(tier: number): boolean {
    if (!this.rate.hasEvidence) return false;
    const lowerWaits = this.queue.size > this.queue.tiers[0].size;
    return tier > 0 || !(lowerWaits || this.permits.runsBelow(0));
  }

  /** Whether a new request can be answered in time behind those that wait. */
  canMeet(item: WaitingRequest, nowMs: number): boolean {
    const {attempt, tier} = item.request;
    // After an attempt the caller would be told that the outcome is unknown.
    if (attempt > 0 || !this.mayRefuse(tier)) return true;
    const waitMs = this.waitMs(item);
    return nowMs + waitMs + this.typicalMs(item) <= item.deadlineMs;
  }

  /** Typical time from grant to complete answer on an unloaded target, in milliseconds. */
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
