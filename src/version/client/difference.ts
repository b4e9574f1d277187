import {isDeepStrictEqual} from 'node:util';
import {isObject} from '../merge-patch.js';
import {
  resourceKinds,
  type Resource,
  type ResourceKind,
} from '../resources/kinds.js';
import type {DeclaredResource} from './resource-files.js';

/** Order in which kinds are written, so that referenced resources exist first. */
export const applyOrder: readonly ResourceKind[] = [
  resourceKinds.zone,
  resourceKinds.organisation,
  resourceKinds.service,
  resourceKinds.target,
  resourceKinds.rollout,
];

/** A changed field. */
export interface FieldChange {
  /** JSON pointer within the resource. */
  readonly path: string;
  readonly from?: unknown;
  readonly to?: unknown;
}

/** Write or delete that makes one resource match its declaration. */
export interface PlannedChange {
  readonly change: 'create' | 'update' | 'delete';
  readonly kind: ResourceKind;
  readonly name: string;
  /** Generation at the host; 0 if the resource does not exist. */
  readonly base: number;
  /** Declared spec; absent for `delete`. */
  readonly spec?: unknown;
  readonly fields: readonly FieldChange[];
}

/**
 * Compares declared resources with those of the fleet.
 *
 * @param declared - Resources declared by the files.
 * @param current - Resources of the fleet, of all kinds.
 * @param prune - Whether undeclared resources are deleted; only kinds that the files declare are
 *   considered.
 * @returns Changes in the order in which they are applied; empty if there is no difference.
 */
export function planChanges(
  declared: readonly DeclaredResource[],
  current: readonly Resource[],
  prune: boolean,
): PlannedChange[] {
  const found = new Map(
    current.map(item => [`${item.kind}/${item.name}`, item]),
  );
  const declaredKeys = new Set(
    declared.map(({kind, name}) => `${kind}/${name}`),
  );
  const kinds = new Set(declared.map(({kind}) => kind));
  const writes = applyOrder.flatMap(kind =>
    declared
      .filter(item => item.kind === kind)
      .flatMap(item => planWrite(item, found.get(`${kind}/${item.name}`))),
  );
  if (!prune) return writes;
  const deletes = [...applyOrder].reverse().flatMap(kind =>
    current
      .filter(item => item.kind === kind && kinds.has(kind))
      .filter(item => !declaredKeys.has(`${kind}/${item.name}`))
      .map(({name, generation, spec}): PlannedChange => ({
        change: 'delete',
        kind,
        name,
        base: generation,
        fields: [{path: '/spec', from: spec}],
      })),
  );
  return [...writes, ...deletes];
}

function planWrite(
  {kind, name, spec}: DeclaredResource,
  existing: Resource | undefined,
): PlannedChange[] {
  if (existing && isDeepStrictEqual(existing.spec, spec)) return [];
  return [
    {
      change: existing ? 'update' : 'create',
      kind,
      name,
      base: existing?.generation ?? 0,
      spec,
      fields: compareValues('/spec', existing?.spec, spec),
    },
  ];
}

function compareValues(
  path: string,
  from: unknown,
  to: unknown,
): FieldChange[] {
  if (isDeepStrictEqual(from, to)) return [];
  if (!isObject(from) || !isObject(to)) return [{path, from, to}];
  const keys = [...new Set([...Object.keys(from), ...Object.keys(to)])].sort();
  return keys.flatMap(key =>
    compareValues(`${path}/${key}`, from[key], to[key]),
  );
}
