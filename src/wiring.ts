import {CallerServer} from './connection/caller/caller-server.js';
import {HealthHandler} from './connection/caller/health-handler.js';
import {ResourceHandler} from './connection/caller/resource-handler.js';
import {UnknownPathHandler} from './connection/caller/unknown-path-handler.js';
import {createEntryMemory} from './connection/http/create-caller-memory.js';
import {PeerChannels} from './connection/peer/peer-channels.js';
import {protocolVersion} from './connection/peer/peer-codec.js';
import {
  certifiesHost,
  loadPeerCredentials,
} from './connection/peer/peer-credentials.js';
import {PeerLinks} from './connection/peer/peer-links.js';
import {PeerServer} from './connection/peer/peer-server.js';
import {GrpcPermitTransport} from './connection/peer/permit-grpc.js';
import {HttpHostListClient} from './connection/platform/host-list-client.js';
import {HttpLogClient} from './connection/platform/http-log-client.js';
import type {LogClient} from './connection/platform/log-client.js';
import {TargetClients} from './connection/target/target-clients.js';
import {HttpTargetStatusClient} from './connection/target/target-status-client.js';
import {SystemClock, type Clock} from './process/clock.js';
import {createPermits} from './process/groups/create-permits.js';
import {OrganisationLimiter} from './process/limits/organisation-limiter.js';
import {Logger} from './process/logger.js';
import {HostListPoller} from './process/membership/host-list-poller.js';
import {MembershipTask} from './process/membership/membership-task.js';
import {PacedLogClient} from './process/membership/paced-log-client.js';
import {RecordRelay} from './process/membership/record-relay.js';
import {Metrics} from './process/metrics.js';
import type {Settings} from './process/settings.js';
import {subscribe} from './process/subject.js';
import type {RandomSource} from './request/backoff.js';
import {CostEstimator} from './request/cost-estimator.js';
import {RecordingDispatcher} from './request/recording-dispatcher.js';
import {PermitDispatcher} from './request/permit-dispatcher.js';
import {loadPrefixHasher, type PrefixHasher} from './request/prefix-hashes.js';
import {RequestHandler} from './request/request-handler.js';
import {TokenBucketRetryBudget} from './request/retry-budget.js';
import {listResources} from './version/config-state.js';
import {ConfigFeed} from './version/config-feed.js';
import {ConfigStore, configStream} from './version/config-store.js';
import {ConfigWriter} from './version/config-writer.js';
import {SnapshotWriter} from './version/snapshots/snapshot-writer.js';
import {ZoneOffsets} from './version/status/zone-offsets.js';
import {createPeerServices} from './wiring/peer-services.js';
import {routeRecords} from './wiring/record-routes.js';
import {createRollouts, rolloutStreams} from './wiring/rollouts.js';

/** Wait for the releases of claims when the requests took the whole drain time, in milliseconds. */
const minReleaseMs = 500;

/** Parts that a caller of {@link createHost} may replace. */
export interface HostParts {
  readonly clock?: Clock;
  readonly log?: LogClient;
  readonly logger?: Logger;
  /** Clock of rollouts; the clock of the process if absent. */
  readonly rolloutClock?: Clock;
  /** Random source of the backoff between attempts. */
  readonly random?: RandomSource;
}

/** A running entry host. */
export interface Host {
  /** Metrics of the host. */
  readonly metrics: Metrics;

  /**
   * Opens the servers and starts to follow the configuration.
   *
   * @returns The ports for callers and for other hosts.
   */
  start(): Promise<{callersPort: number; peersPort: number}>;

  /** Drains the host and closes everything that it opened. */
  stop(): Promise<void>;
}

/**
 * Constructs and connects the parts of an entry host. No socket is opened before `start`.
 *
 * @param settings - Checked settings.
 * @param parts - Replacements, for tests and embedding.
 * @returns The host.
 */
export function createHost(settings: Settings, parts: HostParts = {}): Host {
  const clock = parts.clock ?? new SystemClock();
  const logger =
    parts.logger ??
    Logger.create(settings.logLevel, {
      host: settings.host,
      zone: settings.zone,
    });
  const metrics = new Metrics();
  const ownLog = parts.log
    ? undefined
    : new HttpLogClient(settings.platform.logUrl);
  const log = parts.log ?? (ownLog as LogClient);
  const store = new ConfigStore();
  const random = parts.random ?? Math.random;
  const peers = createPeers(settings, {clock, logger, metrics, random});
  const members = peers.membership.view;
  const rollouts = createRollouts(settings, {
    ...peers,
    clock: parts.rolloutClock ?? clock,
    logger,
    metrics,
    log,
    members,
    config: () => store.state,
  });
  const relay = new RecordRelay({
    ...peers,
    clock,
    metrics,
    ...routeRecords([
      [configStream, store],
      ...rolloutStreams.map(stream => [stream, rollouts.route] as const),
    ]),
  });
  /** Whether the configuration was once as new as that of the linked hosts. */
  let relayed = false;
  const complete = () => feed.complete || relayed;
  const services = createPeerServices(settings, {
    ...peers,
    clock,
    logger,
    metrics,
    random,
    log,
    members,
    config: () => store.state,
    ready: () => complete(),
  });
  const feed = new ConfigFeed({
    log: new PacedLogClient(log, relay, clock),
    store,
    clock,
    logger,
    random,
    peers: services.snapshots,
  });
  const zones = new ZoneOffsets(members, () => store.state, clock);
  const logUp = () => feed.logUp;
  const writer = new ConfigWriter({
    log,
    store,
    clock,
    random,
    logUp,
  });
  const snapshots = new SnapshotWriter({
    log,
    store,
    clock,
    logger,
    members,
    retentionMs: settings.claims.retentionMs,
  });
  const resources = new ResourceHandler({
    operators: settings.operators,
    store,
    writer,
    clock,
    logger,
    status: {
      host: settings.host,
      clock,
      config: () => store.state,
      zones,
      sources: [rollouts.conditions],
      rollout: name => rollouts.status(name),
    },
    logUp,
  });
  metrics.gauge(
    'guavaseam_config_offset',
    'Offset of the configuration in effect',
    () => store.state.offset,
  );
  const targets = new TargetClients();
  let prefixHasher: PrefixHasher | undefined;
  const permits = createPermits({
    clock,
    logger,
    metrics,
    members,
    random,
    transport: peers.permitTransport,
    status: new HttpTargetStatusClient(),
    config: () => store.state,
  });
  const dispatcher = new RecordingDispatcher(
    new PermitDispatcher({
      permits: permits.manager,
      members,
      config: () => store.state,
      clock,
      onSpill: permits.onSpill,
    }),
    rollouts.recorder,
  );
  let draining = false;
  let stopPruning = () => {};
  const limiter = OrganisationLimiter.forMember(members);
  const server = new CallerServer(
    settings.callers,
    {clock, logger, metrics},
    [
      new HealthHandler(metrics, () => complete() && !draining),
      resources,
      new RequestHandler({
        host: settings.host,
        clock,
        metrics,
        logger,
        dispatcher,
        config: () => store.state,
        client: (target, type) => targets.get(target, type),
        random,
        retryBudget: new TokenBucketRetryBudget(),
        crashEvidence: services.crashEvidence,
        claims: services.claims,
        costs: new CostEstimator(),
        limiter,
        prefixes: () => prefixHasher,
        maxBodyBytes: settings.callers.maxBodyBytes,
        memory: createEntryMemory(settings.callers, {clock, metrics, logger}),
      }),
    ],
    new UnknownPathHandler(metrics),
  );

  // Records arrive in pages of up to 500; work over all resources is done once for each page.
  let followUpDue = false;
  const followUp = () => {
    if (followUpDue) return;
    followUpDue = true;
    queueMicrotask(() => {
      followUpDue = false;
      const declared = listResources(store.state, 'target');
      targets.retain(new Set(declared.map(({spec}) => spec.address)));
      zones.refresh();
      const configOffset = store.state.offset;
      peers.membership.post({kind: 'publish', configOffset});
      relay.post({kind: 'advanced'});
      relayed ||= relay.hasCaughtUp(configStream);
      permits.manager.configChanged();
    });
  };
  const unsubscribe = [
    subscribe(store.changes, ({offset, outcome}) => {
      followUp();
      if (outcome.kind === 'invalid') {
        logger.event('configInvalid', {offset, errors: outcome.errors});
      }
    }),
    subscribe(store.installed, followUp),
    subscribe(members.changes, () => zones.refresh()),
    subscribe(peers.membership.selfPaused, () => {
      rollouts.selfPaused();
      permits.manager.selfPaused();
      services.selfPaused();
    }),
  ];

  return {
    metrics,
    async start() {
      prefixHasher = await loadPrefixHasher();
      const peersPort = await peers.listen();
      const callersPort = await server.listen().catch(async err => {
        await peers.close();
        throw err;
      });
      relay.start();
      services.start();
      permits.start();
      rollouts.start(permits.manager, () => relay.post({kind: 'advanced'}));
      void feed.start();
      snapshots.start();
      stopPruning = limiter.startPruning(clock);
      logger.event('hostStarted', {callersPort, peersPort});
      return {callersPort, peersPort};
    },
    async stop() {
      draining = true;
      const endMs = clock.nowMs() + settings.drainMs;
      permits.manager.handOver();
      logger.event('drainStarted');
      await rollouts.stop();
      resources.close();
      const broken = await server.close(settings.drainMs);
      if (broken > 0) logger.event('drainTimedOut', {requests: broken});
      const claims = await services.drain(
        Math.max(minReleaseMs, endMs - clock.nowMs()),
      );
      if (claims > 0) logger.event('claimsNotReleased', {claims});
      stopPruning();
      permits.stop();
      feed.stop();
      snapshots.stop();
      services.stop();
      for (const end of unsubscribe) end();
      relay.stop();
      await peers.close();
      await targets.close();
      await ownLog?.close();
      logger.event('drainFinished');
    },
  };
}

/** Constructs the parts that connect this host to others. */
function createPeers(
  settings: Settings,
  parts: {
    clock: Clock;
    logger: Logger;
    metrics: Metrics;
    random: RandomSource;
  },
) {
  const {clock} = parts;
  const {host: id, fleet, zone, region, peers} = settings;
  const credentials = loadPeerCredentials(peers.tls);
  const channels = new PeerChannels(credentials);
  const server = new PeerServer();
  const transport: PeerLinks = new PeerLinks({
    ...parts,
    channels,
    mode: credentials.mode,
    own: () => {
      const {peerAddress: address, incarnation} = membership.view.self;
      const protocol = protocolVersion;
      return {fleet, protocol, id, zone, region, address, incarnation};
    },
  });
  const membership = new MembershipTask(
    {
      self: {id, zone, region, address: `${peers.address}:${peers.port}`},
      incarnation: Math.floor(clock.wallMs() / 1000),
      seeds: peers.seeds,
      random: parts.random,
    },
    {...parts, transport},
  );
  transport.serve(server);
  const permitTransport = new GrpcPermitTransport({
    fleet,
    host: id,
    client: host => {
      const member = membership.view.live().find(other => other.id === host);
      return member && channels.get(member.peerAddress);
    },
    addService: (definition, implementation) =>
      server.addService(definition, implementation),
    certifies: (call, host) => certifiesHost(credentials.mode, call, host),
    onRejected: (host, reason) =>
      parts.logger.event('linkRejected', {host, reason}),
  });
  const {hostListUrl} = settings.platform;
  const hostList = hostListUrl
    ? new HttpHostListClient(hostListUrl)
    : undefined;
  const poller =
    hostList &&
    new HostListPoller({
      ...parts,
      client: hostList,
      onHosts: hosts => membership.post({kind: 'listed', hosts}),
    });
  return {
    mode: credentials.mode,
    channels,
    server,
    transport,
    membership,
    permitTransport,
    async listen(): Promise<number> {
      const port = await server.listen(peers, credentials);
      const host = peers.address.includes(':')
        ? `[${peers.address}]`
        : peers.address;
      transport.start();
      membership.start(`${host}:${port}`);
      poller?.start();
      return port;
    },
    async close(): Promise<void> {
      poller?.stop();
      await hostList?.close();
      membership.stop();
      await transport.close();
      channels.close();
      server.close();
    },
  };
}
