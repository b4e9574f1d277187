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

/** Greatest size of one snapshot record, in bytes, apart from its last entry. */
const partBytes = 262_144;

/** Incomplete snapshots that are kept; more than two writers at once are not expected. */
const maxOpen = 4;

/** One entry of a snapshot. */
type SnapshotEntry =
  | {resource: Resource}
  | {write: string; value: RecentWrite}
  | {deleted: string; value: DeletedResource};

/** One record of stream `config-snapshot`. */
export interface SnapshotPart {
  /** Format of the record. */
  readonly format: 1;
  /** Same in all parts of one snapshot. */
  readonly id: string;
  /** Offset of the first configuration record that is not contained. */
  readonly offset: number;
  /** Time at the writing host, RFC 3339. */
  readonly time: string;
  readonly part: number;
  readonly parts: number;
  readonly entries: readonly SnapshotEntry[];
}

/**
 * Converts a configuration into log records.
 *
 * @param state - Configuration to store.
 * @param id - Id of the snapshot, unique in the fleet.
 * @param time - Time at this host, RFC 3339.
 * @returns The records, to be appended in order.
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
    if (size > 0 && size + bytes > partBytes) {
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
 * Restores a configuration.
 *
 * @param parts - All parts of one snapshot.
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

/** Finds the newest complete snapshot among records that two writers may have interleaved. */
export class SnapshotAssembler {
  private readonly open = new Map<string, SnapshotPart[]>();
  private best: readonly SnapshotPart[] | undefined;

  /** Parts of the newest complete snapshot, or `undefined`. */
  get newest(): readonly SnapshotPart[] | undefined {
    return this.best;
  }

  /** Takes the content of one record; anything that is not a snapshot part is ignored. */
  add(data: unknown): void {
    const part = data as SnapshotPart | null;
    if (part?.format !== 1 || !Array.isArray(part.entries)) return;
    const parts = this.open.get(part.id) ?? [];
    // A part that was appended twice because its answer was lost counts once.
    if (parts.some(other => other.part === part.part)) return;
    parts.push(part);
    this.open.set(part.id, parts);
    if (this.open.size > maxOpen) {
      this.open.delete(this.open.keys().next().value as string);
    }
    if (parts.length < part.parts) return;
    this.open.delete(part.id);
    if (!this.best || part.offset >= this.best[0].offset) this.best = parts;
  }
}
