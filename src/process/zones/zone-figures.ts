import type {PooledTarget} from '../pool/pooled-target.js';
import type {ZoneFigures} from './transfer-plan.js';
import type {ZoneDemandSum} from './zone-demand.js';

/** Bounds of the speed of a target relative to the mean of its service. */
const minSpeed = 0.2;
const maxSpeed = 5;

/** Times at which zones were heard through the responses of their targets. */
export interface HeardTargets {
  /** Monotonic time of the latest response of a target of a zone, in milliseconds. */
  readonly get: (zone: string) => number | undefined;
}

interface ZoneTargets {
  capacity: number;
  slots: number;
  load: number;
}

/**
 * Computes the figures of all zones.
 *
 * @param targets - Targets of a service that take requests.
 * @param sums - Offered load by zone.
 * @param heard - When the targets of each zone were heard.
 * @param nowMs - Monotonic time, in milliseconds.
 * @param maxAgeMs - Age up to which figures count, in milliseconds.
 */
export function figuresOf(
  targets: readonly PooledTarget[],
  sums: ReadonlyMap<string, ZoneDemandSum>,
  heard: HeardTargets,
  nowMs: number,
  maxAgeMs: number,
): ZoneFigures[] {
  const meanMs = meanTokenMs(targets);
  const zones = new Map<string, ZoneTargets>();
  for (const zone of sums.keys()) {
    zones.set(zone, {capacity: 0, slots: 0, load: 0});
  }
  for (const target of targets) {
    const {zone} = target.entry;
    const sum = zones.get(zone) ?? {capacity: 0, slots: 0, load: 0};
    zones.set(zone, sum);
    const speed = target.tokenMs > 0 ? meanMs / target.tokenMs : 1;
    const bounded = Math.min(maxSpeed, Math.max(minSpeed, speed));
    sum.capacity += target.slots * bounded;
    sum.slots += target.slots;
    sum.load += target.loadAt(nowMs);
  }
  return [...zones].map(([zone, {capacity, slots, load}]) => {
    const demand = sums.get(zone);
    const isTargetHeard = nowMs - (heard.get(zone) ?? -Infinity) <= maxAgeMs;
    return {
      zone,
      capacity,
      offered: demand?.offered ?? 0,
      usage: slots > 0 ? load / slots : 1,
      isCut:
        demand !== undefined &&
        demand.known > 0 &&
        demand.heard === 0 &&
        !isTargetHeard,
    };
  });
}

/** Mean token time over the slots, as all of them together work: the harmonic mean; 0 if none is known. */
function meanTokenMs(targets: readonly PooledTarget[]): number {
  let slots = 0;
  let rate = 0;
  for (const target of targets) {
    if (target.tokenMs <= 0) continue;
    slots += target.slots;
    rate += target.slots / target.tokenMs;
  }
  return rate > 0 ? slots / rate : 0;
}
