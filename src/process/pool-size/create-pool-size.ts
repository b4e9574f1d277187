import type {Clock} from '../clock.js';
import {duties} from '../duties/duty-record.js';
import type {DutyTask} from '../duties/duty-task.js';
import type {GossipSection} from '../fleet/gossip-section.js';
import type {PeerTable} from '../fleet/peer-table.js';
import type {GatewayMetrics} from '../gateway-metrics.js';
import type {GatewaySettings} from '../gateway-settings.js';
import type {Logger} from '../logger.js';
import type {PooledTarget} from '../pool/pooled-target.js';
import {DemandMeter, type DemandObserver} from './demand-meter.js';
import {DemandSection} from './demand-section.js';
import {DemandTable} from './demand-table.js';
import type {
  PoolScaling,
  ScalableService,
  SizedTarget,
} from './pool-scaling.js';
import {PoolSizeDuty, type ObservedService} from './pool-size-duty.js';
import {PoolSizeMetrics} from './pool-size-metrics.js';

/** Time without a message of any host of a zone after which it counts as cut off, in milliseconds. */
const cutOffMs = 3000;
/** Status of a rollout that has not ended. */
const runningState = 'running';

/** What is known of the deployment, as far as the size of pools depends on it. */
export interface SizedDeployment {
  readonly configuration?: {readonly services: readonly ScalableService[]};
  readonly evacuatedZones: ReadonlySet<string>;
  /** Rollout orders by service. */
  readonly orders: ReadonlyMap<string, {readonly order: {version: string}}>;
  /** Recorded statuses of rollouts by service. */
  readonly statuses: ReadonlyMap<string, {version: string; state: string}>;
}

/** Dependencies of the size of pools. */
export interface PoolSizeParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly settings: Pick<GatewaySettings, 'duties' | 'host' | 'zone'>;
  readonly peers: PeerTable;
  readonly pool: {targets(service: string): Iterable<PooledTarget>};
  readonly state: SizedDeployment;
  readonly dispatcher: {waitingMs(service: string): number};
  /** Name of the host that holds the duties, if it is known. */
  readonly holder: () => string | undefined;
}

/** The parts of a host that order targets; all empty in a deployment that does not ask for it. */
export interface PoolSize {
  readonly demand?: DemandObserver;
  readonly sections: readonly GossipSection[];
  readonly tasks: readonly DutyTask[];
}

/**
 * Creates the part of a host that measures the demand of callers and, while it holds the duties, orders targets.
 *
 * @param parts - Dependencies.
 */
export function createPoolSize(parts: PoolSizeParts): PoolSize {
  const {clock, dispatcher, holder, logger, metrics, settings} = parts;
  if (!settings.duties?.duties.includes(duties.poolSize)) {
    return {sections: [], tasks: []};
  }
  const nowMs = () => clock.nowMs();
  const meter = new DemandMeter(nowMs, name => dispatcher.waitingMs(name));
  const table = new DemandTable();
  const scaled = new ScaledServices(parts.state, logger);
  const services = () => scaled.list().map(({service}) => service.name);
  const section = new DemandSection({nowMs, meter, table, services, holder});
  const task = new PoolSizeDuty({
    clock,
    logger,
    metrics: new PoolSizeMetrics(metrics),
    observe: () => observeAll(parts, scaled, meter, table),
  });
  return {demand: meter, sections: [section], tasks: [task]};
}

/** Observes the pools of all services that are sized. */
function* observeAll(
  {clock, peers, pool, settings, state}: PoolSizeParts,
  scaled: ScaledServices,
  meter: DemandMeter,
  table: DemandTable,
): Generator<ObservedService> {
  const nowMs = clock.nowMs();
  const {evacuatedZones} = state;
  const cutOffZones = findCutOffZones(peers, settings.zone, nowMs);
  // A host that was heard until now may still get requests.
  const hosts = peers.names(nowMs).filter(name => name !== settings.host);
  for (const {scaling, service} of scaled.list()) {
    const {engine, name} = service;
    const targets = [...pool.targets(name)].map(target =>
      toSizedTarget(target, nowMs),
    );
    const demand = table.total(name, meter.demandFor(name), hosts, nowMs);
    const seen = {
      scaling,
      configuredSlots: engine?.slots ?? 0,
      targets,
      demand,
      evacuatedZones,
      cutOffZones,
      isRollingOut: isRollingOut(state, name),
    };
    yield {service: name, seen};
  }
}

/** Lists the services that are sized, and logs once why others are not. */
class ScaledServices {
  private logged: SizedDeployment['configuration'];

  constructor(
    private readonly state: SizedDeployment,
    private readonly logger: Logger,
  ) {}

  list(): {service: ScalableService; scaling: PoolScaling}[] {
    const {configuration} = this.state;
    const all = configuration?.services ?? [];
    if (this.logged !== configuration) {
      this.logged = configuration;
      for (const {name, scalingError} of all) {
        if (scalingError === undefined) continue;
        const fields = {service: name, problem: scalingError};
        this.logger.event('poolSizeUnusable', fields);
      }
    }
    return all.flatMap(service =>
      service.scaling ? [{service, scaling: service.scaling}] : [],
    );
  }
}

/** Finds the other zones of which no host was heard for some time, although some are known. */
function findCutOffZones(
  peers: PeerTable,
  ownZone: string,
  nowMs: number,
): Set<string> {
  const zones = new Map<string, number>();
  for (const {lastSeenAtMs, zone} of peers.all) {
    if (zone === ownZone) continue;
    const newestMs = zones.get(zone) ?? -Infinity;
    zones.set(zone, Math.max(newestMs, lastSeenAtMs));
  }
  const silent = [...zones].filter(([, atMs]) => atMs < nowMs - cutOffMs);
  return new Set(silent.map(([zone]) => zone));
}

function toSizedTarget(target: PooledTarget, nowMs: number): SizedTarget {
  const {coldUntilMs, entry, isLeaving, slots, suspendedUntilMs} = target;
  const {id, zone} = entry;
  return {
    id,
    zone,
    slots,
    load: target.loadAt(nowMs),
    isLeaving,
    isServing: suspendedUntilMs <= nowMs && target.accepts(nowMs),
    isCold: coldUntilMs > nowMs,
  };
}

function isRollingOut(
  {orders, statuses}: SizedDeployment,
  service: string,
): boolean {
  const order = orders.get(service)?.order;
  if (!order) return false;
  const status = statuses.get(service);
  return status?.version !== order.version || status.state === runningState;
}
