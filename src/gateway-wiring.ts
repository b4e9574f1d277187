import {randomBytes} from 'node:crypto';
import type {Server} from 'node:http';
import {GatewayServer} from './connection/gateway/gateway-server.js';
import {openAddresses} from './connection/gateway/open-addresses.js';
import {recordEnds} from './connection/gateway/record-ends.js';
import {TcpTargetProbe} from './connection/gateway/target-probe.js';
import {maxCallerConnections} from './connection/http/connection-limit.js';
import {createCallerMemory} from './connection/http/create-caller-memory.js';
import {createStateServers} from './connection/peer/state-server.js';
import {createGatewayDuties} from './gateway-duties.js';
import type {GatewayHost, GatewayHostParts} from './gateway-host.js';
import {stopGateway} from './gateway-stop.js';
import {createScheduling} from './process/admission/create-scheduling.js';
import {every, SystemClock} from './process/clock.js';
import {createCrashControl} from './process/crashes/crash-control.js';
import {DecisionLog} from './process/decision-log.js';
import {composeMessage} from './process/fleet/compose-message.js';
import {GossipTask} from './process/fleet/gossip-task.js';
import {HostRegistration} from './process/fleet/host-registration.js';
import {areHostsKnown, sharingHosts} from './process/fleet/known-hosts.js';
import {PeerTable} from './process/fleet/peer-table.js';
import {PeerStateSync} from './process/fleet/peer-state-sync.js';
import {rendezvousRank} from './process/fleet/rendezvous.js';
import {declareGauges} from './process/gateway-gauges.js';
import {GatewayMetrics} from './process/gateway-metrics.js';
import type {GatewaySettings} from './process/gateway-settings.js';
import {QuotaBuckets} from './process/limits/quota-buckets.js';
import {QuotaSharing} from './process/limits/quota-sharing.js';
import {createRandom} from './process/random.js';
import {ServiceRetryBudget} from './process/limits/service-retry-budget.js';
import {Logger} from './process/logger.js';
import {createPlacement} from './process/pool/create-placement.js';
import {createBrittleGauges} from './process/pool/brittle-gauges.js';
import {TargetLimits} from './process/pool/target-limits.js';
import {TargetPool} from './process/pool/target-pool.js';
import {createReach} from './process/reach/create-reach.js';
import {subscribe} from './process/subject.js';
import {Dispatcher} from './request/gateway/dispatcher.js';
import {
  GatewayHandler,
  type GatewayHandlerParts,
} from './request/gateway/gateway-handler.js';
import {
  createRelayService,
  createRelayWay,
} from './request/gateway/relayed/create-relaying.js';
import {RouteStats} from './request/gateway/route-stats.js';
import {DeploymentState} from './version/deployment/deployment-state.js';
import {RolloutController} from './version/deployment/rollout-controller.js';
import {RouteTable} from './version/deployment/route-table.js';
import {StateFeed} from './version/deployment/state-feed.js';
import {CanaryRouter} from './version/deployment/canary-router.js';
import {CanaryEvaluator} from './version/deployment/canary-evaluator.js';

/** Interval at which state that depends on the other hosts is recomputed, in milliseconds. */
const refreshIntervalMs = 50;

/**
 * Creates a gateway host and connects its components.
 *
 * @param settings - Settings of the host.
 * @param parts - Store and wire format of the platform; a clock and logger override the defaults.
 * @returns The host, not yet started.
 */
export function createGatewayHost(
  settings: GatewaySettings,
  {store, wire, ...overrides}: GatewayHostParts,
): GatewayHost {
  const clock = overrides.clock ?? new SystemClock();
  const metrics = new GatewayMetrics();
  const logger =
    overrides.logger ??
    Logger.createBounded('info', {host: settings.host}, () =>
      metrics.lineDropped(),
    );
  const decisions = new DecisionLog(logger, () => clock.nowMs());
  const random = createRandom(randomBytes(4).readUInt32LE());
  const incarnation = clock.wallMs();
  const startMs = clock.nowMs();
  const {bounds, host, ip, zone} = settings;

  let routes: RouteTable | undefined;
  let draining = false;
  let leaving = false;
  let stopsAtMs = Infinity;
  let hosts: readonly string[] = [host];
  let readiness: Server | undefined;
  let stopping: Promise<void> | undefined;
  const state = new DeploymentState();
  const peers = new PeerTable(host);
  const feed = new StateFeed({
    clock,
    logger,
    store,
    state,
    bounds,
    random,
    position: (log, failing) => {
      const others = peers
        .heard(clock.nowMs())
        .filter(({message}) => failing || message?.storeReachable);
      const names = others.map(({host: name}) => name);
      return rendezvousRank(log, host, names);
    },
    onRead: changed => (changed ? gossip.send() : gossip.sendSoon()),
    onUnreadable: name => metrics.recordUnreadable(name),
    onRestored: () => registration.addAgain(),
  });
  const registration = new HostRegistration({
    ...{clock, logger, store, random},
    ...{host, ip, zone},
  });
  const canaryRouter = new CanaryRouter(bounds.exposeShare);
  const canaryEvaluator = new CanaryEvaluator();
  const quotas = new QuotaBuckets(
    startMs,
    incarnation,
    settings.firstStart,
    bounds,
  );
  const sharing = new QuotaSharing(quotas, startMs);
  const knowsHosts = () => areHostsKnown(feed, peers);
  const retryBudget = new ServiceRetryBudget(bounds, () =>
    sharingHosts(hosts.length, knowsHosts()),
  );
  const placement = createPlacement(settings, logger, metrics);
  const reach = createReach(settings, {
    ...{clock, logger, metrics, random, peers, state},
    probe: new TcpTargetProbe(),
  });
  const pool = new TargetPool({
    ...{clock, logger, state},
    routes: () => routes,
    limits: new TargetLimits(host, bounds),
    canaryRouter,
    isViewCurrent: () => feed.targetsView.isCurrent,
    onSend: ({id}) => feed.targetsView.logUse(id),
    host,
    hosts: () => hosts,
    knowsHosts,
    random,
    zone,
    regions: settings.regions,
    onConnect: () => metrics.connectionOpened(),
    onColdSend: () => metrics.sentToCold(),
    watch: reach.watch,
    onBrittleRejections: count => metrics.rejectedByBrittle(count),
    demandOf: settings.scheduling?.overloadAdmission
      ? service => scheduling.demandOf(service)
      : undefined,
    ...placement.parts,
  });
  const shared = {clock, logger, metrics, random, pool, host};
  const scheduling = createScheduling(settings.scheduling, shared, {
    hosts: () => hosts.length,
    waiting: () => dispatcher.waitingRequests(),
  });
  const dispatcher = new Dispatcher(pool, clock, scheduling.dispatch);
  const rolloutController = new RolloutController({
    ...{clock, logger, store, state, feed},
    router: canaryRouter,
    evaluator: canaryEvaluator,
    oldVersionRequests: (service, version) =>
      pool.loadOnOtherVersions(service, version),
    position: () =>
      peers
        .heard(clock.nowMs())
        .filter(peer => peer.host < host && peer.message?.storeReachable)
        .length,
  });
  const crashes = createCrashControl({
    ...{clock, logger, metrics},
    probe: new TcpTargetProbe(),
    isInService: entry => state.allows(entry),
    lastHeardMs: () => peers.lastHeardMs(clock.nowMs()),
    onLocalCrash: () => gossip.sendSoon(),
  });
  const reporting = {clock, metrics, decisions};
  const memory = createCallerMemory(settings.limits, reporting);
  const duties = createGatewayDuties({
    ...{clock, logger, metrics, settings, random, peers, incarnation},
    ...{pool, state, dispatcher, clients: overrides.duties},
    isLeaving: () => draining,
  });
  const requestParts: GatewayHandlerParts = {
    ...reporting,
    random,
    wire,
    dispatcher,
    pool,
    quotas,
    retryBudget,
    canaryRouter,
    canaryEvaluator,
    stats: new RouteStats(),
    crashWatch: crashes.watch,
    demand: duties.demand,
    scheduling,
    routes: () => routes,
    overdueSink: overrides.overdueSink,
    memory,
    closesAfter: (res, isRequired) => server.closesAfter(res, isRequired),
    stopsAtMs: () => stopsAtMs,
    eventDelayMs: bounds.eventDelayMs,
    openEnds: feed,
    onBegun: duties.onBegun,
    relays: overrides.relays ?? reach.relays,
    relayWay: createRelayWay(settings, wire, metrics),
  };
  const handler = new GatewayHandler(requestParts);
  const relayServer = createRelayService(settings, requestParts, handler);
  const server = new GatewayServer(settings.callers, {
    clock,
    memory,
    maxConnections: maxCallerConnections(settings.limits),
    onRequest: (req, res) => handler.handle(req, res),
    onDiscarded: req => handler.discard(req),
    onEnded: recordEnds(reporting),
  });
  const servers = relayServer ? [server, relayServer] : [server];
  const messageParts = {
    ...{settings, incarnation, clock, feed, peers, pool, quotas},
    ...{crashes, canaryEvaluator, rolloutController},
  };
  const gossip = new GossipTask({
    clock,
    ip,
    port: settings.gossipPort,
    incarnation,
    seeds: settings.seeds,
    peers,
    compose: sequence => composeMessage(messageParts, sequence, leaving),
    sections: [
      ...[...duties.sections, ...placement.sections],
      ...[...scheduling.sections, ...reach.sections],
    ],
    onRejected: address => decisions.log('gossipRejected', {address}),
  });
  const peerStateSync =
    settings.peers &&
    new PeerStateSync({
      ...{clock, logger, state, feed, peers, random},
      peerPort: settings.peers.port,
      onHosts: () => listHosts(),
    });
  const stateServers = createStateServers(
    settings,
    () => ({
      ...feed.copyState(),
      hosts: knowsHosts() ? peers.entries : undefined,
    }),
    () => metrics.render(),
  );

  declareGauges(metrics, {
    openRequests: () => handler.openRequests,
    waitingRequests: () => dispatcher.waiting,
    configurationVersion: () => routes?.configuration.version ?? 0,
    storeUnavailableMs: () => feed.outage.durationMs,
    targetsViewAgeMs: () => feed.targetsView.ageMs,
    blockedFingerprints: () => crashes.blocked.size,
    ...createBrittleGauges(pool, state, dispatcher),
    liveHosts: () => peers.heard(clock.nowMs()).length,
  });

  const isReady = () =>
    !draining && routes !== undefined && feed.offsets.targets >= 0;
  const quotaOf = (name: string) => routes?.quotaOf(name);

  const onConfiguration = () => {
    const {configuration} = state;
    if (!configuration) return;
    routes = new RouteTable(configuration);
    for (const each of servers) each.setLimits(configuration.limits);
    logger.event('configurationInForce', {
      version: configuration.version,
      routes: configuration.routes.length,
    });
  };
  const listHosts = () => {
    hosts = peers.names(clock.nowMs());
  };
  const onHosts = () => {
    for (const {host: name, ip: address, zone: place} of state.hosts.values()) {
      peers.listed(name, address, place, clock.nowMs());
    }
    listHosts();
  };
  let refreshedAtMs = -Infinity;
  let peerCount = -1;
  const refresh = () => {
    const nowMs = clock.nowMs();
    if (nowMs - refreshedAtMs < refreshIntervalMs / 2) return;
    refreshedAtMs = nowMs;
    state.expire(nowMs);
    hosts = peers.names(nowMs);
    const heard = peers.heard(nowMs);
    if (heard.length !== peerCount) {
      peerCount = heard.length;
      logger.event('peersChanged', {heard: peerCount, known: hosts.length - 1});
    }
    sharing.update(heard.length, hosts.length, nowMs);
    scheduling.check(nowMs);
    pool.retainReportsOf(new Set(heard.map(({host: name}) => name)));
    dispatcher.serveAll();
  };

  const subscriptions = [
    subscribe(state.changes, kind => {
      if (kind === 'configuration') onConfiguration();
      else if (kind === 'target') {
        pool.refresh();
        crashes.observe(state.targets.values());
      } else if (kind === 'host') onHosts();
      else if (kind === 'evacuation') {
        const zones = [...state.evacuatedZones];
        logger.event('evacuationChanged', {zones});
      }
      dispatcher.serveAll();
    }),
    subscribe(gossip.messages, ({message, composedAtMs}) => {
      const {host: from, incarnation: start, used, evidence, phases} = message;
      feed.receiveUpdate(message.feedUpdate, from, composedAtMs);
      pool.applyReports(from, message.targetReports);
      pool.applyStatements(from, message.statements, composedAtMs);
      if (message.levels)
        quotas.adoptLevels(message.levels, quotaOf, clock.nowMs());
      quotas.recordPeerUsage(from, start, used, quotaOf, clock.nowMs());
      crashes.merge(message.crashReport, composedAtMs);
      canaryEvaluator.mergeRemote(from, evidence);
      rolloutController.receivePhases(phases);
    }),
  ];
  const binding = new AbortController();
  const cancels = [() => {}];

  return {
    async start() {
      feed.start();
      const {signal} = binding;
      const bound = {server, relayServer, stateServers, gossip, wire, isReady};
      const parts = {clock, logger, signal, ...bound};
      readiness = await openAddresses(settings, parts);
      if (draining) return;
      // Hosts are read after registering, so that of two concurrent starts the later finds the other.
      void registration.add().then(() => feed.startHosts());
      peerStateSync?.start();
      handler.start();
      rolloutController.start();
      duties.start();
      cancels.push(every(clock, refreshIntervalMs, refresh), reach.start());
      if (settings.ignored?.length) {
        logger.event('settingsIgnored', {settings: settings.ignored});
      }
      logger.event('gatewayStarted', {
        startMs: Math.round(process.uptime() * 1000),
        firstStart: settings.firstStart,
      });
    },
    stop() {
      return (stopping ??= stopHost());
    },
  };

  function stopHost(): Promise<void> {
    draining = true;
    binding.abort();
    return stopGateway({
      clock,
      logger,
      stopMs: bounds.stopMs,
      servers,
      handler,
      gossip,
      registration,
      onLastRequests: endMs => {
        stopsAtMs = endMs;
      },
      onLeaving: () => {
        leaving = true;
      },
      closeAll: async () => {
        for (const cancel of cancels) cancel();
        for (const end of subscriptions) end();
        rolloutController.stop();
        await duties.stop();
        handler.stop();
        peerStateSync?.stop();
        feed.stop();
        gossip.stop();
        for (const each of stateServers) each.close();
        for (const each of servers) each.closeAll();
        readiness?.close();
        readiness?.closeAllConnections();
        await store.close();
      },
    });
  }
}
