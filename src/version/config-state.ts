import type {Resource, ResourceKind, ResourceSpecs} from './resources/kinds.js';

/** An operator's write as it stands in the log. */
export interface ConfigRecord {
  /** Unique id of the write; an append with a lost answer is found by it. */
  readonly writeId: string;
  /** Operator who wrote it. */
  readonly actor: string;
  /** Time at the writing host, RFC 3339. */
  readonly time: string;
  readonly op: 'put' | 'delete';
  readonly kind: ResourceKind;
  readonly name: string;
  /** Generation that the write was made against; 0 to create, -1 to accept any. */
  readonly baseGeneration: number;
  /** New spec; absent for `delete`. */
  readonly spec?: ResourceSpecs[ResourceKind];
}

/** What became of a record. */
export type FoldOutcome =
  | {kind: 'accepted'; generation: number}
  | {kind: 'conflict'; expected: number; actual: number}
  | {kind: 'duplicate'};

/** Number of write ids that are remembered to recognise duplicates. */
export const rememberedWriteIds = 4096;

/** The configuration after all records below `offset`. */
export interface ConfigState {
  /** Offset of the next record to fold. */
  readonly offset: number;
  /** Resources by `KIND/NAME`. */
  readonly resources: ReadonlyMap<string, Resource>;
  /** Outcomes of the most recent writes, by write id, oldest first. */
  readonly recentWrites: ReadonlyMap<string, FoldOutcome>;
}

/** The configuration before any record. */
export const emptyConfig: ConfigState = {
  offset: 0,
  resources: new Map(),
  recentWrites: new Map(),
};

/**
 * Key of a resource in {@link ConfigState.resources}.
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
 * the winner of a race.
 *
 * @param state - Configuration before the record.
 * @param record - Record to apply.
 * @param offset - Offset of the record in the log.
 * @returns The configuration after the record, and what became of the record.
 */
export function foldRecord(
  state: ConfigState,
  record: ConfigRecord,
  offset: number,
): {state: ConfigState; outcome: FoldOutcome} {
  if (state.recentWrites.has(record.writeId)) {
    return {
      state: {...state, offset: offset + 1},
      outcome: {kind: 'duplicate'},
    };
  }
  const key = resourceKey(record.kind, record.name);
  const actual = state.resources.get(key)?.generation ?? 0;
  const outcome = decideOutcome(record, actual);
  const resources =
    outcome.kind === 'accepted'
      ? applyRecord(state.resources, record, outcome.generation, offset)
      : state.resources;
  return {
    state: {
      offset: offset + 1,
      resources,
      recentWrites: rememberWrite(state.recentWrites, record.writeId, outcome),
    },
    outcome,
  };
}

function decideOutcome(record: ConfigRecord, actual: number): FoldOutcome {
  const expected = record.baseGeneration;
  if (expected >= 0 && expected !== actual) {
    return {kind: 'conflict', expected, actual};
  }
  return {kind: 'accepted', generation: actual + 1};
}

function applyRecord(
  resources: ReadonlyMap<string, Resource>,
  record: ConfigRecord,
  generation: number,
  offset: number,
): ReadonlyMap<string, Resource> {
  const next = new Map(resources);
  const key = resourceKey(record.kind, record.name);
  if (record.op === 'delete' || record.spec === undefined) {
    next.delete(key);
  } else {
    next.set(key, {
      kind: record.kind,
      name: record.name,
      generation,
      spec: record.spec,
      writtenBy: record.actor,
      writtenAt: record.time,
      offset,
    });
  }
  return next;
}

function rememberWrite(
  writes: ReadonlyMap<string, FoldOutcome>,
  writeId: string,
  outcome: FoldOutcome,
): ReadonlyMap<string, FoldOutcome> {
  const next = new Map(writes);
  next.set(writeId, outcome);
  if (next.size > rememberedWriteIds) {
    const oldest = next.keys().next().value as string;
    next.delete(oldest);
  }
  return next;
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
  return state.resources.get(resourceKey(kind, name)) as
    Resource<K> | undefined;
}

/**
 * Lists the resources of one kind.
 *
 * @param state - Configuration to read.
 * @param kind - Kind to list.
 * @returns Resources in the order of their creation.
 */
export function listResources<K extends ResourceKind>(
  state: ConfigState,
  kind: K,
): Resource<K>[] {
  const found: Resource<K>[] = [];
  for (const resource of state.resources.values()) {
    if (resource.kind === kind) found.push(resource as Resource<K>);
  }
  return found;
}
