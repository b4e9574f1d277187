import {EvidenceGossip} from '../connection/peer/evidence-gossip.js';
import {HttpEngineOrderClient} from '../connection/platform/engine-order-client.js';
import type {LogClient, LogRecord} from '../connection/platform/log-client.js';
import {HttpWeightStoreClient} from '../connection/platform/weight-store-client.js';
import {every, type Cancel, type Clock} from '../process/clock.js';
import type {PermitManager} from '../process/groups/permit-manager.js';
import type {Logger} from '../process/logger.js';
import type {MemberView} from '../process/member-view.js';
import type {MembershipTask} from '../process/membership/membership-task.js';
import type {PeerTransport} from '../process/membership/peer-transport.js';
import type {Metrics} from '../process/metrics.js';
import type {Settings} from '../process/settings.js';
import {subscribe} from '../process/subject.js';
import type {AttemptRecorder} from '../request/recording-dispatcher.js';
import {
  getResource,
  listResources,
  type ConfigState,
} from '../version/config-state.js';
import {AttemptEvidenceRecorder} from '../version/evidence/attempt-evidence-recorder.js';
import {bucketMs, EvidenceStore} from '../version/evidence/evidence-store.js';
import {InFlightTable} from '../version/evidence/in-flight-table.js';
import {StoreEvidenceSource} from '../version/evidence/store-evidence-source.js';
import {RecordSink} from '../version/record-relay.js';
import {FinishedCondition} from '../version/rollout/finished-condition.js';
import {HostRolloutEnvironment} from '../version/rollout/host-rollout-environment.js';
import {leaseStream} from '../version/rollout/lease.js';
import {
  ClientEngineOrders,
  ClientLoadGate,
} from '../version/rollout/platform-ports.js';
import {LoadGate} from '../version/rollout/ports.js';
import {isActive, rolloutStream} from '../version/rollout/rollout-state.js';
import {RolloutTask} from '../version/rollout/rollout-task.js';
import type {RolloutStatus} from '../version/rollout/status.js';
import type {ConditionSource} from '../version/status/resource-status.js';
import type {RecordRoute} from './record-routes.js';

/** Size of weights as stated to the weight store, in bytes; configuration does not state it. */
const assumedWeightBytes = 16 * 2 ** 30;

/** Time between announcements of new records, in milliseconds. */
const announceMs = 1000;

/** Streams of the log that rollouts follow. */
export const rolloutStreams = [rolloutStream, leaseStream] as const;

/** Parts that {@link createRollouts} connects. */
export interface RolloutsParts {
  /** Clock of leases, steps and evidence; tests run it faster than the clock of the process. */
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly log: LogClient;
  readonly members: MemberView;
  readonly membership: MembershipTask;
  readonly transport: PeerTransport;
  readonly config: () => ConfigState;
}

/** The rollouts of a host. */
export interface Rollouts {
  readonly recorder: AttemptRecorder;
  readonly route: RecordRoute;
  readonly conditions: ConditionSource;

  /**
   * Computes the status of a rollout.
   *
   * @param name - Name of the rollout.
   */
  status(name: string): RolloutStatus | undefined;

  /**
   * Starts to follow, to evaluate and to lead.
   *
   * @param node - Receives the caps of versions.
   * @param onRead - Called regularly, so that peers learn of new records.
   */
  start(node: PermitManager, onRead: () => void): void;

  /** Gives up the leases: this host was paused or taken for dead. */
  selfPaused(): void;

  /** Releases the leases and stops. */
  stop(): Promise<void>;
}

/** Without a weight store loads begin at once. */
class OpenGate extends LoadGate {
  override async request(): Promise<number> {
    return 0;
  }
}

class TaskSink extends RecordSink {
  constructor(private readonly task: RolloutTask) {
    super();
  }

  override accept(stream: string, records: readonly LogRecord[]): void {
    this.task.post({kind: 'relayed', stream, records});
  }
}

/**
 * Connects rollouts with the log, the other hosts, the engines and the schedulers.
 *
 * @param settings - Settings of the host.
 * @param parts - Parts of the process.
 * @returns The rollouts, not yet started.
 */
export function createRollouts(
  settings: Settings,
  parts: RolloutsParts,
): Rollouts {
  const {clock, config, log, logger, members, membership, metrics} = parts;
  const {host, zone, platform} = settings;
  // A restarted host counts from 0 again, so it counts under another name.
  const store = new EvidenceStore(`${host}-${Math.floor(clock.wallMs())}`);
  const inFlight = new InFlightTable();
  const engines = new HttpEngineOrderClient();
  const weights = platform.weightStoreUrl
    ? new HttpWeightStoreClient(platform.weightStoreUrl)
    : undefined;
  const world = new HostRolloutEnvironment(config, inFlight, clock);
  const task = new RolloutTask({
    host,
    clock,
    log,
    members,
    environment: world,
    orders: new ClientEngineOrders(
      engines,
      name => getResource(config(), 'target', name)?.spec.address,
    ),
    gate: weights
      ? new ClientLoadGate(weights, () => assumedWeightBytes)
      : new OpenGate(),
    evidence: new StoreEvidenceSource(store),
    logger,
  });
  const sentBytes = metrics.counter(
    'guavaseam_evidence_sent_bytes_total',
    'Evidence of rollouts sent to other hosts, without framing',
    [],
  );
  metrics.gauge(
    'guavaseam_evidence_dropped',
    'Finished attempts that were not counted because the evidence store was full',
    () => store.dropped,
  );
  const gossip = new EvidenceGossip({
    clock,
    transport: parts.transport,
    neighbours: () => membership.neighbours,
    store,
    inFlight,
    services: () => servicesUnderRollout(config(), task),
    onSent: bytes => sentBytes.inc(bytes),
  });
  const status = (name: string) => task.status(name);
  let cancels: Cancel[] = [];
  return {
    recorder: new AttemptEvidenceRecorder(store, inFlight, clock),
    route: {source: task.source, sink: new TaskSink(task)},
    conditions: new FinishedCondition(status, clock),
    status,
    start(node, onRead) {
      cancels = [
        subscribe(task.caps, ({service, zones}) =>
          node.setVersionCaps(service, zones.get(zone) ?? []),
        ),
        every(clock, announceMs, onRead),
        every(clock, bucketMs, () => store.expire(clock.wallMs())),
      ];
      task.start();
      gossip.start();
    },
    selfPaused: () => task.post({kind: 'self-paused'}),
    async stop() {
      for (const cancel of cancels) cancel();
      gossip.stop();
      task.stop();
      await engines.close();
      await weights?.close();
    },
  };
}

/** Services whose evidence other hosts need. */
function servicesUnderRollout(
  config: ConfigState,
  task: RolloutTask,
): ReadonlySet<string> {
  const services = new Set(
    listResources(config, 'rollout')
      .filter(({name}) => {
        const entry = task.rollouts.entries.get(name);
        return !entry || isActive(entry) || entry.phase === 'queued';
      })
      .map(({spec}) => spec.service),
  );
  for (const entry of task.rollouts.entries.values()) {
    if (isActive(entry)) services.add(entry.spec.service);
  }
  return services;
}
