import {FairQueue} from './fair-queue.js';
import {IndexedHeap} from './indexed-heap.js';
import type {SchedulerConfig} from './scheduler-config.js';
import {tierCount} from '../../version/resources/kinds.js';
import type {WaitingRequest} from './waiting-request.js';

/** Result of offering a request to the queue. */
export interface OfferResult {
  /** Whether the new request is in the queue. */
  readonly accepted: boolean;
  /** Waiting request that was removed to make room for it. */
  readonly displaced?: WaitingRequest;
}

/** All waiting requests of a group: one fair queue per tier, with bounds per tier and in total. */
export class RequestQueue {
  /** Fair queues by tier. */
  readonly tiers = Array.from({length: tierCount}, () => new FairQueue());
  private readonly byId = new Map<string, WaitingRequest>();
  private readonly byDeadline = new IndexedHeap<WaitingRequest>(
    (a, b) => a.deadlineMs < b.deadlineMs,
  );

  /**
   * @param cfg - Bounds of the queue.
   */
  constructor(private readonly cfg: SchedulerConfig) {}

  /** Number of waiting requests. */
  get size(): number {
    return this.byId.size;
  }

  /** Returns a waiting request by its id. */
  get(id: string): WaitingRequest | undefined {
    return this.byId.get(id);
  }

  /** Number of waiting requests of this and all higher tiers. */
  sizeUpTo(tier: number): number {
    let count = 0;
    for (let i = 0; i <= tier; i++) count += this.tiers[i].size;
    return count;
  }

  /**
   * Adds a request if the bounds allow it or another request can be removed for it.
   *
   * @param item - Request to add.
   * @param mustAccept - Whether it is added even if the queue is full.
   * @returns Whether it was added, and what was removed for it.
   */
  offer(item: WaitingRequest, mustAccept = false): OfferResult {
    const {tier} = item.request;
    const full = this.size >= this.cfg.queueTotal;
    const tierFull =
      this.tiers[tier].size >= (this.cfg.queueLimits[tier] ?? Infinity);
    if (!full && !tierFull) {
      this.push(item);
      return {accepted: true};
    }
    // The bounds apply to the top tier only while no request of a lower tier waits.
    const lowest =
      full || tier === 0 ? this.lowestTierCandidate(tier) : undefined;
    const displaced =
      lowest ?? (mustAccept ? undefined : this.sameTierCandidate(item));
    if (displaced) this.remove(displaced);
    else if (!mustAccept) return {accepted: false};
    this.push(item);
    return {accepted: true, displaced};
  }

  /** Removes a request that gets no permit, without charging its cost. */
  remove(item: WaitingRequest): void {
    this.tiers[item.request.tier].remove(item);
    this.removeFromIndexes(item);
  }

  /** Removes a request that gets a permit, and charges its cost. */
  take(item: WaitingRequest): void {
    this.tiers[item.request.tier].take(item);
    this.removeFromIndexes(item);
  }

  /** Removes and returns the requests whose deadline has passed. */
  expired(nowMs: number): WaitingRequest[] {
    const found: WaitingRequest[] = [];
    for (;;) {
      const item = this.byDeadline.peek();
      if (!item || item.deadlineMs > nowMs) return found;
      this.remove(item);
      found.push(item);
    }
  }

  /** Removes and returns all requests. */
  drain(): WaitingRequest[] {
    const items = [...this.byId.values()];
    for (const item of items) this.remove(item);
    return items;
  }

  private push(item: WaitingRequest): void {
    this.tiers[item.request.tier].push(item);
    this.byId.set(item.request.id, item);
    this.byDeadline.put(item);
  }

  private removeFromIndexes(item: WaitingRequest): void {
    this.byId.delete(item.request.id);
    this.byDeadline.remove(item);
  }

  /** Selects a request to remove, of the lowest tier below this one that has any. */
  private lowestTierCandidate(tier: number): WaitingRequest | undefined {
    for (let lower = tierCount - 1; lower > tier; lower--) {
      const worst = this.tiers[lower].evictionCandidate();
      if (worst) return worst;
    }
    return undefined;
  }

  /**
   * Selects a request of the same tier to remove, if its organisation has a larger backlog. Without
   * this, a bursting organisation could fill the queue and keep the others out.
   */
  private sameTierCandidate(item: WaitingRequest): WaitingRequest | undefined {
    const {tier, organisation, weight} = item.request;
    const queue = this.tiers[tier];
    const worst = queue.evictionCandidate();
    if (!worst || worst.request.organisation === organisation) return undefined;
    const own = queue.backlogOf(organisation) + item.cost / weight;
    const other = queue.backlogOf(worst.request.organisation);
    return other > own ? worst : undefined;
  }
}
