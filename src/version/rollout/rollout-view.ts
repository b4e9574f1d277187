import type {Verdict} from '../evidence/version-evaluator.js';
import type {RolloutSpec} from '../resources/kinds.js';
import type {RolloutEntry, RolloutState} from './rollout-state.js';

/** Target of a service, as the planner sees it. */
export interface RolloutTarget {
  readonly name: string;
  readonly zone: string;
  /** Whether the zone is in service; targets of other zones neither count as done nor block. */
  readonly zoneIn: boolean;
  /** Version that it runs. */
  readonly version: string;
  /** Version that it is loading, if any. */
  readonly loading?: string;
  /** Whether it can take requests. */
  readonly ready: boolean;
  /** Maximum number of requests in flight. */
  readonly capacity: number;
}

/** Estimates on which a plan is based. */
export interface RolloutEstimates {
  /** Time one engine takes to load a version, in milliseconds, including the weight store. */
  readonly loadMs: number;
  /** Number of loads that the weight store serves in parallel. */
  readonly parallelLoads: number;
  /** Time until the requests in flight have ended, in milliseconds. */
  readonly drainMs: number;
}

/** Rollout as declared in the configuration. */
export interface DeclaredRollout {
  readonly name: string;
  readonly spec: RolloutSpec;
  /** Log offset of its configuration record; lower offsets are processed first. */
  readonly offset: number;
}

/** Input of a decision: state of all rollouts and current measurements for one of them. */
export interface RolloutView {
  readonly declared: DeclaredRollout;
  readonly state: RolloutState;
  /** Version that the configuration declares for the service. */
  readonly serviceVersion: string;
  readonly targets: readonly RolloutTarget[];
  readonly verdict: Verdict;
  /** Requests in flight on the new version, summed over all hosts. */
  readonly newInFlight: number;
  /** Share of the capacity in use, 0 to 1. */
  readonly utilisation: number;
  readonly estimates: RolloutEstimates;
  /** Wall-clock time, in milliseconds since the Unix epoch. */
  readonly wallMs: number;
}

/**
 * Finds the state of the declared rollout.
 *
 * @param view - Declared rollout and state of all rollouts.
 * @returns The entry; `undefined` if there is none, or only one of another version that has ended.
 */
export function entryOf(view: RolloutView): RolloutEntry | undefined {
  const entry = view.state.entries.get(view.declared.name);
  if (!entry || entry.spec.version === view.declared.spec.version) return entry;
  const ended = ['done', 'taken-back', 'refused', 'superseded'];
  return ended.includes(entry.phase) ? undefined : entry;
}

/**
 * Computes the share of the ready capacity that runs the new version. Targets that are loading do
 * not count, because they can serve neither version.
 *
 * @param targets - Targets of the service.
 * @param entry - Rollout.
 * @returns Share of the capacity, 0 to 1.
 */
export function readyPart(
  targets: readonly RolloutTarget[],
  entry: RolloutEntry,
): number {
  let newCapacity = 0;
  let oldCapacity = 0;
  for (const target of targets) {
    if (!target.zoneIn || !target.ready || target.loading) continue;
    if (target.version === entry.spec.version) newCapacity += target.capacity;
    else oldCapacity += target.capacity;
  }
  const inPlace = entry.spec.strategy === 'in-place';
  const total = inPlace
    ? newCapacity + oldCapacity
    : Math.max(newCapacity, oldCapacity);
  return total > 0 ? newCapacity / total : 0;
}

/**
 * Divides a share of all requests between the zones that can serve the new version. Zones without
 * ready targets get none, and the others get more in return, up to the share of their capacity that
 * is ready. Zones are assumed to receive requests in proportion to their capacity.
 *
 * @param targets - Targets of the service.
 * @param entry - Rollout.
 * @param share - Share of all requests that the new version should receive, 0 to 1.
 * @returns Share of the new version in each zone that is in service.
 */
export function zoneShares(
  targets: readonly RolloutTarget[],
  entry: RolloutEntry,
  share: number,
): Map<string, number> {
  const zones = new Map<string, RolloutTarget[]>();
  for (const target of targets) {
    if (!target.zoneIn) continue;
    const list = zones.get(target.zone) ?? [];
    zones.set(target.zone, list);
    list.push(target);
  }
  const byZone = [...zones].map(([zone, list]) => ({
    zone,
    weight: list.reduce((sum, {capacity}) => sum + capacity, 0),
    ready: readyPart(list, entry),
  }));
  const total = byZone.reduce((sum, {weight}) => sum + weight, 0);
  let remaining = share * total;
  let remainingWeight = total;
  const shares = new Map<string, number>();
  // In ascending order of ready share, each zone gets its ready share or an even share of the rest.
  for (const {zone, weight, ready} of byZone.sort(
    (a, b) => a.ready - b.ready,
  )) {
    const granted = Math.min(
      ready,
      remainingWeight > 0 ? remaining / remainingWeight : 0,
    );
    shares.set(zone, granted);
    remaining -= granted * weight;
    remainingWeight -= weight;
  }
  return shares;
}

/**
 * Lists all zones of a service, so that a zone has its caps before it returns to service.
 *
 * @param targets - Targets of the service, including those in zones that are out of service.
 * @param zonesIn - Zones that are in service.
 * @returns Names of the zones, without duplicates.
 */
export function zonesOf(
  targets: readonly RolloutTarget[],
  zonesIn: readonly string[],
): string[] {
  return [...new Set([...zonesIn, ...targets.map(({zone}) => zone)])];
}
