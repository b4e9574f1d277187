import type {TargetView} from '../../request/scheduler/types.js';
import {getResource, type ConfigState} from '../../version/config-state.js';
import {listGroups} from './group-names.js';

/**
 * Converts a declared target to the view that the scheduler uses. A target is usable if it is not
 * leaving, its zone is not out, and it runs the service's version or one that a rollout allows.
 *
 * @param state - Configuration to read.
 * @param name - Name of the target.
 * @param allowed - Versions that may get requests in addition to the service's version.
 * @returns The view, or `undefined` if the target is not declared.
 */
export function toTargetView(
  state: ConfigState,
  name: string,
  allowed: ReadonlySet<string>,
): TargetView | undefined {
  const spec = getResource(state, 'target', name)?.spec;
  if (!spec) return undefined;
  const service = getResource(state, 'service', spec.service)?.spec;
  const zone = getResource(state, 'zone', spec.zone)?.spec;
  return {
    name,
    service: spec.service,
    zone: spec.zone,
    address: spec.address,
    version: spec.version,
    hardware: spec.hardware ?? '',
    maxConcurrency: spec.maxConcurrency,
    coldConcurrency: spec.coldConcurrency ?? 1,
    usable:
      service !== undefined &&
      spec.state !== 'leaving' &&
      zone?.state !== 'out' &&
      (spec.version === service.version || allowed.has(spec.version)),
  };
}

/**
 * Lists the targets of a group.
 *
 * @param state - Configuration to read.
 * @param group - Name of the group.
 * @param allowed - Versions that may get requests in addition to the service's version.
 * @returns Views of the declared targets.
 */
export function viewGroup(
  state: ConfigState,
  group: string,
  allowed: ReadonlySet<string>,
): TargetView[] {
  return (listGroups(state).get(group) ?? [])
    .map(name => toTargetView(state, name, allowed))
    .filter(view => view !== undefined);
}
