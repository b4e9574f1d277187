import type {Clock} from '../../process/clock.js';
import type {ConfigState} from '../config-state.js';
import {checkReferences} from '../references.js';
import type {Resource} from '../resources/kinds.js';
import type {RolloutStatus} from '../rollout/status.js';
import type {ZoneOffset, ZoneOffsets} from './zone-offsets.js';

/** Condition of a resource. */
export interface Condition {
  readonly type: string;
  readonly status: 'True' | 'False' | 'Unknown';
  /** Machine-readable reason; stable. */
  readonly reason: string;
  /** Human-readable explanation. */
  readonly message: string;
  /** Time since which the condition holds, or else at which it was computed, RFC 3339. */
  readonly time: string;
}

/** Whether the current generation of a resource is in effect in one zone. */
export interface ZoneStatus {
  readonly zone: string;
  readonly inEffect: 'True' | 'False' | 'Unknown';
  /** Configuration offset in effect in the zone; absent if the zone is unreachable. */
  readonly configOffset?: number;
  /** Time since which this holds, RFC 3339; absent if it is beyond the recorded history. */
  readonly since?: string;
}

/** Status of a resource as known to the responding host. */
export interface ResourceStatus {
  readonly observedGeneration: number;
  readonly conditions: readonly Condition[];
  readonly zones: readonly ZoneStatus[];
  /** Progress and evidence of a rollout. */
  readonly rollout?: RolloutStatus;
  /** Host that computed the status. */
  readonly answeredBy: string;
}

/** Source of conditions that depend on more than the configuration. */
export abstract class ConditionSource {
  /**
   * Computes conditions.
   *
   * @param resource - Resource of any kind.
   * @returns Conditions; empty if this source has none for the resource.
   */
  abstract conditions(resource: Resource): readonly Condition[];
}

/** Dependencies of the computation of statuses. */
export interface StatusParts {
  /** Name of this host. */
  readonly host: string;
  readonly clock: Clock;
  readonly config: () => ConfigState;
  readonly zones: ZoneOffsets;
  readonly sources: readonly ConditionSource[];
  /** Computes the progress of a rollout by its name. */
  readonly rollout?: (name: string) => RolloutStatus | undefined;
}

/**
 * Computes the status of a resource.
 *
 * @param parts - Dependencies, shared with the rest of the process.
 * @param resource - Resource in the current configuration.
 * @returns The status as known to this host.
 */
export function computeStatus(
  parts: StatusParts,
  resource: Resource,
): ResourceStatus {
  const zones = parts.zones
    .list()
    .map(zone => toZoneStatus(parts.zones, zone, resource.offset));
  const rollout =
    resource.kind === 'rollout' ? parts.rollout?.(resource.name) : undefined;
  return {
    observedGeneration: resource.generation,
    conditions: [
      inEffectCondition(parts, zones),
      ...referenceConditions(parts, resource),
      ...parts.sources.flatMap(source => source.conditions(resource)),
    ],
    zones,
    ...(rollout && {rollout}),
    answeredBy: parts.host,
  };
}

function toZoneStatus(
  offsets: ZoneOffsets,
  {zone, offset, sinceMs}: ZoneOffset,
  resourceOffset: number,
): ZoneStatus {
  if (offset === undefined) {
    return {zone, inEffect: 'Unknown', since: toTime(sinceMs)};
  }
  if (offset <= resourceOffset) {
    return {zone, inEffect: 'False', configOffset: offset};
  }
  const reachedMs = offsets.inEffectSince(zone, resourceOffset);
  const since = reachedMs === undefined ? undefined : toTime(reachedMs);
  return {zone, inEffect: 'True', configOffset: offset, since};
}

function inEffectCondition(
  {clock}: StatusParts,
  zones: readonly ZoneStatus[],
): Condition {
  const names = (state: ZoneStatus['inEffect']) =>
    zones.filter(zone => zone.inEffect === state).map(zone => zone.zone);
  const now = toTime(clock.wallMs());
  const behind = names('False');
  const unreachable = names('Unknown');
  if (behind.length > 0) {
    return {
      type: 'InEffect',
      status: 'False',
      reason: 'ZonesBehind',
      message: `not yet in effect in zone ${behind.join(', ')}`,
      time: now,
    };
  }
  if (unreachable.length > 0) {
    return {
      type: 'InEffect',
      status: 'Unknown',
      reason: 'ZonesNotHeard',
      message: `no host of zone ${unreachable.join(', ')} is reachable`,
      time: now,
    };
  }
  const since = zones
    .map(zone => zone.since)
    .filter(time => time !== undefined);
  return {
    type: 'InEffect',
    status: 'True',
    reason: 'AllZones',
    message: 'in effect in all zones',
    time: since.sort().at(-1) ?? now,
  };
}

function referenceConditions(
  {clock, config}: StatusParts,
  resource: Resource,
): Condition[] {
  if (resource.kind !== 'target' && resource.kind !== 'rollout') return [];
  const errors = checkReferences(config(), resource.kind, resource.spec);
  return [
    {
      type: 'ReferencesResolved',
      status: errors.length > 0 ? 'False' : 'True',
      reason: errors.length > 0 ? 'Dangling' : 'AllFound',
      message:
        errors.map(({path, reason}) => `${path} ${reason}`).join('; ') ||
        'all referenced resources exist',
      time: toTime(clock.wallMs()),
    },
  ];
}

function toTime(ms: number): string {
  return new Date(ms).toISOString();
}
