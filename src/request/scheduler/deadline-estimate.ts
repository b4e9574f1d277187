import type {LengthEstimates} from './length-estimates.js';
import type {RequestQueue} from './request-queue.js';
import type {ServiceRate} from './service-rate.js';
import type {TargetTable} from './target-table.js';
import type {WaitingRequest} from './waiting-request.js';

/** Estimates whether requests can be answered by their deadlines. */
export class DeadlineEstimate {
  /**
   * @param queue - Requests that wait.
   * @param targets - Targets with their learnt speeds.
   * @param rate - Observed rate of service.
   * @param lengths - Learnt output lengths.
   */
  constructor(
    private readonly queue: RequestQueue,
    private readonly targets: TargetTable,
    private readonly rate: ServiceRate,
    private readonly lengths: LengthEstimates,
  ) {}

  /** Whether a new request can be answered in time behind those that wait. */
  canMeet(item: WaitingRequest, nowMs: number): boolean {
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
    const rate = this.rate.forTier(tier, this.targets.slots);
    if (!rate) return 0;
    const queue = this.queue.tiers[tier];
    let ahead = queue.costAhead(organisation, weight, item.deadlineMs);
    for (let i = 0; i < tier; i++) ahead += this.queue.tiers[i].cost;
    return ahead / rate;
  }
}
