import {tierCount} from '../../version/resources/kinds.js';

/** Factor by which each new observation reduces the weight of older ones. */
const decay = 0.98;
/** Minimum share of the rate assumed for a tier, however much higher tiers take. */
const minTierShare = 0.02;

/** Completions needed for an estimate: the first ones are the shortest and would bias it. */
const minCompletions = 4;

/** Observed rate at which a group serves requests, as their cost in tokens over time. */
export class ServiceRate {
  private cost = 0;
  private timeMs = 0;
  private completions = 0;
  private readonly granted = new Array<number>(tierCount).fill(0);

  /** Whether enough completions were observed for an estimate. */
  get hasEvidence(): boolean {
    return this.completions >= minCompletions;
  }

  /** Updates the rate with a complete response. */
  completed(cost: number, totalMs: number): void {
    this.completions++;
    this.cost = this.cost * decay + cost;
    this.timeMs = this.timeMs * decay + Math.max(totalMs, 0.01);
  }

  /** Records the cost of a grant to a tier. */
  recordGrant(tier: number, cost: number): void {
    for (let i = 0; i < tierCount; i++) this.granted[i] *= decay;
    this.granted[tier] += cost;
  }

  /**
   * Estimates the rate at which a tier's queue is served.
   *
   * @param tier - Tier of the queue.
   * @param slots - Requests that may run at once.
   * @returns Tokens per millisecond; undefined before the first observation.
   */
  forTier(tier: number, slots: number): number | undefined {
    if (this.timeMs === 0) return undefined;
    let higher = 0;
    let total = 0;
    for (let i = 0; i < tierCount; i++) {
      total += this.granted[i];
      if (i < tier) higher += this.granted[i];
    }
    const left = total > 0 ? Math.max(minTierShare, 1 - higher / total) : 1;
    return ((slots * this.cost) / this.timeMs) * left;
  }
}
