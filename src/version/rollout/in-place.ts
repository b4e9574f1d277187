import type {RolloutTarget, RolloutView} from './rollout-view.js';
import {zoneLimit} from './plan.js';

/** Use of the capacity above which no further target is taken for loading. */
const maxUtilisation = 0.9;

/** Order to load a version. */
export interface LoadOrder {
  readonly kind: 'order';
  readonly target: string;
  readonly version: string;
}

/**
 * Chooses the next targets to load a version, a few at a time: bounded by the part of a zone's
 * capacity that may be absent, by the weight store and by the load.
 *
 * @param view - View.
 * @param version - Version to load.
 * @param wanted - Number of targets that shall run it; all by default.
 * @param urgent - Whether to load although capacity is short, to get rid of a bad version.
 * @returns Orders.
 */
export function nextLoads(
  view: RolloutView,
  version: string,
  wanted = Infinity,
  urgent = false,
): LoadOrder[] {
  const inZones = view.targets.filter(target => target.zoneIn);
  const sizes = new Map<string, number>();
  const absent = new Map<string, number>();
  let loading = 0;
  let having = 0;
  for (const target of inZones) {
    sizes.set(target.zone, (sizes.get(target.zone) ?? 0) + 1);
    if (target.loading || !target.ready)
      absent.set(target.zone, (absent.get(target.zone) ?? 0) + 1);
    if (target.loading) loading++;
    if ((target.loading ?? target.version) === version) having++;
  }
  const orders: LoadOrder[] = [];
  let utilisation = view.utilisation;
  const total = inZones.reduce((sum, target) => sum + target.capacity, 0);
  for (const target of byNeed(inZones, version, absent)) {
    if (loading >= view.estimates.parallelLoads || having >= wanted) break;
    const gone = absent.get(target.zone) ?? 0;
    const counted = target.ready ? 0 : 1;
    if (gone - counted >= zoneLimit(sizes.get(target.zone)!)) continue;
    const after = utilisation / Math.max(0.01, 1 - target.capacity / total);
    if (!urgent && target.ready && after > maxUtilisation) break;
    utilisation = after;
    orders.push({kind: 'order', target: target.name, version});
    absent.set(target.zone, gone - counted + 1);
    loading++;
    having++;
  }
  return orders;
}

/** Targets that lack a version, those of zones with the fewest that have it first. */
function byNeed(
  targets: readonly RolloutTarget[],
  version: string,
  absent: ReadonlyMap<string, number>,
): RolloutTarget[] {
  const having = new Map<string, number>();
  for (const {zone, loading, version: running} of targets) {
    if ((loading ?? running) === version)
      having.set(zone, (having.get(zone) ?? 0) + 1);
  }
  return targets
    .filter(target => !target.loading && target.version !== version)
    .sort(
      (a, b) =>
        (having.get(a.zone) ?? 0) - (having.get(b.zone) ?? 0) ||
        (absent.get(a.zone) ?? 0) - (absent.get(b.zone) ?? 0) ||
        (a.name < b.name ? -1 : 1),
    );
}
