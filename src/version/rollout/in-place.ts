import type {RolloutTarget, RolloutView} from './rollout-view.js';
import {maxUnavailableTargets} from './plan.js';

/** Utilisation (0 to 1) above which no further ready target is taken out of service to load. */
const maxUtilisation = 0.9;

/** Decision to order a target to load a version. */
export interface LoadOrder {
  readonly kind: 'order';
  readonly target: string;
  readonly version: string;
}

/**
 * Chooses the next targets to load a version, a few at a time: limited by the targets of a zone
 * that may be unavailable, by the parallel loads of the weight store and by the utilisation.
 *
 * @param view - Targets and current measurements.
 * @param version - Version to load.
 * @param desired - Number of targets that should run it; all by default.
 * @param urgent - Whether to ignore the utilisation limit, in order to replace a bad version.
 * @returns Orders for the chosen targets.
 */
export function nextLoads(
  view: RolloutView,
  version: string,
  desired = Infinity,
  urgent = false,
): LoadOrder[] {
  const inZones = view.targets.filter(target => target.zoneIn);
  const sizes = new Map<string, number>();
  const unavailable = new Map<string, number>();
  let loading = 0;
  let loaded = 0;
  for (const target of inZones) {
    sizes.set(target.zone, (sizes.get(target.zone) ?? 0) + 1);
    if (target.loading || !target.ready)
      unavailable.set(target.zone, (unavailable.get(target.zone) ?? 0) + 1);
    if (target.loading) loading++;
    if ((target.loading ?? target.version) === version) loaded++;
  }
  const orders: LoadOrder[] = [];
  let utilisation = view.utilisation;
  const total = inZones.reduce((sum, target) => sum + target.capacity, 0);
  for (const target of targetsToLoad(inZones, version, unavailable)) {
    if (loading >= view.estimates.parallelLoads || loaded >= desired) break;
    const unavailableHere = unavailable.get(target.zone) ?? 0;
    const alreadyCounted = target.ready ? 0 : 1;
    if (
      unavailableHere - alreadyCounted >=
      maxUnavailableTargets(sizes.get(target.zone)!)
    )
      continue;
    const utilisationAfter =
      utilisation / Math.max(0.01, 1 - target.capacity / total);
    if (!urgent && target.ready && utilisationAfter > maxUtilisation) break;
    utilisation = utilisationAfter;
    orders.push({kind: 'order', target: target.name, version});
    unavailable.set(target.zone, unavailableHere - alreadyCounted + 1);
    loading++;
    loaded++;
  }
  return orders;
}

/** Lists the targets that lack a version; zones where the fewest targets have it come first. */
function targetsToLoad(
  targets: readonly RolloutTarget[],
  version: string,
  unavailable: ReadonlyMap<string, number>,
): RolloutTarget[] {
  const loaded = new Map<string, number>();
  for (const {zone, loading, version: running} of targets) {
    if ((loading ?? running) === version)
      loaded.set(zone, (loaded.get(zone) ?? 0) + 1);
  }
  return targets
    .filter(target => !target.loading && target.version !== version)
    .sort(
      (a, b) =>
        (loaded.get(a.zone) ?? 0) - (loaded.get(b.zone) ?? 0) ||
        (unavailable.get(a.zone) ?? 0) - (unavailable.get(b.zone) ?? 0) ||
        (a.name < b.name ? -1 : 1),
    );
}
