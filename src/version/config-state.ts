import {PersistentMap} from './persistent-map.js';
import {checkRecord, type FieldError} from './resources/check-spec.js';
import {
  resourceKinds,
  type Resource,
  type ResourceKind,
  type ResourceSpecs,
} from './resources/kinds.js';

/** Record of an operator's write in the log. */
export interface ConfigRecord {
  /** Unique id of the write, by which an append with a lost response is found. */
  readonly writeId: string;
  /** Operator who wrote it. */
  readonly actor: string;
  /** Time at the writing host, RFC 3339. */
  readonly time: string;
  readonly op: 'put' | 'delete';
  readonly kind: ResourceKind;
  readonly name: string;
  /** Generation on which the write is based; 0 to create, -1 to accept any. */
  readonly baseGeneration: number;
  /** New spec; absent for `delete`. */
  readonly spec?: ResourceSpecs[ResourceKind];
}

/** Outcome of folding a record. */
export type FoldOutcome =
  | {kind: 'accepted'; generation: number}
  | {kind: 'conflict'; expected: number; actual: number}
  | {kind: 'invalid'; errors: readonly FieldError[]}
  | {kind: 'duplicate'};

/** Outcome of a write, and the offset of its record. */
export interface RecentWrite {
  readonly offset: number;
  readonly outcome: FoldOutcome;
}

/** Last generation of a deleted resource. */
export interface DeletedResource {
  readonly offset: number;
  readonly generation: number;
}

/** Number of records for which write ids and deleted generations are retained. */
export const rememberedRecords = 4096;

/** Resources of all kinds, by kind and name. */
export type ResourceMaps = {
  readonly [K in ResourceKind]: PersistentMap<Resource<K>>;
};

/** The configuration after all records below `offset`. */
export interface ConfigState {
  /** Offset of the next record to fold. */
  readonly offset: number;
  readonly resources: ResourceMaps;
  /** Outcomes of the writes in the last {@link rememberedRecords} records, by write id. */
  readonly recentWrites: PersistentMap<RecentWrite>;
  /**
   * Generations of recently deleted resources by {@link resourceKey}. A resource that is created
   * again continues from there; otherwise a write based on the deleted one could be accepted.
   */
  readonly deleted: PersistentMap<DeletedResource>;
}

/** The configuration before any record. */
export const emptyConfig: ConfigState = {
  offset: 0,
  resources: Object.fromEntries(
    Object.values(resourceKinds).map(kind => [kind, PersistentMap.from()]),
  ) as unknown as ResourceMaps,
  recentWrites: PersistentMap.from(),
  deleted: PersistentMap.from(),
};

/**
 * Formats the key of a resource, unique across kinds.
 *
 * @param kind - Kind of the resource.
 * @param name - Name of the resource.
 * @returns `KIND/NAME`.
 */
export function resourceKey(kind: ResourceKind, name: string): string {
  return `${kind}/${name}`;
}

/**
 * Applies one record. Every host folds the same records in the same order, so that all agree on
 * the winner of a race. Any JSON value is folded; an invalid record changes no resource.
 *
 * @param state - Configuration before the record.
 * @param record - Record to apply.
 * @param offset - Offset of the record in the log.
 * @returns The configuration after the record, and the outcome of the record.
 */
export function foldRecord(
  state: ConfigState,
  record: ConfigRecord,
  offset: number,
): {state: ConfigState; outcome: FoldOutcome} {
  const next = {...state, offset: offset + 1};
  const errors = checkRecord(record);
  const writeId = (record as Partial<ConfigRecord> | null)?.writeId;
  if (typeof writeId !== 'string') {
    return {state: next, outcome: {kind: 'invalid', errors}};
  }
  const keep = (entry: {offset: number}) =>
    offset - entry.offset < rememberedRecords;
  const earlier = state.recentWrites.get(writeId);
  if (earlier && keep(earlier)) {
    return {state: next, outcome: {kind: 'duplicate'}};
  }
  const outcome: FoldOutcome =
    errors.length > 0
      ? {kind: 'invalid', errors}
      : decideOutcome(state, record, keep);
  const recentWrites = state.recentWrites.withPruned(
    writeId,
    {offset, outcome},
    keep,
  );
  if (outcome.kind !== 'accepted') {
    return {state: {...next, recentWrites}, outcome};
  }
  const {generation} = outcome;
  const key = resourceKey(record.kind, record.name);
  if (record.op === 'delete') {
    const map = state.resources[record.kind].without(record.name);
    const resources = {...state.resources, [record.kind]: map};
    const deleted = state.deleted.withPruned(key, {offset, generation}, keep);
    return {state: {...next, resources, recentWrites, deleted}, outcome};
  }
  const resource = {
    kind: record.kind,
    name: record.name,
    generation,
    spec: record.spec as ResourceSpecs[ResourceKind],
    writtenBy: record.actor,
    writtenAt: record.time,
    offset,
  };
  const maps = state.resources[record.kind] as PersistentMap<Resource>;
  const resources = {
    ...state.resources,
    [record.kind]: maps.with(record.name, resource),
  };
  return {state: {...next, resources, recentWrites}, outcome};
}

function decideOutcome(
  state: ConfigState,
  record: ConfigRecord,
  keep: (entry: DeletedResource) => boolean,
): FoldOutcome {
  const actual = getResource(state, record.kind, record.name)?.generation ?? 0;
  const expected = record.baseGeneration;
  if (expected >= 0 && expected !== actual) {
    return {kind: 'conflict', expected, actual};
  }
  const gone = state.deleted.get(resourceKey(record.kind, record.name));
  const previous = actual || (gone && keep(gone) ? gone.generation : 0);
  return {kind: 'accepted', generation: previous + 1};
}

/**
 * Reads one resource.
 *
 * @param state - Configuration to read.
 * @param kind - Kind of the resource.
 * @param name - Name of the resource.
 * @returns The resource, or `undefined` if it does not exist.
 */
export function getResource<K extends ResourceKind>(
  state: ConfigState,
  kind: K,
  name: string,
): Resource<K> | undefined {
  return (state.resources[kind] as PersistentMap<Resource<K>>).get(name);
}

const lists = new WeakMap<object, readonly Resource[]>();

/**
 * Lists the resources of one kind. The list is computed once for each state of the kind.
 *
 * @param state - Configuration to read.
 * @param kind - Kind to list.
 * @returns Resources ordered by name.
 */
export function listResources<K extends ResourceKind>(
  state: ConfigState,
  kind: K,
): readonly Resource<K>[] {
  const map = state.resources[kind];
  let list = lists.get(map);
  if (!list) {
    list = [...map.values()].sort((a, b) => (a.name < b.name ? -1 : 1));
    lists.set(map, list);
  }
  return list as readonly Resource<K>[];
}
