import type {LoadPeak} from './load-history.js';
import {withinBounds, type PoolScaling} from './pool-scaling.js';
import {
  keepReasons,
  poolSizeReasons,
  type KeepReason,
  type PoolSizeReason,
} from './pool-size-reasons.js';

/** Share of the slots that the load takes after a raise. Engines slow down and single ones get queues beyond. */
const aimedUsage = 0.75;
/** Share of the slots from which a raise is due. The distance to the aim keeps the number from following each wave. */
const highestUsage = 0.85;
/** Share of the slots that a load which is expected after the boot time takes. It may not come. */
const expectedUsage = 0.9;
/** Largest share of the number of a zone that is given back at a time. */
const lowerStep = 0.15;
/**
 * Factors on the mean load that the zones without the largest hold after a raise and after a decrease. The first keeps
 * a slowly rising load from one order each second, the second a steady one from turns.
 */
const raisedLossMargin = 1.05;
const lowerLossMargin = 1.1;

/** A zone as the decision needs it. */
export interface SizedZone {
  readonly zone: string;
  /** Number of targets in force. */
  readonly count: number;
  /** Number of targets that serve or are on their way. */
  readonly effective: number;
  /** Whether it is neither evacuated nor cut off. */
  readonly isReachable: boolean;
  /** Whether orders for it are possible. */
  readonly isOpen: boolean;
  /** Whether it delivered what was ordered last. */
  readonly delivers: boolean;
}

/** What a decision on the size of a service's pool depends on. */
export interface PoolSizeView {
  readonly scaling: PoolScaling;
  /** Slots of one target. */
  readonly slots: number;
  readonly zones: readonly SizedZone[];
  /** Present load, in slots. */
  readonly loadSlots: number;
  /** Load expected after the boot time, in slots. */
  readonly expectedSlots: number;
  /** Mean load of the last boot time, in slots. */
  readonly meanSlots: number;
  /** Whether requests were refused for lack of slots. */
  readonly hasRefusals: boolean;
  /** Highest load of the time for which it must have been lower before numbers are; absent if none may be. */
  readonly peak?: LoadPeak;
}

/** Number of targets of a zone. */
export interface ZoneCount {
  readonly zone: string;
  readonly count: number;
}

/** A decision on the numbers of targets. */
export interface PoolSizeDecision {
  readonly reason: PoolSizeReason | KeepReason;
  /** Numbers to order. */
  readonly orders: readonly ZoneCount[];
}

/** Numbers of targets that are needed. */
interface Need {
  /** In all zones together. */
  readonly all: number;
  /** In all zones without the largest one. */
  readonly withoutOne: number;
}

/**
 * Decides how many targets of a service are ordered in each zone.
 *
 * @param view - Load and zones.
 * @returns The orders, and why.
 */
export function decidePoolSize(view: PoolSizeView): PoolSizeDecision {
  const bounded = [...outOfBounds(view)];
  if (bounded.length > 0) {
    return {reason: poolSizeReasons.bounds, orders: bounded};
  }
  const reason = raiseReason(view);
  if (reason) {
    const orders = raise(view, neededNow(view));
    return {
      reason: orders.length > 0 ? reason : keepReasons.atMaximum,
      orders,
    };
  }
  const [lower] = decreases(view);
  return lower
    ? {reason: poolSizeReasons.lower, orders: [lower]}
    : {reason: keepReasons.enough, orders: []};
}

/** Lists the zones whose number is not within the bounds any longer. */
function* outOfBounds({scaling, zones}: PoolSizeView): Generator<ZoneCount> {
  for (const {zone, count, isOpen, isReachable} of zones) {
    if (!isOpen || !isReachable) continue;
    const bounded = withinBounds(count, scaling);
    if (bounded !== count) yield {zone, count: bounded};
  }
}

function raiseReason(view: PoolSizeView): PoolSizeReason | undefined {
  const {expectedSlots, hasRefusals, loadSlots, meanSlots, slots} = view;
  const reachable = view.zones.filter(({isReachable}) => isReachable);
  const capacity = sumOf(reachable) * slots;
  if (loadSlots > highestUsage * capacity) return poolSizeReasons.load;
  if (expectedSlots > capacity) return poolSizeReasons.rise;
  if (hasRefusals && loadSlots > aimedUsage * capacity) {
    return poolSizeReasons.refusals;
  }
  return bearsLoss(view) && withoutLargest(reachable) * slots < meanSlots
    ? poolSizeReasons.zoneLoss
    : undefined;
}

function neededNow(view: PoolSizeView): Need {
  const {expectedSlots, loadSlots, meanSlots, slots} = view;
  const slotsNeeded = Math.max(
    loadSlots / aimedUsage,
    expectedSlots / expectedUsage,
  );
  return {
    all: Math.ceil(slotsNeeded / slots),
    withoutOne: bearsLoss(view)
      ? Math.ceil((meanSlots * raisedLossMargin) / slots)
      : 0,
  };
}

/** Raises the zones with the fewest targets until the need is met or no zone can be raised. */
function raise({scaling, zones}: PoolSizeView, need: Need): ZoneCount[] {
  const raised = zones
    .filter(({isReachable}) => isReachable)
    .map(zone => ({...zone, before: zone.count}));
  while (!meets(raised, need)) {
    const open = raised.filter(
      ({count, isOpen}) => isOpen && count < scaling.maxTargets,
    );
    const delivering = open.filter(({delivers}) => delivers);
    const [next] = (delivering.length > 0 ? delivering : open).sort(
      (a, b) => a.effective - b.effective || compareNames(a, b),
    );
    if (!next) break;
    next.count++;
    next.effective++;
  }
  return raised
    .filter(({before, count}) => count !== before)
    .map(({zone, count}) => ({zone, count}));
}

/** Lists the decreases of one zone that leave enough targets, the preferred one first. */
function* decreases(view: PoolSizeView): Generator<ZoneCount> {
  const {peak, scaling, slots, zones} = view;
  if (!peak || zones.some(({isReachable}) => !isReachable)) return;
  const need = {
    all: Math.ceil(peak.slots / aimedUsage / slots),
    withoutOne: bearsLoss(view)
      ? Math.ceil((peak.meanSlots * lowerLossMargin) / slots)
      : 0,
  };
  const largestFirst = zones
    .filter(({isOpen}) => isOpen)
    .sort((a, b) => b.count - a.count || compareNames(a, b));
  for (const {zone, count, effective} of largestFirst) {
    const largest = Math.max(1, Math.floor(count * lowerStep));
    const possible = Math.min(largest, count - scaling.minTargets);
    for (let step = possible; step > 0; step--) {
      // It is not known whether the platform takes away a target that serves.
      const left = zones.map(each =>
        each.zone === zone ? {...each, effective: effective - step} : each,
      );
      if (meets(left, need)) yield {zone, count: count - step};
    }
  }
}

/** Whether the loss of a zone has to be prepared for: there are others, and none is lost already. */
function bearsLoss({zones}: PoolSizeView): boolean {
  return zones.length > 1 && zones.every(({isReachable}) => isReachable);
}

function meets(
  zones: readonly Pick<SizedZone, 'effective'>[],
  {all, withoutOne}: Need,
): boolean {
  return sumOf(zones) >= all && withoutLargest(zones) >= withoutOne;
}

function sumOf(zones: readonly Pick<SizedZone, 'effective'>[]): number {
  return zones.reduce((sum, {effective}) => sum + effective, 0);
}

function withoutLargest(
  zones: readonly Pick<SizedZone, 'effective'>[],
): number {
  return sumOf(zones) - Math.max(0, ...zones.map(each => each.effective));
}

function compareNames(a: ZoneCount, b: ZoneCount): number {
  return a.zone < b.zone ? -1 : 1;
}
