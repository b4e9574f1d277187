import xxhash from 'xxhash-wasm';
import {listResources, type ConfigState} from '../../version/config-state.js';
import type {QueuedRequest} from '../../request/scheduler/types.js';
import {rankHosts} from '../ownership.js';

const {h64ToString} = await xxhash();

/** Maximum number of targets in one group. */
export const maxGroupTargets = 32;

/** Components of a group's name. */
export interface GroupName {
  readonly zone: string;
  readonly service: string;
  readonly shard: number;
}

/**
 * Formats the name of a group.
 *
 * @param parts - Zone, service and shard.
 * @returns `ZONE/SERVICE/SHARD`.
 */
export function formatGroup({zone, service, shard}: GroupName): string {
  return `${zone}/${service}/${shard}`;
}

/**
 * Parses the name of a group.
 *
 * @param name - `ZONE/SERVICE/SHARD`.
 * @returns Its components, or `undefined` if the name has another format.
 */
export function parseGroup(name: string): GroupName | undefined {
  const match = /^([^/]+)\/([^/]+)\/(0|[1-9]\d{0,3})$/.exec(name);
  if (!match) return undefined;
  return {zone: match[1], service: match[2], shard: Number(match[3])};
}

/**
 * Assigns targets to shards by rendezvous hashing, so that a change in the number of shards moves
 * few targets. Uses the smallest number of shards that puts at most {@link maxGroupTargets} targets
 * into each.
 *
 * @param targets - Names of the targets of one service in one zone.
 * @returns Names of the targets by shard number; a shard may be empty.
 */
export function placeTargets(targets: readonly string[]): string[][] {
  let count = Math.max(1, Math.ceil(targets.length / maxGroupTargets));
  for (;;) {
    const shards = placeIntoShards(targets, count);
    if (shards.every(shard => shard.length <= maxGroupTargets)) return shards;
    count++;
  }
}

function placeIntoShards(
  targets: readonly string[],
  count: number,
): string[][] {
  const shards: string[][] = Array.from({length: count}, () => []);
  const names = shards.map((_, shard) => String(shard));
  for (const target of targets) {
    shards[Number(rankHosts(target, names)[0])].push(target);
  }
  return shards;
}

/** Names of the targets by group name. */
export type GroupMap = ReadonlyMap<string, readonly string[]>;

const groupCache = new WeakMap<ConfigState, GroupMap>();

/**
 * Lists all groups of a configuration. The result is cached per configuration, because several
 * components need it after each change.
 *
 * @param state - Configuration to read.
 * @returns Names of the targets by group name.
 */
export function listGroups(state: ConfigState): GroupMap {
  const known = groupCache.get(state);
  if (known) return known;
  const placed = new Map<string, string[]>();
  for (const {name, spec} of listResources(state, 'target')) {
    const key = `${spec.zone}/${spec.service}`;
    const names = placed.get(key);
    if (names) names.push(name);
    else placed.set(key, [name]);
  }
  const groups = new Map<string, readonly string[]>();
  for (const [key, names] of placed) {
    placeTargets(names).forEach((shard, index) => {
      groups.set(`${key}/${index}`, shard);
    });
  }
  groupCache.set(state, groups);
  return groups;
}

/**
 * Picks the shard for a request: the first of the two shards that rank best for its longest prefix,
 * unless the second has at least twice as many free slots (power of two choices).
 *
 * @param req - Request; one without prefixes is ranked by its id.
 * @param groups - Names of the service's groups in one zone.
 * @param freeSlots - Returns the last known number of free slots of a group, or `undefined`.
 * @returns Name of the group, or `undefined` if `groups` is empty.
 */
export function pickGroup(
  req: QueuedRequest,
  groups: readonly string[],
  freeSlots: (group: string) => number | undefined,
): string | undefined {
  if (groups.length < 2) return groups[0];
  const affinity = req.prefixes.at(-1) ?? h64ToString(req.id);
  const [first, second] = rankHosts(affinity, groups);
  const firstFree = freeSlots(first);
  const secondFree = freeSlots(second);
  if (firstFree === undefined || secondFree === undefined) return first;
  return secondFree > 0 && secondFree >= 2 * firstFree ? second : first;
}
