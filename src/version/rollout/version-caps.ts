import type {VersionCap} from '../../request/scheduler/types.js';
import {
  activeRollout,
  allowedShare,
  isCanary,
  type RolloutEntry,
  type RolloutState,
} from './rollout-state.js';
import {zoneShares, type RolloutTarget} from './rollout-view.js';

/** Limits on the versions of one service. */
export interface ServiceCaps {
  readonly service: string;
  /** Caps by zone of the host that applies them. */
  readonly zones: ReadonlyMap<string, readonly VersionCap[]>;
}

/** Input of {@link versionCaps}. */
export interface CapInput {
  readonly state: RolloutState;
  readonly service: string;
  readonly targets: readonly RolloutTarget[];
  /** Zones of the service. */
  readonly zones: readonly string[];
  /** Versions that this host has stopped on its own evidence. */
  readonly stopped: ReadonlySet<string>;
  /** Whether this host was paused and may have missed a stop; growing versions then get no share. */
  readonly outdated?: boolean;
  readonly wallMs: number;
}

/** Value of `inFlight` that means no limit. */
const unbounded = Number.MAX_SAFE_INTEGER;

/**
 * Computes the caps of a service's versions for each zone. The limit on the requests in flight of a
 * canary is divided between the zones, so that it holds for the sum over all hosts.
 *
 * @param input - State of the rollouts, targets and zones.
 * @returns The caps; empty lists if the service never had a rollout.
 */
export function versionCaps(input: CapInput): ServiceCaps {
  const {state, service, zones} = input;
  const base = baseShares(state, service);
  const entry = activeRollout(state, service);
  const shares = entry
    ? newVersionShares(entry, input)
    : new Map<string, number>();
  const canary = entry !== undefined && isCanary(entry);
  const servingZones = [...zones]
    .sort()
    .filter(zone => (shares.get(zone) ?? 0) > 0);
  const caps = new Map<string, VersionCap[]>();
  for (const zone of zones) {
    const zoneCaps = new Map(base);
    const share = shares.get(zone) ?? 0;
    if (entry) {
      zoneCaps.set(entry.spec.version, share);
      zoneCaps.set(entry.oldVersion, share >= 1 ? 0 : 1);
    }
    const list = [...zoneCaps].map(([version, cap]) => {
      if (cap === 0 || state.banned.has(`${service}/${version}`))
        return {version, share: 0, inFlight: 0};
      const isBounded = canary && version === entry?.spec.version;
      const inFlight = isBounded
        ? zoneQuota(
            entry.spec.canaryInFlight,
            servingZones.indexOf(zone),
            servingZones.length,
          )
        : unbounded;
      return {version, share: cap, inFlight};
    });
    caps.set(zone, list);
  }
  return {service, zones: caps};
}

/** Computes the share of each version before the rollout in progress is considered. */
function baseShares(state: RolloutState, service: string): Map<string, number> {
  const shares = new Map<string, number>();
  for (const {spec, oldVersion} of state.entries.values()) {
    if (spec.service !== service || !oldVersion) continue;
    shares.set(spec.version, 0);
    shares.set(oldVersion, 0);
  }
  for (const banned of state.banned) {
    const at = banned.indexOf('/');
    if (banned.slice(0, at) === service) shares.set(banned.slice(at + 1), 0);
  }
  const inEffect = state.inEffect.get(service);
  if (inEffect !== undefined) shares.set(inEffect, 1);
  return shares;
}

/** Computes the share of the new version in each zone. */
function newVersionShares(
  entry: RolloutEntry,
  {targets, stopped, outdated, zones, wallMs}: CapInput,
): Map<string, number> {
  if (stopped.has(entry.spec.version)) return new Map();
  const share = allowedShare(entry);
  if (entry.phase !== 'progressing')
    return new Map(zones.map(zone => [zone, share]));
  // Unless completion was recorded, the share drops to 0 at the deadline, even if the log is down.
  if (outdated || wallMs >= Date.parse(entry.spec.deadline)) return new Map();
  return zoneShares(targets, entry, share);
}

/** Divides a whole number between `count` zones and returns the quota of one of them. */
function zoneQuota(total: number, index: number, count: number): number {
  return Math.floor(total / count) + (index < total % count ? 1 : 0);
}
