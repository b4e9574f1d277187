import {CallerServer} from './connection/caller/caller-server.js';
import {HealthHandler} from './connection/caller/health-handler.js';
import {UnknownPathHandler} from './connection/caller/unknown-path-handler.js';
import {HttpLogClient} from './connection/platform/http-log-client.js';
import type {LogClient} from './connection/platform/log-client.js';
import {LogFollower} from './connection/platform/log-follower.js';
import {TargetClients} from './connection/target/target-clients.js';
import {SystemClock, type Clock} from './process/clock.js';
import {Logger} from './process/logger.js';
import {Metrics} from './process/metrics.js';
import type {Settings} from './process/settings.js';
import {subscribe} from './process/subject.js';
import type {RandomSource} from './request/backoff.js';
import {LocalClaimGate} from './request/claim-gate.js';
import {CostEstimator} from './request/cost-estimator.js';
import {CrashEvidence} from './request/crash-evidence.js';
import {LocalDispatcher} from './request/local-dispatcher.js';
import {loadPrefixHasher, type PrefixHasher} from './request/prefix-hashes.js';
import {RequestHandler} from './request/request-handler.js';
import {TokenBucketRetryBudget} from './request/retry-budget.js';
import {listResources} from './version/config-state.js';
import {ConfigStore, configStream} from './version/config-store.js';

/** Parts that a caller of {@link createHost} may replace. */
export interface HostParts {
  readonly clock?: Clock;
  readonly log?: LogClient;
  readonly logger?: Logger;
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
   * @returns The port for callers.
   */
  start(): Promise<{callersPort: number}>;

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
  const follower = new LogFollower(log, configStream, clock);
  const targets = new TargetClients();
  let prefixHasher: PrefixHasher | undefined;
  const dispatcher = new LocalDispatcher(() => store.state, clock);
  let ready = false;
  const server = new CallerServer(
    settings.callers,
    {clock, logger, metrics},
    [
      new HealthHandler(metrics, () => ready),
      new RequestHandler({
        host: settings.host,
        clock,
        metrics,
        logger,
        dispatcher,
        config: () => store.state,
        client: (target, type) => targets.get(target, type),
        random: parts.random ?? Math.random,
        retryBudget: new TokenBucketRetryBudget(),
        crashEvidence: new CrashEvidence(),
        claims: new LocalClaimGate(clock, {
          retentionMs: settings.claims.retentionMs,
        }),
        costs: new CostEstimator(),
        prefixes: () => prefixHasher,
        maxBodyBytes: settings.callers.maxBodyBytes,
      }),
    ],
    new UnknownPathHandler(metrics),
  );

  const unsubscribeTargets = subscribe(store.changes, ({record, state}) => {
    if (record.kind !== 'target') return;
    const declared = listResources(state, 'target');
    targets.retain(new Set(declared.map(({spec}) => spec.address)));
  });
  const unsubscribe = subscribe(follower.events, event => {
    if (event.kind !== 'records') return;
    store.post({kind: 'records', records: event.records});
    if (store.state.offset >= event.next) ready = true;
  });

  return {
    metrics,
    async start() {
      prefixHasher = await loadPrefixHasher();
      const callersPort = await server.listen();
      follower.start(() => store.state.offset);
      logger.event('hostStarted', {callersPort});
      return {callersPort};
    },
    async stop() {
      ready = false;
      logger.event('drainStarted');
      const broken = await server.close(settings.drainMs);
      if (broken > 0) logger.event('drainTimedOut', {requests: broken});
      follower.stop();
      unsubscribe();
      unsubscribeTargets();
      await targets.close();
      await ownLog?.close();
      logger.event('drainFinished');
    },
  };
}
