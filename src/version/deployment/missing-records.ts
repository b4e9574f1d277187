import type {FeedRecord} from '../../connection/store/shared-store.js';
import type {DeploymentState} from './deployment-state.js';
import type {Change} from './types.js';

/**
 * Lists the removals that a complete list of records implies, because it does not contain what is known.
 *
 * @param state - What is known.
 * @param kind - Log of the records.
 * @param records - Newest record of each key.
 */
export function removalsOfMissing(
  state: Pick<DeploymentState, 'evacuatedZones' | 'orders' | 'targets'>,
  kind: 'orders' | 'targets' | 'statuses' | 'hosts',
  records: readonly FeedRecord[],
): Change[] {
  const changes = records.map(({change}) => change);
  switch (kind) {
    case 'orders':
      return [
        ...[...state.evacuatedZones]
          .filter(
            zone =>
              !changes.some(c => c.kind === 'evacuation' && c.zone === zone),
          )
          .map(zone => ({kind: 'evacuation', zone, active: false}) as const),
        ...[...state.orders.keys()]
          .filter(
            service =>
              !changes.some(
                c => c.kind === 'rollout-order' && c.service === service,
              ),
          )
          .map(service => ({kind: 'rollout-order', service}) as const),
      ];
    case 'targets': {
      const ids = new Set(
        changes.flatMap(c => (c.kind === 'target' ? c.id : [])),
      );
      return [...state.targets.keys()]
        .filter(id => !ids.has(id))
        .map(id => ({kind: 'target', id}) as const);
    }
    case 'statuses':
    case 'hosts':
      return [];
  }
}
