import type {PooledTarget} from './pooled-target.js';

/** Open requests and slots of a service's targets. */
export interface Occupancy {
  readonly load: number;
  readonly slots: number;
}

/**
 * Sums up load and slots of the targets that are not leaving.
 *
 * @param targets - Targets of a service.
 * @param nowMs - Time on the process's clock, in milliseconds.
 */
export function sumOccupancy(
  targets: Iterable<PooledTarget>,
  nowMs: number,
): Occupancy {
  let load = 0;
  let slots = 0;
  for (const target of targets) {
    if (target.isLeaving) continue;
    load += target.loadAt(nowMs);
    slots += target.slots;
  }
  return {load, slots};
}

/**
 * Computes the share of a service's slots that one host has if all hosts have equal shares. Of a target that states a
 * limit, only as many slots count as requests at that rate occupy.
 *
 * @param targets - Targets of the service.
 * @param hosts - Number of hosts.
 * @param costMs - Mean time for which a request occupies a slot, in milliseconds.
 * @returns Number of slots, possibly fractional.
 */
export function slotShare(
  targets: Iterable<PooledTarget>,
  hosts: number,
  costMs: number,
): number {
  let slots = 0;
  let occupied = 0;
  for (const target of targets) {
    if (target.isLeaving) continue;
    const {limitPerSecond = Infinity} = target.stated;
    slots += target.slots;
    occupied += Math.min(target.slots, (limitPerSecond * costMs) / 1000);
  }
  const share = Math.max(1, slots / Math.max(1, hosts));
  return slots > 0 ? (share * occupied) / slots : share;
}
