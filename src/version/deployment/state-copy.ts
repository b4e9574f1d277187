import type {FeedRecord} from '../../connection/store/shared-store.js';
import {isTargetAddress, isTargetId} from './addresses.js';
import type {DeploymentState} from './deployment-state.js';
import {statedColdMs, type FeedUpdate} from './feed-update.js';
import type {UnconfirmedRecord} from './lost-records.js';
import type {
  Change,
  Configuration,
  HostEntry,
  RolloutOrder,
  RolloutStatus,
  TargetEntry,
} from './types.js';

/** Serialized deployment state that a host serves to hosts which cannot reach the store. */
export interface StateCopy {
  readonly offsets: {readonly orders: number; readonly targets: number};
  /**
   * Time since the host was last known to be up to date, in milliseconds, for each log. Absent in copies of
   * hosts that run an older version.
   */
  readonly ages?: {readonly orders: number; readonly targets: number};
  readonly configuration?: Omit<Configuration, 'needsKeys'> &
    Partial<Pick<Configuration, 'needsKeys'>>;
  readonly evacuated: readonly string[];
  readonly orders: readonly {order: RolloutOrder; offset: number}[];
  /** Evacuations and orders that the log may not hold. Absent in copies of hosts that run an older version. */
  readonly unconfirmed?: readonly UnconfirmedRecord[];
  readonly statuses: readonly RolloutStatus[];
  readonly targets: readonly TargetEntry[];
  /** Other hosts that the copied host knows; absent if it may not know all of them. */
  readonly hosts?: readonly HostEntry[];
}

/**
 * Copies the deployment state of this host. Targets that are kept only because their entries expired during
 * an outage of the store are left out.
 *
 * @param state - State of this host.
 * @param update - How far it has read the logs.
 * @param nowMs - Monotonic time, in milliseconds.
 */
export function copyState(
  state: DeploymentState,
  update: FeedUpdate,
  nowMs: number,
): StateCopy {
  return {
    offsets: {orders: update.orders, targets: update.targets},
    ages: {orders: update.ordersAgeMs, targets: update.targetsAgeMs},
    configuration: state.configuration,
    evacuated: [...state.evacuatedZones],
    orders: [...state.orders.values()].map(({order, offset}) => ({
      order,
      offset,
    })),
    unconfirmed: state.unconfirmed(nowMs),
    statuses: [...state.statuses.values()],
    targets: [...state.targets.values()]
      .filter(({goneAtMs}) => goneAtMs === undefined)
      .map(({entry, coldUntilMs}) => ({
        ...entry,
        coldMs: statedColdMs(entry, coldUntilMs - nowMs),
      })),
  };
}

/**
 * Applies those parts of another host's state copy for which it has read further than this host.
 *
 * @param state - State to change.
 * @param copy - Copy of the other host.
 * @param localOffsets - Offsets up to which this host has read the logs.
 * @param nowMs - Monotonic time, in milliseconds.
 */
export function applyStateCopy(
  state: DeploymentState,
  copy: StateCopy,
  localOffsets: StateCopy['offsets'],
  nowMs: number,
): void {
  const configuration = copy.configuration && {
    ...copy.configuration,
    // Hosts that run an older version do not state it, and need keys if there are organisations.
    needsKeys:
      copy.configuration.needsKeys ??
      copy.configuration.organisations.length > 0,
  };
  // A host that started after the store was restored finds an older configuration there than the others have in force.
  if (configuration) {
    state.apply([record({kind: 'configuration', configuration})], nowMs);
  }
  if (copy.offsets.orders > localOffsets.orders) {
    const changes: FeedRecord[] = [
      ...copy.evacuated.map(zone =>
        record({kind: 'evacuation', zone, active: true}),
      ),
      ...copy.orders.map(({order, offset}) =>
        record({kind: 'rollout-order', service: order.service, order}, offset),
      ),
    ];
    const unconfirmed = copy.unconfirmed ?? state.unconfirmed(nowMs);
    state.replace('orders', changes, nowMs);
    // Applying a record takes it for one of the log.
    state.keepUnconfirmed(unconfirmed, nowMs);
    for (const status of copy.statuses) {
      const {service} = status;
      state.apply([record({kind: 'rollout-status', service, status})], nowMs);
    }
  }
  if (copy.offsets.targets > localOffsets.targets) {
    // A host that runs an older version accepts entries that name no target.
    const targets = copy.targets
      .filter(({id, address}) => isTargetId(id) && isTargetAddress(address))
      .map(entry =>
        record({kind: 'target', id: entry.id, entry}, copy.offsets.targets),
      );
    state.replaceByCopy(targets, nowMs);
  }
}

function record(change: Change, offset = 0): FeedRecord {
  return {offset, change};
}
