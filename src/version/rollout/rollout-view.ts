import type {Verdict} from '../evidence/version-evaluator.js';
import type {RolloutSpec} from '../resources/kinds.js';
import type {RolloutEntry, RolloutState} from './rollout-state.js';

/** A target as the planner sees it. */
export interface RolloutTarget {
  readonly name: string;
  readonly zone: string;
  /** Targets of a zone that is out count as neither done nor blocking. */
  readonly zoneIn: boolean;
  /** Version that it runs now. */
  readonly version: string;
  /** Version that it is loading, if any. */
  readonly loading?: string;
  /** Whether it can take requests. */
  readonly ready: boolean;
  /** Requests in flight that it can handle. */
  readonly capacity: number;
}

/** Times that a plan is based on. */
export interface RolloutEstimates {
  /** Time in which one engine loads a version, in milliseconds; includes the weight store. */
  readonly loadMs: number;
  /** Loads that the weight store serves at the same time. */
  readonly parallelLoads: number;
  /** Time in which requests in flight end, in milliseconds. */
  readonly drainMs: number;
}

/** A declared rollout. */
export interface DeclaredRollout {
  readonly name: string;
  readonly spec: RolloutSpec;
  /** Log offset of its configuration; an earlier one goes first. */
  readonly offset: number;
}

/** Everything that a decision depends on. */
export interface RolloutView {
  readonly declared: DeclaredRollout;
  readonly state: RolloutState;
  /** Version of the service in the configuration. */
  readonly serviceVersion: string;
  readonly targets: readonly RolloutTarget[];
  readonly verdict: Verdict;
  /** Requests in flight on the new version, all hosts together. */
  readonly newInFlight: number;
  /** Part of the capacity in use, 0 to 1. */
  readonly utilisation: number;
  readonly estimates: RolloutEstimates;
  readonly wallMs: number;
}

/**
 * Finds the folded state of the declared rollout.
 *
 * @param view - View.
 * @returns The entry; absent if it has none yet, or one of an earlier version that has ended.
 */
export function entryOf(view: RolloutView): RolloutEntry | undefined {
  const entry = view.state.entries.get(view.declared.name);
  if (!entry || entry.spec.version === view.declared.spec.version) return entry;
  const ended = ['done', 'taken-back', 'refused', 'superseded'];
  return ended.includes(entry.phase) ? undefined : entry;
}

/**
 * Computes which part of the ready capacity runs the new version. Targets that load do not count,
 * because neither version can be served by them.
 *
 * @param targets - Targets of the service.
 * @param entry - Rollout.
 * @returns 0 to 1.
 */
export function readyPart(
  targets: readonly RolloutTarget[],
  entry: RolloutEntry,
): number {
  let fresh = 0;
  let old = 0;
  for (const target of targets) {
    if (!target.zoneIn || !target.ready || target.loading) continue;
    if (target.version === entry.spec.version) fresh += target.capacity;
    else old += target.capacity;
  }
  const inPlace = entry.spec.strategy === 'in-place';
  const all = inPlace ? fresh + old : Math.max(fresh, old);
  return all > 0 ? fresh / all : 0;
}

/**
 * Divides a share of all requests between the zones that can serve the new version: zones without
 * ready targets get nothing, the others more, at most the part of their capacity that is ready.
 * The capacity of a zone stands for its part of the requests.
 *
 * @param targets - Targets of the service.
 * @param entry - Rollout.
 * @param share - Wanted share of all requests, 0 to 1.
 * @returns Share of the new version in each zone that is in.
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
  const parts = [...zones].map(([zone, list]) => ({
    zone,
    weight: list.reduce((sum, {capacity}) => sum + capacity, 0),
    ready: readyPart(list, entry),
  }));
  const total = parts.reduce((sum, {weight}) => sum + weight, 0);
  let left = share * total;
  let weights = total;
  const shares = new Map<string, number>();
  // In ascending order each zone takes its ready part or an equal share of what is left.
  for (const {zone, weight, ready} of parts.sort((a, b) => a.ready - b.ready)) {
    const taken = Math.min(ready, weights > 0 ? left / weights : 0);
    shares.set(zone, taken);
    left -= taken * weight;
    weights -= weight;
  }
  return shares;
}

/**
 * Lists all zones of a service, so that the caps of a zone that comes back are there before it is.
 *
 * @param targets - Targets of the service, of zones that are out as well.
 * @param zonesIn - Zones that are in.
 */
export function zonesOf(
  targets: readonly RolloutTarget[],
  zonesIn: readonly string[],
): string[] {
  return [...new Set([...zonesIn, ...targets.map(({zone}) => zone)])];
}
