import {
  decidePoolSize,
  type PoolSizeDecision,
  type SizedZone,
  type ZoneCount,
} from './decide-pool-size.js';
import type {TotalDemand} from './demand-table.js';
import {LoadHistory} from './load-history.js';
import {
  withinBounds,
  type PoolScaling,
  type SizedTarget,
} from './pool-scaling.js';
import {keepReasons, type KeepReason} from './pool-size-reasons.js';
import {ZoneOrders} from './zone-orders.js';

/** Boot times for which the need must have been lower before numbers are. A rise would otherwise meet too few targets. */
const holdBoots = 3;
/** Shortest time for which it must have been, in milliseconds. */
const minHoldMs = 10_000;
/** Part of the boot time between two decreases. */
const decreaseBoots = 0.5;
/** Shortest time within which waiting requests are worked off, in milliseconds. */
const minDrainMs = 1000;
/** Share of the hosts whose demand must be known after a takeover, and time after which numbers are raised without it. */
const startShare = 0.8;
const startMs = 3000;
/** Share of the hosts whose demand must be known for decreases. */
const completeShare = 0.9;

/** What a service's pool is seen to be now. */
export interface PoolObservation {
  readonly scaling: PoolScaling;
  /** Slots of one target by the configuration; 0 if it states none. */
  readonly configuredSlots: number;
  readonly targets: readonly SizedTarget[];
  readonly demand: TotalDemand;
  readonly evacuatedZones: ReadonlySet<string>;
  /** Zones of which no host is heard. */
  readonly cutOffZones: ReadonlySet<string>;
  readonly isRollingOut: boolean;
}

/** A decision with the numbers in force. */
export interface PoolPlan extends PoolSizeDecision {
  /** Why nothing is lowered now, if so. */
  readonly held?: KeepReason;
  readonly loadSlots: number;
  readonly counts: readonly ZoneCount[];
}

/** Orders and load of one service during a term. */
export class ServicePool {
  private readonly zones = new Map<string, ZoneOrders>();
  private readonly history = new LoadHistory();
  private decreasedMs = -Infinity;
  private isStarted = false;
  private firstMs: number | undefined;

  /** Zones whose ordered number has to be sent. */
  get unsent(): ZoneCount[] {
    return [...this.zones].flatMap(([zone, {unsent}]) =>
      unsent === undefined ? [] : [{zone, count: unsent}],
    );
  }

  /**
   * Adopts a number that was recorded.
   *
   * @param order - Zone and number of targets.
   */
  adopt({zone, count}: ZoneCount): void {
    this.zoneOf(zone).adopt(count);
  }

  /**
   * Decides on the numbers of targets.
   *
   * @param seen - What is seen of the pool now.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  decide(seen: PoolObservation, nowMs: number): PoolPlan {
    const {demand, scaling, targets} = seen;
    const {bootMs} = scaling;
    const slots = slotsPerTarget(seen);
    const loadSlots = currentLoad(seen);
    this.observe(targets, bootMs, nowMs);
    this.firstMs ??= nowMs;
    this.isStarted ||=
      demand.share >= startShare || nowMs >= this.firstMs + startMs;
    const zones = this.viewZones(seen, nowMs);
    const counts = zones.map(({zone, count}) => ({zone, count}));
    const keep = (reason: KeepReason) => ({
      reason,
      loadSlots,
      counts,
      orders: [],
    });
    if (!this.isStarted) return keep(keepReasons.starting);
    if (slots === 0) return keep(keepReasons.slotsUnknown);
    const holdMs = Math.max(minHoldMs, holdBoots * bootMs);
    this.history.record(loadSlots, bootMs, holdMs, nowMs);
    const held = this.heldBack(seen);
    if (held) this.history.interrupt();
    const mayDecrease =
      !held && nowMs >= this.decreasedMs + decreaseBoots * bootMs;
    const decision = decidePoolSize({
      scaling,
      slots,
      zones,
      loadSlots,
      expectedSlots: this.history.expectedSlots(bootMs, nowMs),
      meanSlots: this.history.meanSlots(bootMs, nowMs),
      hasRefusals: demand.refusedPerSecond > 0,
      peak: mayDecrease ? this.history.peak(holdMs, nowMs) : undefined,
    });
    return {...decision, held, loadSlots, counts};
  }

  /**
   * Notes that numbers were recorded, so that they have to be sent.
   *
   * @param orders - Zones and numbers of targets.
   * @param bootMs - Time from an order until its targets serve, in milliseconds.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  ordered(orders: readonly ZoneCount[], bootMs: number, nowMs: number): void {
    for (const {zone, count} of orders) {
      const of = this.zoneOf(zone);
      if (count < of.count(nowMs)) this.decreasedMs = nowMs;
      of.order(count, bootMs, nowMs);
    }
  }

  /**
   * Notes how the platform responded to an order.
   *
   * @param zone - Name of the zone.
   * @param isAccepted - Whether it accepted the order.
   * @param bootMs - Time from an order until its targets serve, in milliseconds.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  responded(
    zone: string,
    isAccepted: boolean,
    bootMs: number,
    nowMs: number,
  ): void {
    const of = this.zoneOf(zone);
    if (isAccepted) of.accepted(bootMs, nowMs);
    else of.refused(bootMs, nowMs);
  }

  private observe(
    targets: readonly SizedTarget[],
    bootMs: number,
    nowMs: number,
  ): void {
    for (const {zone} of targets) this.zoneOf(zone);
    for (const [zone, orders] of this.zones) {
      const here = targets.filter(target => target.zone === zone);
      const staying = here.filter(({isLeaving}) => !isLeaving);
      const ids = staying.map(({id}) => id);
      const leaving = here.filter(each => each.isLeaving).map(({id}) => id);
      const serving = staying.filter(({isServing}) => isServing).length;
      orders.update({ids, leaving, serving}, bootMs, nowMs);
    }
  }

  private viewZones(
    {cutOffZones, evacuatedZones, scaling}: PoolObservation,
    nowMs: number,
  ): SizedZone[] {
    return [...this.zones].map(([zone, orders]) => {
      const {orderedCount} = orders;
      const isOutside =
        orderedCount !== undefined &&
        withinBounds(orderedCount, scaling) !== orderedCount;
      return {
        zone,
        // What was never ordered is held within the bounds by the platform.
        count: isOutside
          ? orderedCount
          : withinBounds(orders.count(nowMs), scaling),
        effective: orders.effective(nowMs),
        isReachable: !cutOffZones.has(zone) && !evacuatedZones.has(zone),
        isOpen: orders.isOpen(nowMs),
        delivers: orders.delivers(nowMs),
      };
    });
  }

  /** Finds why numbers must not be lowered, although the load seen now is lower. */
  private heldBack(seen: PoolObservation): KeepReason | undefined {
    if (seen.demand.share < completeShare) return keepReasons.viewIncomplete;
    for (const zone of this.zones.keys()) {
      if (seen.cutOffZones.has(zone)) return keepReasons.zoneCutOff;
      if (seen.evacuatedZones.has(zone)) return keepReasons.zoneEvacuated;
    }
    if (seen.isRollingOut) return keepReasons.rollout;
    if (seen.targets.some(({isCold, isLeaving}) => isCold && !isLeaving)) {
      return keepReasons.cold;
    }
    const zones = [...this.zones.values()];
    return zones.some(({onTheWay}) => onTheWay > 0)
      ? keepReasons.onTheWay
      : undefined;
  }

  private zoneOf(zone: string): ZoneOrders {
    let orders = this.zones.get(zone);
    if (!orders) {
      orders = new ZoneOrders();
      this.zones.set(zone, orders);
    }
    return orders;
  }
}

/** Slots of one target: the mean of those seen, or else as configured. */
function slotsPerTarget({configuredSlots, targets}: PoolObservation): number {
  if (targets.length === 0) return configuredSlots;
  return targets.reduce((sum, {slots}) => sum + slots, 0) / targets.length;
}

/** Slots that callers need now, of the targets that can be reached. */
function currentLoad(seen: PoolObservation): number {
  const {cutOffZones, demand, evacuatedZones, scaling, targets} = seen;
  const taken = targets
    .filter(({zone}) => !cutOffZones.has(zone) && !evacuatedZones.has(zone))
    .reduce((sum, {load}) => sum + load, 0);
  // New targets serve after the boot time; until then those that serve work off what waits.
  const backlog = demand.waitingMs / Math.max(minDrainMs, scaling.bootMs);
  return Math.max(demand.offeredSlots, taken) + backlog;
}
