import {IndexedHeap} from './indexed-heap.js';
import type {WaitingRequest} from './waiting-request.js';

interface OrganisationQueue {
  readonly organisation: string;
  weight: number;
  /** Start tag of the organisation's next request, in tokens per weight. */
  startTag: number;
  readonly first: IndexedHeap<WaitingRequest>;
  readonly retries: IndexedHeap<WaitingRequest>;
  cost: number;
}

/** Inactive organisations remembered for corrections of their cost. */
const maxIdleQueues = 1024; // Three times the organisations of the design scale.

/**
 * Queue of one tier: start-time fair queueing between organisations, earliest deadline first
 * within one, and first tries before retries.
 */
export class FairQueue {
  private readonly queues = new Map<string, OrganisationQueue>();
  private readonly firstAttempts = new IndexedHeap<OrganisationQueue>(
    byStartTag,
  );
  private readonly retries = new IndexedHeap<OrganisationQueue>(byStartTag);
  private virtualTime = 0;
  private waiting = 0;
  private waitingCost = 0;

  /** Number of waiting requests. */
  get size(): number {
    return this.waiting;
  }

  /** Cost of all waiting requests, in tokens. */
  get cost(): number {
    return this.waitingCost;
  }

  /** Adds a request. */
  push(item: WaitingRequest): void {
    const account = this.queueOf(item.request.organisation);
    account.weight = Math.max(item.request.weight, 1e-6);
    if (account.first.size + account.retries.size === 0) {
      account.startTag = Math.max(account.startTag, this.virtualTime);
    }
    this.heapFor(account, item).put(item);
    this.addCost(account, item.cost, 1);
    this.order(account);
  }

  /** Waiting requests that meet a condition. */
  count(condition: (item: WaitingRequest) => boolean): number {
    let count = 0;
    for (const {first, retries} of this.queues.values()) {
      for (const item of first.values) if (condition(item)) count++;
      for (const item of retries.values) if (condition(item)) count++;
    }
    return count;
  }

  /** Next request in order, which stays in the queue. */
  peek(): WaitingRequest | undefined {
    const first = this.firstAttempts.peek();
    if (first) return first.first.peek();
    return this.retries.peek()?.retries.peek();
  }

  /** Removes a request that was granted a permit and charges its cost. */
  take(item: WaitingRequest): void {
    const account = this.queueOf(item.request.organisation);
    this.virtualTime = Math.max(this.virtualTime, account.startTag);
    account.startTag += item.cost / account.weight;
    this.remove(item);
  }

  /** Removes a request without a charge. */
  remove(item: WaitingRequest): boolean {
    const account = this.queues.get(item.request.organisation);
    if (!account || !this.heapFor(account, item).remove(item)) return false;
    this.addCost(account, -item.cost, -1);
    this.order(account);
    return true;
  }

  /**
   * Corrects the charge of a request when its true cost is known.
   *
   * @param organisation - Organisation that was charged.
   * @param difference - True cost less the cost charged, in tokens.
   */
  adjustCharge(organisation: string, difference: number): void {
    const account = this.queues.get(organisation);
    if (!account) return;
    account.startTag += difference / account.weight;
    if (account.first.size + account.retries.size > 0) this.order(account);
  }

  /**
   * Finds the request to drop when the queue is full: the latest deadline of the organisation
   * with the greatest waiting cost for its weight.
   */
  evictionCandidate(): WaitingRequest | undefined {
    let found: OrganisationQueue | undefined;
    for (const heap of [this.firstAttempts, this.retries]) {
      for (const account of heap.values) {
        if (!found || backlog(account) > backlog(found)) found = account;
      }
    }
    if (!found) return undefined;
    const line = found.retries.size > 0 ? found.retries : found.first;
    return line.values.reduce((a, b) => (b.deadlineMs > a.deadlineMs ? b : a));
  }

  /** Waiting cost of an organisation for its weight, in tokens. */
  backlogOf(organisation: string): number {
    const account = this.queues.get(organisation);
    return account ? backlog(account) : 0;
  }

  /**
   * Estimates the cost served before a new request would be, in tokens.
   *
   * @param organisation - Organisation of the new request.
   * @param weight - Its weight.
   * @param deadlineMs - Deadline of the new request.
   */
  costAhead(organisation: string, weight: number, deadlineMs: number): number {
    const account = this.queues.get(organisation);
    const own = account ? costBefore(account, deadlineMs) : 0;
    let others = 0;
    for (const other of this.firstAttempts.values) {
      if (other.organisation === organisation) continue;
      // Other organisations are served in step with the share that this one receives.
      others += Math.min(other.cost, (own * other.weight) / weight);
    }
    return own + others;
  }

  private queueOf(organisation: string): OrganisationQueue {
    let account = this.queues.get(organisation);
    if (!account) {
      if (this.queues.size >= maxIdleQueues) this.removeIdle();
      account = {
        organisation,
        weight: 1,
        startTag: this.virtualTime,
        first: new IndexedHeap(byDeadline),
        retries: new IndexedHeap(byDeadline),
        cost: 0,
      };
      this.queues.set(organisation, account);
    }
    return account;
  }

  private removeIdle(): void {
    for (const [name, account] of this.queues) {
      const idle = account.first.size + account.retries.size === 0;
      if (idle && account.startTag <= this.virtualTime)
        this.queues.delete(name);
    }
  }

  private heapFor(account: OrganisationQueue, item: WaitingRequest) {
    return item.request.attempt > 0 ? account.retries : account.first;
  }

  private addCost(
    account: OrganisationQueue,
    cost: number,
    count: number,
  ): void {
    account.cost += cost;
    this.waitingCost += cost;
    this.waiting += count;
  }

  private order(account: OrganisationQueue): void {
    if (account.first.size > 0) this.firstAttempts.put(account);
    else this.firstAttempts.remove(account);
    if (account.retries.size > 0) this.retries.put(account);
    else this.retries.remove(account);
  }
}

function byStartTag(a: OrganisationQueue, b: OrganisationQueue): boolean {
  return a.startTag !== b.startTag
    ? a.startTag < b.startTag
    : a.organisation < b.organisation;
}

function byDeadline(a: WaitingRequest, b: WaitingRequest): boolean {
  if (a.deadlineMs !== b.deadlineMs) return a.deadlineMs < b.deadlineMs;
  return a.request.id < b.request.id;
}

function backlog(account: OrganisationQueue): number {
  return account.cost / account.weight;
}

/** Items of a heap inspected for an estimate; bounds the time of a decision. */
const sampleSize = 32;

function costBefore(account: OrganisationQueue, deadlineMs: number): number {
  const items = account.first.values;
  const count = Math.min(items.length, sampleSize);
  if (count === 0) return 0;
  let earlier = 0;
  for (let i = 0; i < count; i++) {
    const item = items[Math.floor((i * items.length) / count)];
    if (item.deadlineMs <= deadlineMs) earlier++;
  }
  return (account.cost * earlier) / count;
}
