import {
  emptyConfig,
  type ConfigState,
  type DeletedResource,
  type RecentWrite,
  type ResourceMaps,
} from '../config-state.js';
import {PersistentMap} from '../persistent-map.js';
import {resourceKinds, type Resource} from '../resources/kinds.js';

/** Name of the log stream that holds snapshots of the configuration. */
export const snapshotStream = 'config-snapshot';

/** Maximum size of the entries of one snapshot record, in bytes; a single entry may be larger. */
const maxPartBytes = 262_144;

/** Maximum number of incomplete snapshots; more than two concurrent writers are not expected. */
const maxIncompleteSnapshots = 4;

/** One entry of a snapshot. */
type SnapshotEntry =
  | {resource: Resource}
  | {write: string; value: RecentWrite}
  | {deleted: string; value: DeletedResource};

/** One record of stream `config-snapshot`. */
export interface SnapshotPart {
  /** Format of the record. */
  readonly format: 1;
  /** Id of the snapshot; the same in all its parts. */
  readonly id: string;
  /** Offset of the first configuration record after the snapshot. */
  readonly offset: number;
  /** Wall time at the writing host, RFC 3339. */
  readonly time: string;
  /** Index of this part, from 0. */
  readonly part: number;
  /** Number of parts of the snapshot. */
  readonly parts: number;
  readonly entries: readonly SnapshotEntry[];
}

/**
 * Encodes a configuration as log records.
 *
 * @param state - Configuration to store.
 * @param id - Id of the snapshot, unique in the fleet.
 * @param time - Wall time at this host, RFC 3339.
 * @returns Parts of the snapshot, to be appended in this order.
 */
export function encodeSnapshot(
  state: ConfigState,
  id: string,
  time: string,
): SnapshotPart[] {
  const groups: SnapshotEntry[][] = [[]];
  let size = 0;
  for (const entry of listEntries(state)) {
    const bytes = Buffer.byteLength(JSON.stringify(entry));
    if (size > 0 && size + bytes > maxPartBytes) {
      groups.push([]);
      size = 0;
    }
    groups[groups.length - 1].push(entry);
    size += bytes;
  }
  return groups.map((entries, part) => ({
    format: 1,
    id,
    offset: state.offset,
    time,
    part,
    parts: groups.length,
    entries,
  }));
}

function* listEntries(state: ConfigState): Generator<SnapshotEntry> {
  for (const kind of Object.values(resourceKinds)) {
    for (const resource of state.resources[kind].values()) yield {resource};
  }
  for (const [write, value] of state.recentWrites) yield {write, value};
  for (const [deleted, value] of state.deleted) yield {deleted, value};
}

/**
 * Decodes a configuration.
 *
 * @param parts - All parts of one snapshot, in any order.
 * @returns The configuration at the snapshot's offset.
 */
export function decodeSnapshot(parts: readonly SnapshotPart[]): ConfigState {
  const resources: Resource[] = [];
  const writes: [string, RecentWrite][] = [];
  const deleted: [string, DeletedResource][] = [];
  for (const entry of parts.flatMap(part => part.entries)) {
    if ('resource' in entry) resources.push(entry.resource);
    else if ('write' in entry) writes.push([entry.write, entry.value]);
    else deleted.push([entry.deleted, entry.value]);
  }
  const maps = Object.values(resourceKinds).map(kind => [
    kind,
    PersistentMap.from(
      resources
        .filter(resource => resource.kind === kind)
        .map(resource => [resource.name, resource] as const),
    ),
  ]);
  return {
    ...emptyConfig,
    offset: parts[0].offset,
    resources: Object.fromEntries(maps) as ResourceMaps,
    recentWrites: PersistentMap.from(writes),
    deleted: PersistentMap.from(deleted),
  };
}

/** Assembles the newest complete snapshot from records that concurrent writers may interleave. */
export class SnapshotAssembler {
  /** Parts of incomplete snapshots by snapshot id. */
  private readonly open = new Map<string, SnapshotPart[]>();
  private newestParts: readonly SnapshotPart[] | undefined;

  /** Parts of the newest complete snapshot, or `undefined`. */
  get newest(): readonly SnapshotPart[] | undefined {
    return this.newestParts;
  }

  /** Adds the data of one record; anything that is not a snapshot part is ignored. */
  add(data: unknown): void {
    const part = data as SnapshotPart | null;
    if (part?.format !== 1 || !Array.isArray(part.entries)) return;
    const parts = this.open.get(part.id) ?? [];
    // A part that was appended twice because the first response was lost counts once.
    if (parts.some(other => other.part === part.part)) return;
    parts.push(part);
    this.open.set(part.id, parts);
    if (this.open.size > maxIncompleteSnapshots) {
      this.open.delete(this.open.keys().next().value as string);
    }
    if (parts.length < part.parts) return;
    this.open.delete(part.id);
    if (!this.newestParts || part.offset >= this.newestParts[0].offset)
      this.newestParts = parts;
  }
}
