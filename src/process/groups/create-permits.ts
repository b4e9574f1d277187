import type {Stream} from 'most';
import type {PermitTransport} from '../../connection/peer/permit-transport.js';
import type {TargetStatusClient} from '../../connection/target/target-status-client.js';
import type {RefusalReason} from '../../request/refusals.js';
import type {ConfigState} from '../../version/config-state.js';
import type {Clock} from '../clock.js';
import type {Logger} from '../logger.js';
import type {MemberView} from '../member-view.js';
import type {Metrics} from '../metrics.js';
import {createScheduler} from './create-scheduler.js';
import {PermitManager} from './permit-manager.js';
import {StatusPoller, type TargetRestart} from './status-poller.js';

/** Exclusive upper bound of the first serial. Serials then fit into 6 bytes on the wire for years. */
const maxFirstSerial = 2 ** 40;

/** Dependencies of {@link createPermits}. */
export interface PermitsParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly members: MemberView;
  readonly random: () => number;
  readonly transport: PermitTransport;
  readonly status: TargetStatusClient;
  readonly config: () => ConfigState;
}

/** The permit manager of a host, connected with the status poller, the log and the metrics. */
export interface Permits {
  readonly manager: PermitManager;
  readonly onSpill: (zone: string, reason: RefusalReason) => void;
  /** Restarts of targets in groups that this host owns. */
  readonly targetRestarts: Stream<TargetRestart>;
  readonly start: () => void;
  readonly stop: () => void;
}

/**
 * Creates the permit manager and connects it with the log, the metrics and the targets' load reports.
 *
 * @param parts - Dependencies.
 * @returns The manager, which the caller starts and stops.
 */
export function createPermits(parts: PermitsParts): Permits {
  const {clock, config, logger, members, metrics, random, transport} = parts;
  const pauses = metrics.counter(
    'guavaseam_pauses_total',
    'Number of times this host was paused and released its groups',
    [],
  );
  const spills = metrics.counter(
    'guavaseam_spills_total',
    'Requests sent to another zone, by that zone and by the reason the local owner refused them',
    ['zone', 'reason'],
  );
  // The random first serial is part of the permit ids, so that ids from before a restart don't recur.
  const firstSerial = Math.floor(random() * maxFirstSerial);
  let owners = 0;
  const manager = new PermitManager({
    clock,
    members,
    transport,
    config,
    firstSerial,
    createCore: group => {
      const owner = `${members.self.id}-${firstSerial}-${++owners}`;
      return createScheduler(group, owner, config(), metrics);
    },
    onOwned: (group, owned) =>
      logger.event(owned ? 'groupOwned' : 'groupGivenUp', {group}),
    onPaused: gapMs => {
      pauses.inc();
      logger.event('hostPaused', {gapMs});
    },
    onLinkEnded: (host, reason) =>
      logger.event('permitLinkEnded', {host, reason}),
  });
  const poller = new StatusPoller({
    clock,
    client: parts.status,
    config,
    owned: () => manager.owned.keys(),
    deliver: (group, message) => manager.sendToOwned(group, message),
  });
  registerGauges(metrics, manager);
  return {
    manager,
    onSpill: (zone, reason) => {
      spills.inc({zone, reason});
      logger.event('requestSpilled', {zone, reason});
    },
    targetRestarts: poller.targetRestarts,
    start: () => {
      manager.start();
      poller.start();
    },
    stop: () => {
      poller.stop();
      manager.stop();
    },
  };
}

function registerGauges(metrics: Metrics, manager: PermitManager): void {
  const statuses = () => [...manager.owned.values()].map(task => task.status);
  metrics.gauge(
    'guavaseam_groups_owned',
    'Target groups that this host owns',
    () => manager.owned.size,
  );
  metrics.gauge(
    'guavaseam_groups_recovering',
    'Owned groups restricted to the cold limits because not all outstanding permits are known',
    () => statuses().filter(({share}) => share.recovering).length,
  );
  metrics.gauge(
    'guavaseam_groups_partial',
    'Owned groups that hold only a share of their limits',
    () => statuses().filter(({share}) => share.held < share.hosts).length,
  );
  metrics.gauge(
    'guavaseam_permits_waiting',
    'Requests waiting for a permit at the owned groups',
    () => statuses().reduce((sum, {waiting}) => sum + waiting, 0),
  );
  metrics.gauge(
    'guavaseam_permits_held',
    'Permits that this host holds',
    () => {
      let held = 0;
      for (const {permits} of manager.followed.values()) held += permits.size;
      return held;
    },
  );
  metrics.gauge(
    'guavaseam_cut_off',
    '1 while this host reaches no other host and uses only its static share of the limits',
    () => Number(manager.cutOff),
  );
}
