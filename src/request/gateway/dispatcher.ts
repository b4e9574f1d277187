import type {Clock} from '../../process/clock.js';
import type {LineOrder} from '../../process/pool/line-order.js';
import {noSlots} from '../../process/pool/no-slot.js';
import type {PooledTarget} from '../../process/pool/pooled-target.js';
import {RankQueue, type QueueItem} from '../../process/pool/rank-queue.js';
import type {TargetPool} from '../../process/pool/target-pool.js';

/** A request for a slot, with what the choice of a target depends on. */
export interface SlotRequest {
  readonly service: string;
  /** Rank of the route; 0 is the most urgent. */
  readonly rank: number;
  /** Rank of the organisation; 0 is the most urgent. */
  readonly organisationRank: number;
  /** Name of the organisation, if it has one. */
  readonly organisation?: string;
  /** Expected time for which it occupies a slot, in milliseconds. */
  readonly costMs: number;
  /** Time on the process's clock from which its objective can no longer be met, in milliseconds. */
  readonly dueAtMs: number;
  /** Latest time on the process's clock at which a slot may be assigned for the objective, in milliseconds. */
  readonly startByMs?: number;
  /** Whether its caller was refused before. */
  readonly isReturn?: boolean;
  /** Target time to the response or its first event, in milliseconds. */
  readonly objectiveMs: number;
  /** Deadline of the caller or the route on the process's clock, in milliseconds. */
  readonly deadlineAtMs: number;
  /** Time on the process's clock until which it may wait for a slot, in milliseconds. */
  readonly untilMs: number;
  /** Size of the body, in bytes. */
  readonly bodyBytes?: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Output tokens that five of six such responses stay below. */
  readonly longOutputTokens: number;
  /** Id of the prompt part that belongs to the request or its session. */
  readonly session?: string;
  /** Regions whose targets may be used; empty for all. */
  readonly regions: readonly string[];
  /** Ids of targets to avoid, because they refused, failed or stalled on the request. */
  readonly exclude: ReadonlySet<string>;
  /** Whether the request is assigned to the canary of a new version. */
  readonly trial: boolean;
}

/** A request that waits for a slot, and the callbacks that end its wait. */
export interface Ticket extends QueueItem {
  readonly request: SlotRequest;
  readonly onSlot: (target: PooledTarget) => void;
  readonly onExpired: () => void;
}

/** How waiting requests are ordered, and who learns of assigned slots. */
export interface DispatchOptions {
  /** Creates the order within the lines of a service; by arrival if absent. */
  readonly createOrder?: (service: string) => LineOrder<Ticket>;
  /** Called when a request asks for a slot. */
  readonly onRequested?: (request: SlotRequest, nowMs: number) => void;
  /** Called when a request gets a slot. */
  readonly onAssigned?: (request: SlotRequest, nowMs: number) => void;
}

/** Interval at which waiting requests are checked while no other event occurs, in milliseconds. */
const pollIntervalMs = 20;

/** Assigns free slots of targets to the waiting requests of this host. */
export class Dispatcher {
  private readonly queues = new Map<string, RankQueue<Ticket>>();
  private ticking = false;
  private serving = false;

  /**
   * @param pool - Targets and their slots.
   * @param clock - Clock of the process; drives the periodic check.
   * @param options - Order of waiting requests; by arrival if absent.
   */
  constructor(
    private readonly pool: TargetPool,
    private readonly clock: Clock,
    private readonly options: DispatchOptions = {},
  ) {}

  /** Number of waiting requests of all services. */
  get waiting(): number {
    let sum = 0;
    for (const queue of this.queues.values()) sum += queue.size;
    return sum;
  }

  /** Iterates over the waiting requests of all services, in no particular order. */
  *waitingRequests(): Generator<SlotRequest> {
    for (const queue of this.queues.values()) {
      for (const {request} of queue) yield request;
    }
  }

  /**
   * Estimates how long the waiting requests of a service will occupy this host's share of its slots.
   *
   * @param service - Name of the service.
   * @returns Time in milliseconds.
   */
  backlogMs(service: string): number {
    const queue = this.queues.get(service);
    if (!queue || queue.size === 0) return 0;
    const costMs = this.waitingMs(service);
    const slots = this.pool.localSlotShare(service, costMs / queue.size);
    return costMs / slots;
  }

  /**
   * Sums up the expected slot times of the requests that wait for a service.
   *
   * @param service - Name of the service.
   * @returns Time in milliseconds.
   */
  waitingMs(service: string): number {
    let costMs = 0;
    for (const {costMs: ms} of this.queues.get(service) ?? []) costMs += ms;
    return costMs;
  }

  /**
   * Requests a slot. Calls one of the callbacks unless the request is withdrawn, possibly before this
   * method returns.
   *
   * @param request - Request to place.
   * @param onSlot - Receives the target; its slot is taken until {@link TargetPool.release}.
   * @param onExpired - Called when the wait limit of the request has passed.
   * @returns Ticket for {@link withdraw}, or `undefined` if the slot was assigned before this method returned.
   */
  requestSlot(
    request: SlotRequest,
    onSlot: Ticket['onSlot'],
    onExpired: Ticket['onExpired'],
  ): Ticket | undefined {
    const {rank, organisationRank, organisation, isReturn} = request;
    const {costMs, dueAtMs, untilMs} = request;
    const nowMs = this.clock.nowMs();
    const ticket = {
      request,
      rank,
      organisationRank,
      organisation,
      queuedAtMs: nowMs,
      untilMs,
      isReturn,
      costMs,
      dueAtMs,
      onSlot,
      onExpired,
    };
    let queue = this.queues.get(request.service);
    if (!queue) {
      queue = new RankQueue<Ticket>(
        this.options.createOrder?.(request.service),
      );
      this.queues.set(request.service, queue);
    }
    this.options.onRequested?.(request, nowMs);
    queue.push(ticket);
    this.pool.recordOffered(request);
    this.serve(request.service);
    this.tick();
    return queue.has(ticket) ? ticket : undefined;
  }

  /**
   * Removes a waiting request from its queue without a callback.
   *
   * @param ticket - Ticket from {@link requestSlot}.
   */
  withdraw(ticket: Ticket): void {
    this.queues.get(ticket.request.service)?.remove(ticket, false);
  }

  /** Assigns slots of all services; call when slots may have become free. */
  serveAll(): void {
    for (const service of this.queues.keys()) this.serve(service);
  }

  /**
   * Assigns free slots of a service to its waiting requests.
   *
   * @param service - Name of the service.
   */
  serve(service: string): void {
    const queue = this.queues.get(service);
    // Callbacks may take or release slots; that must not start a nested round.
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
    // Requests that wait for a more suitable target must not block the others of their line.
    const selective = new Set<Ticket>();
    for (;;) {
      const held = selective.size;
      for (const ticket of queue.heads(nowMs, selective)) {
        const target = this.pool.takeSlot(ticket.request, nowMs);
        if (target === noSlots.unsuitable) selective.add(ticket);
        if (typeof target === 'string') continue;
        queue.remove(ticket, true);
        this.options.onAssigned?.(ticket.request, nowMs);
        ticket.onSlot(target);
        return true;
      }
      if (selective.size === held) return false;
    }
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
