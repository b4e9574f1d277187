import type {VersionCap} from '../../request/scheduler/types.js';
import {
  activeRollout,
  allowedShare,
  type RolloutState,
} from './rollout-state.js';
import {readyPart, type RolloutTarget} from './rollout-view.js';

/** Caps of one service. */
export interface ServiceCaps {
  readonly service: string;
  /** Caps for the owners of each zone. */
  readonly zones: ReadonlyMap<string, readonly VersionCap[]>;
}

/** What the caps depend on. */
export interface CapInput {
  readonly state: RolloutState;
  readonly service: string;
  readonly targets: readonly RolloutTarget[];
  /** Zones that are in. */
  readonly zones: readonly string[];
  /** Version that this host has stopped by itself. */
  readonly stopped: ReadonlySet<string>;
  readonly wallMs: number;
}

/** No bound on the requests in flight. */
const unbounded = Number.MAX_SAFE_INTEGER;

/**
 * Computes the caps of a service's versions for each zone. The bound on requests in flight of a
 * canary is divided between the zones, so that it holds over all hosts together.
 *
 * @param input - What the caps depend on.
 * @returns The caps; empty lists if the service never had a rollout.
 */
export function versionCaps(input: CapInput): ServiceCaps {
  const {state, service, zones} = input;
  const shares = new Map<string, number>();
  let inFlight = unbounded;
  let canaryVersion: string | undefined;
  for (const entry of state.entries.values()) {
    if (entry.spec.service !== service) continue;
    shares.set(entry.spec.version, 0);
    if (entry.oldVersion) shares.set(entry.oldVersion, 0);
  }
  const inEffect = state.inEffect.get(service);
  if (inEffect !== undefined) shares.set(inEffect, 1);
  const entry = activeRollout(state, service);
  if (entry) {
    const {version} = entry.spec;
    const share = shareNow(input);
    shares.set(version, share);
    shares.set(entry.oldVersion, share >= 1 ? 0 : 1);
    if (entry.phase === 'progressing' && entry.step <= 0) {
      canaryVersion = version;
      inFlight = entry.spec.canaryInFlight;
    }
  }
  for (const banned of state.banned) {
    const [name, version] = splitBanned(banned);
    if (name === service) shares.set(version, 0);
  }
  const sorted = [...zones].sort();
  return {
    service,
    zones: new Map(
      sorted.map((zone, i) => [
        zone,
        [...shares].map(([version, share]) => ({
          version,
          share,
          inFlight:
            share === 0
              ? 0
              : version === canaryVersion
                ? part(inFlight, i, sorted.length)
                : unbounded,
        })),
      ]),
    ),
  };
}

function shareNow({
  state,
  service,
  targets,
  stopped,
  wallMs,
}: CapInput): number {
  const entry = activeRollout(state, service);
  if (!entry || stopped.has(entry.spec.version)) return 0;
  const share = allowedShare(entry);
  // Without a durable completion the deadline takes the share back, even while the log is down.
  if (entry.phase === 'progressing') {
    if (wallMs >= Date.parse(entry.spec.deadline)) return 0;
    return Math.min(share, readyPart(targets, entry));
  }
  return share;
}

function splitBanned(text: string): [string, string] {
  const at = text.indexOf('/');
  return [text.slice(0, at), text.slice(at + 1)];
}

/** Part of a whole number that falls to one of several zones. */
function part(total: number, index: number, count: number): number {
  return Math.floor(total / count) + (index < total % count ? 1 : 0);
}
