import {getResource, listResources, type ConfigState} from './config-state.js';
import type {FieldError} from './resources/check-spec.js';
import type {ResourceKind, RolloutSpec, TargetSpec} from './resources/kinds.js';

/**
 * Finds references of a valid spec to resources that do not exist.
 *
 * @param state - Configuration in which the resources are looked up.
 * @param kind - Kind of the spec.
 * @param spec - Valid spec.
 * @returns One error for each dangling reference.
 */
export function checkReferences(
  state: ConfigState,
  kind: ResourceKind,
  spec: unknown,
): FieldError[] {
  const errors: FieldError[] = [];
  const require = (field: 'service' | 'zone', name: string) => {
    if (getResource(state, field, name)) return;
    const reason = `names ${field} "${name}", which does not exist`;
    errors.push({path: `/spec/${field}`, reason});
  };
  if (kind === 'target') {
    require('service', (spec as TargetSpec).service);
    require('zone', (spec as TargetSpec).zone);
  } else if (kind === 'rollout') {
    require('service', (spec as RolloutSpec).service);
  }
  return errors;
}

/**
 * Finds resources that refer to one that is about to be deleted.
 *
 * @param state - Current configuration.
 * @param kind - Kind of the resource to delete.
 * @param name - Name of the resource to delete.
 * @returns One warning for each kind of resource that refers to it.
 */
export function findReferrers(
  state: ConfigState,
  kind: ResourceKind,
  name: string,
): string[] {
  if (kind !== 'service' && kind !== 'zone') return [];
  const targets = listResources(state, 'target').filter(
    ({spec}) => spec[kind] === name,
  );
  const rollouts = listResources(state, 'rollout').filter(
    ({spec}) => kind === 'service' && spec.service === name,
  );
  return [...describe('target', targets), ...describe('rollout', rollouts)];
}

function describe(kind: string, found: readonly {name: string}[]): string[] {
  if (found.length === 0) return [];
  const names = found.slice(0, 3).map(({name}) => name);
  const more = found.length > 3 ? ` and ${found.length - 3} more` : '';
  return [`still referenced by ${kind} ${names.join(', ')}${more}`];
}
