import {IndexedHeap} from './indexed-heap.js';
import type {WaitingRequest} from './waiting-request.js';

/** Waiting requests and fair-queueing state of one organisation. */
interface OrganisationQueue {
  readonly organisation: string;
  weight: number;
  /** Virtual start time of the organisation's next request, in tokens per weight. */
  startTag: number;
  /** Waiting first attempts, earliest deadline first. */
  readonly first: IndexedHeap<WaitingRequest>;
  /** Waiting retries, earliest deadline first. */
  readonly retries: IndexedHeap<WaitingRequest>;
  /** Cost of the waiting requests, in tokens. */
  cost: number;
}

/**
 * Number of organisations at which idle ones are removed; until then they stay, so that their
 * charges can still be adjusted. Three times the organisations of the design scale.
 */
const maxIdleQueues = 1024;

/**
 * Queue of one tier: start-time fair queueing between organisations, earliest deadline first
 * within an organisation, and first attempts before retries.
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
    const queue = this.queueOf(item.request.organisation);
    queue.weight = Math.max(item.request.weight, 1e-6);
    if (queue.first.size + queue.retries.size === 0) {
      queue.startTag = Math.max(queue.startTag, this.virtualTime);
    }
    this.heapFor(queue, item).put(item);
    this.addCost(queue, item.cost, 1);
    this.order(queue);
  }

  /** Counts the waiting requests that meet a condition. */
  count(condition: (item: WaitingRequest) => boolean): number {
    let count = 0;
    for (const {first, retries} of this.queues.values()) {
      for (const item of first.values) if (condition(item)) count++;
      for (const item of retries.values) if (condition(item)) count++;
    }
    return count;
  }

  /** Returns the next request in order without removing it. */
  peek(): WaitingRequest | undefined {
    const first = this.firstAttempts.peek();
    if (first) return first.first.peek();
    return this.retries.peek()?.retries.peek();
  }

  /** Removes a request that was granted a permit, and charges its cost. */
  take(item: WaitingRequest): void {
    const queue = this.queueOf(item.request.organisation);
    this.virtualTime = Math.max(this.virtualTime, queue.startTag);
    queue.startTag += item.cost / queue.weight;
    this.remove(item);
  }

  /** Removes a request without charging it; returns whether it was in the queue. */
  remove(item: WaitingRequest): boolean {
    const queue = this.queues.get(item.request.organisation);
    if (!queue || !this.heapFor(queue, item).remove(item)) return false;
    this.addCost(queue, -item.cost, -1);
    this.order(queue);
    return true;
  }

  /**
   * Adjusts the charge of a request once its actual cost is known.
   *
   * @param organisation - Organisation that was charged.
   * @param difference - Actual cost minus the cost charged, in tokens.
   */
  adjustCharge(organisation: string, difference: number): void {
    const queue = this.queues.get(organisation);
    if (!queue) return;
    queue.startTag += difference / queue.weight;
    if (queue.first.size + queue.retries.size > 0) this.order(queue);
  }

  /**
   * Selects the request to drop when the queue is full: of the organisation with the highest
   * backlog for its weight, the one with the latest deadline, retries before first attempts.
   */
  evictionCandidate(): WaitingRequest | undefined {
    let found: OrganisationQueue | undefined;
    for (const heap of [this.firstAttempts, this.retries]) {
      for (const queue of heap.values) {
        if (!found || backlog(queue) > backlog(found)) found = queue;
      }
    }
    if (!found) return undefined;
    const heap = found.retries.size > 0 ? found.retries : found.first;
    return heap.values.reduce((a, b) => (b.deadlineMs > a.deadlineMs ? b : a));
  }

  /** Waiting cost of an organisation divided by its weight, in tokens. */
  backlogOf(organisation: string): number {
    const queue = this.queues.get(organisation);
    return queue ? backlog(queue) : 0;
  }

  /**
   * Estimates the cost that is served before a new request, in tokens.
   *
   * @param organisation - Organisation of the new request.
   * @param weight - Weight of that organisation.
   * @param deadlineMs - Deadline of the new request.
   */
  costAhead(organisation: string, weight: number, deadlineMs: number): number {
    const queue = this.queues.get(organisation);
    const own = queue ? costBefore(queue, deadlineMs) : 0;
    let others = 0;
    for (const other of this.firstAttempts.values) {
      if (other.organisation === organisation) continue;
      // Other organisations are served meanwhile, in proportion to their weights.
      others += Math.min(other.cost, (own * other.weight) / weight);
    }
    return own + others;
  }

  private queueOf(organisation: string): OrganisationQueue {
    let queue = this.queues.get(organisation);
    if (!queue) {
      if (this.queues.size >= maxIdleQueues) this.removeIdle();
      queue = {
        organisation,
        weight: 1,
        startTag: this.virtualTime,
        first: new IndexedHeap(byDeadline),
        retries: new IndexedHeap(byDeadline),
        cost: 0,
      };
      this.queues.set(organisation, queue);
    }
    return queue;
  }

  private removeIdle(): void {
    for (const [name, queue] of this.queues) {
      const idle = queue.first.size + queue.retries.size === 0;
      if (idle && queue.startTag <= this.virtualTime) this.queues.delete(name);
    }
  }

  private heapFor(queue: OrganisationQueue, item: WaitingRequest) {
    return item.request.attempt > 0 ? queue.retries : queue.first;
  }

  private addCost(queue: OrganisationQueue, cost: number, count: number): void {
    queue.cost += cost;
    this.waitingCost += cost;
    this.waiting += count;
  }

  /** Updates the position of an organisation among first attempts and retries. */
  private order(queue: OrganisationQueue): void {
    if (queue.first.size > 0) this.firstAttempts.put(queue);
    else this.firstAttempts.remove(queue);
    if (queue.retries.size > 0) this.retries.put(queue);
    else this.retries.remove(queue);
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

function backlog(queue: OrganisationQueue): number {
  return queue.cost / queue.weight;
}

/** Maximum number of requests sampled for an estimate; bounds the time of a decision. */
const sampleSize = 32;

function costBefore(queue: OrganisationQueue, deadlineMs: number): number {
  const items = queue.first.values;
  const count = Math.min(items.length, sampleSize);
  if (count === 0) return 0;
  let earlier = 0;
  for (let i = 0; i < count; i++) {
    const item = items[Math.floor((i * items.length) / count)];
    if (item.deadlineMs <= deadlineMs) earlier++;
  }
  return (queue.cost * earlier) / count;
}
