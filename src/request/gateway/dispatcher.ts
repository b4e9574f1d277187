import type {Clock} from '../../process/clock.js';
import type {PooledTarget} from '../../process/pool/pooled-target.js';
import {RankQueue, type QueueItem} from '../../process/pool/rank-queue.js';
import type {TargetPool} from '../../process/pool/target-pool.js';

/** What a request asks of the pool. */
export interface SlotRequest {
  readonly service: string;
  /** Rank of the route; 0 is the most urgent. */
  readonly rank: number;
  /** Rank of the organisation; 0 is the most urgent. */
  readonly organisationRank: number;
  /** Slot time that it will probably take, in milliseconds. */
  readonly costMs: number;
  /** Time at which its objective can no longer be met, on the process's clock. */
  readonly dueAtMs: number;
  /** Time to the answer or first event that the caller aims at, in milliseconds. */
  readonly objectiveMs: number;
  /** Time at which the caller or the route ends it, on the process's clock. */
  readonly deadlineAtMs: number;
  /** Time at which it stops waiting, on the process's clock. */
  readonly untilMs: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Tokens that most answers of its kind stay below. */
  readonly longOutputTokens: number;
  /** Part of the prompt that belongs to the request or its session. */
  readonly session?: string;
  /** Regions whose targets may be used; empty for all. */
  readonly regions: readonly string[];
  /** Targets that must not be used again. */
  readonly exclude: ReadonlySet<string>;
  /** Whether the request belongs to the part that tries a new version. */
  readonly trial: boolean;
}

/** A request that waits for a slot. */
export interface Ticket extends QueueItem {
  readonly request: SlotRequest;
  readonly onSlot: (target: PooledTarget) => void;
  readonly onExpired: () => void;
}

/** Interval in which waiting requests are looked at without an event, in milliseconds. */
const pollIntervalMs = 20;

/** Hands free slots of targets to the requests of this host. */
export class Dispatcher {
  private readonly queues = new Map<string, RankQueue<Ticket>>();
  private ticking = false;
  private serving = false;

  /**
   * @param pool - Targets.
   * @param clock - Clock of the process.
   */
  constructor(
    private readonly pool: TargetPool,
    private readonly clock: Clock,
  ) {}

  /** Number of requests that wait, of all services. */
  get waiting(): number {
    let sum = 0;
    for (const queue of this.queues.values()) sum += queue.size;
    return sum;
  }

  /**
   * Estimates how long the requests that wait for a service keep its slots busy.
   *
   * @param service - Name of the service.
   * @returns Time, in milliseconds.
   */
  backlogMs(service: string): number {
    let costMs = 0;
    for (const {costMs: ms} of this.queues.get(service) ?? []) costMs += ms;
    return costMs / Math.max(1, this.pool.localSlotShare(service));
  }

  /**
   * Asks for a slot. One of the functions is called, possibly before this one returns.
   *
   * @param request - What is asked for.
   * @param onSlot - Receives the target; its slot is taken until {@link TargetPool.release}.
   * @param onExpired - Called when the request has waited for too long.
   * @returns The ticket, to withdraw the request.
   */
  requestSlot(
    request: SlotRequest,
    onSlot: Ticket['onSlot'],
    onExpired: Ticket['onExpired'],
  ): Ticket {
    const {rank, organisationRank, costMs, dueAtMs} = request;
    const ticket = {
      request,
      rank,
      organisationRank,
      costMs,
      dueAtMs,
      onSlot,
      onExpired,
    };
    let queue = this.queues.get(request.service);
    if (!queue) {
      queue = new RankQueue<Ticket>();
      this.queues.set(request.service, queue);
    }
    queue.push(ticket);
    this.serve(request.service);
    this.tick();
    return ticket;
  }

  /**
   * Withdraws a request that waits.
   *
   * @param ticket - Ticket of the request.
   */
  withdraw(ticket: Ticket): void {
    this.queues.get(ticket.request.service)?.remove(ticket, false);
  }

  /** Serves what waits after slots may have become free. */
  serveAll(): void {
    for (const service of this.queues.keys()) this.serve(service);
  }

  /**
   * Serves the requests that wait for a service.
   *
   * @param service - Name of the service.
   */
  serve(service: string): void {
    const queue = this.queues.get(service);
    // A slot that is taken or released while requests are served must not start a second round.
    if (!queue || this.serving) return;
    this.serving = true;
    try {
      while (queue.size > 0 && this.serveOne(queue));
    } finally {
      this.serving = false;
    }
  }

  private serveOne(queue: RankQueue<Ticket>): boolean {
    const nowMs = this.clock.nowMs();
    for (const ticket of queue.heads(nowMs)) {
      const target = this.pool.takeSlot(ticket.request, nowMs);
      if (!target) continue;
      queue.remove(ticket, true);
      ticket.onSlot(target);
      return true;
    }
    return false;
  }

  private tick(): void {
    if (this.ticking || this.waiting === 0) return;
    this.ticking = true;
    this.clock.after(pollIntervalMs, () => {
      this.ticking = false;
      this.serveAll();
      this.expire();
      this.tick();
    });
  }

  private expire(): void {
    const nowMs = this.clock.nowMs();
    for (const queue of this.queues.values()) {
      for (const ticket of [...queue]) {
        if (ticket.request.untilMs > nowMs) continue;
        if (queue.remove(ticket, false)) ticket.onExpired();
      }
    }
  }
}
