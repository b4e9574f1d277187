import type {Clock} from '../clock.js';
import {dutyCallResults, type DutyCallResult} from '../duties/duty-platform.js';
import {duties, type PositionedRecord} from '../duties/duty-record.js';
import {DutyTask, type HeldDuties} from '../duties/duty-task.js';
import type {Logger} from '../logger.js';
import type {PoolScaling} from './pool-scaling.js';
import type {PoolSizeMetrics} from './pool-size-metrics.js';
import {
  ServicePool,
  type PoolObservation,
  type PoolPlan,
} from './service-pool.js';

/** Interval between two decisions, in milliseconds. */
const intervalMs = 1000;

/** A service to size and how its pool is seen now. */
export interface ObservedService {
  readonly service: string;
  readonly seen: PoolObservation;
}

/** Dependencies of a {@link PoolSizeDuty}. */
export interface PoolSizeDutyParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: PoolSizeMetrics;
  /** Observes the pools of all services whose number of targets can be ordered. */
  readonly observe: () => Iterable<ObservedService>;
}

interface OpenPool {
  readonly pool: ServicePool;
  /** What was logged last of why numbers are kept. */
  logged?: string;
  /** Zones whose order was logged as not confirmed. */
  readonly unconfirmed: Set<string>;
}

/** Orders the numbers of targets while this host holds the duties. */
export class PoolSizeDuty extends DutyTask {
  private readonly pools = new Map<string, OpenPool>();
  private decidedMs = -Infinity;
  /** Whether the platform took no further calls, so that orders are sent before the next decision. */
  private isBusy = false;

  /** @param parts - Dependencies. */
  constructor(private readonly parts: PoolSizeDutyParts) {
    super();
  }

  override adopt(records: readonly PositionedRecord[]): void {
    for (const {record} of records) {
      if (record.kind !== duties.poolSize) continue;
      this.poolOf(record.service).pool.adopt(record);
    }
  }

  override async run(held: HeldDuties, nowMs: number): Promise<void> {
    const isDue = nowMs >= this.decidedMs + intervalMs;
    if (!isDue && !this.isBusy) return;
    if (isDue) this.decidedMs = nowMs;
    this.isBusy = false;
    for (const {service, seen} of this.parts.observe()) {
      const open = this.poolOf(service);
      if (isDue) await this.decide(held, service, open, seen);
      const result = await this.send(held, service, open, seen.scaling);
      // The platform limits the calls of all duties together.
      this.isBusy = result === dutyCallResults.busy;
      if (result !== dutyCallResults.accepted) return;
    }
  }

  override lost(): void {
    this.pools.clear();
    this.decidedMs = -Infinity;
    this.parts.metrics.clear();
  }

  private async decide(
    held: HeldDuties,
    service: string,
    open: OpenPool,
    seen: PoolObservation,
  ): Promise<void> {
    const {clock, metrics} = this.parts;
    const plan = open.pool.decide(seen, clock.nowMs());
    metrics.decided(service, plan);
    this.logKept(service, open, plan);
    await this.order(held, service, open.pool, plan, seen.scaling);
  }

  private async order(
    held: HeldDuties,
    service: string,
    pool: ServicePool,
    plan: PoolPlan,
    {bootMs}: PoolScaling,
  ): Promise<void> {
    const {counts, loadSlots, orders, reason} = plan;
    if (orders.length === 0) return;
    const kind = duties.poolSize;
    const records = orders.map(order => ({kind, service, ...order}));
    if (!(await held.record(records))) return;
    pool.ordered(orders, bootMs, this.parts.clock.nowMs());
    this.parts.metrics.ordered(service, plan);
    for (const {zone, count} of orders) {
      const before = counts.find(each => each.zone === zone)?.count;
      const load = Math.round(loadSlots);
      const fields = {service, zone, count, before, reason, loadSlots: load};
      this.parts.logger.event('poolSizeOrdered', fields);
    }
  }

  /** Sends what was not accepted yet. Returns why the platform takes no further calls now, or that it does. */
  private async send(
    held: HeldDuties,
    service: string,
    {pool, unconfirmed}: OpenPool,
    {bootMs}: PoolScaling,
  ): Promise<DutyCallResult> {
    const {clock, logger} = this.parts;
    for (const order of pool.unsent) {
      const {zone} = order;
      const result = await held.call({kind: 'pool-size', service, ...order});
      switch (result) {
        case dutyCallResults.accepted:
          pool.responded(zone, true, bootMs, clock.nowMs());
          unconfirmed.delete(zone);
          logger.event('poolSizeConfirmed', {service, ...order});
          break;
        case dutyCallResults.refused:
          pool.responded(zone, false, bootMs, clock.nowMs());
          unconfirmed.delete(zone);
          logger.event('poolSizeRefused', {service, ...order});
          break;
        case dutyCallResults.busy:
          return result;
        default:
          if (!unconfirmed.has(zone)) {
            logger.event('poolSizeUnconfirmed', {service, ...order, result});
          }
          unconfirmed.add(zone);
          return result;
      }
    }
    return dutyCallResults.accepted;
  }

  private logKept(
    service: string,
    open: OpenPool,
    {held, loadSlots, orders, reason}: PoolPlan,
  ): void {
    if (orders.length > 0) return;
    const text = `${reason} ${held}`;
    if (open.logged === text) return;
    open.logged = text;
    const fields = {service, reason, held, loadSlots: Math.round(loadSlots)};
    this.parts.logger.event('poolSizeKept', fields);
  }

  private poolOf(service: string): OpenPool {
    let open = this.pools.get(service);
    if (!open) {
      const pool = new ServicePool();
      open = {pool, unconfirmed: new Set()};
      this.pools.set(service, open);
    }
    return open;
  }
}
