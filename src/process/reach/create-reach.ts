import type {TargetProbe} from '../../connection/gateway/target-probe.js';
import type {DeploymentState} from '../../version/deployment/deployment-state.js';
import type {TargetEntry} from '../../version/deployment/types.js';
import {every, type Cancel, type Clock} from '../clock.js';
import type {GossipSection} from '../fleet/gossip-section.js';
import type {PeerTable} from '../fleet/peer-table.js';
import type {GatewaySettings} from '../gateway-settings.js';
import type {Logger} from '../logger.js';
import type {MetricRegistry} from '../metric-registry.js';
import type {ConnectionEvidence} from './connection-evidence.js';
import {ReachProber} from './reach-prober.js';
import {ReachReports} from './reach-reports.js';
import {ReachSection} from './reach-section.js';
import {ReachObserver, ReachTable} from './reach-table.js';
import {RelayChoice} from './relay-choice.js';
import type {RelayHosts} from './relay-hosts.js';
import type {Cut} from './service-reach.js';

/** Interval at which it is decided which targets are reached, in milliseconds. */
const checkIntervalMs = 50;

/** Dependencies of {@link createReach}. */
export interface ReachParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: MetricRegistry;
  /** Random number in [0, 1). */
  readonly random: () => number;
  readonly peers: PeerTable;
  readonly state: Pick<DeploymentState, 'configuration' | 'targets'>;
  readonly probe: TargetProbe;
}

/** What decides whether this host reaches targets, and which hosts do it in its place. */
export interface Reach {
  readonly relays: RelayHosts;
  /** Parts of the messages between hosts. */
  readonly sections: readonly GossipSection[];
  /** Creates what receives the evidence of one connection to a target. */
  readonly watch: (entry: TargetEntry) => ConnectionEvidence;
  /**
   * Starts the decisions and probes.
   *
   * @returns A function that stops them.
   */
  start(): Cancel;
}

/**
 * Creates what decides whether this host reaches targets, and which hosts do it in its place.
 *
 * @param settings - Settings of the host.
 * @param parts - Dependencies.
 */
export function createReach(
  {zone, regions, relayPort}: GatewaySettings,
  {clock, logger, metrics, random, peers, state, probe}: ReachParts,
): Reach {
  const reports = new ReachReports(() =>
    peers.heard(clock.nowMs()).map(({host}) => host),
  );
  const table = new ReachTable(clock, new ReachLog(clock, logger, reports));
  const prober = new ReachProber(
    clock,
    random,
    table,
    probe,
    () => peers.heard(clock.nowMs()).length + 1,
    service => reports.isAnyCutOff(service),
  );
  const relays = new RelayChoice({
    ...{table, reports, peers, zone, regions, random, relayPort},
    configuration: () => state.configuration?.version ?? 0,
  });
  metrics.gauge(
    'guavaseam_gateway_services_cut_off',
    'Services of which this host reaches no target',
    () => table.cutOff,
  );
  const check = () => {
    table.check([...state.targets.values()].map(({entry}) => entry));
    reports.prune();
    prober.run();
  };
  return {
    relays,
    sections: [new ReachSection(table, reports)],
    watch: entry => table.watch(entry),
    start: () => every(clock, checkIntervalMs, check),
  };
}

class ReachLog extends ReachObserver {
  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly reports: ReachReports,
  ) {
    super();
  }

  override lost(service: string, cut: Cut, targets: number): void {
    const {atMs, sinceMs, failedOpenings, resets} = cut;
    this.logger.event('targetsLost', {
      ...{service, targets, failedOpenings, resets},
      sinceMs: Math.round(atMs - sinceMs),
      hosts: this.reports.reachedSince(service, sinceMs),
    });
  }

  override regained(service: string, {sinceMs}: Cut): void {
    const afterMs = Math.round(this.clock.nowMs() - sinceMs);
    const hosts = this.reports.reachedSince(service, sinceMs);
    this.logger.event('targetsRegained', {service, afterMs, hosts});
  }
}
