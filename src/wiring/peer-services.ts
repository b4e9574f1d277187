import {
  GrpcAttemptStatusSource,
  serveAttemptStatus,
} from '../connection/peer/attempt-status-calls.js';
import {
  GrpcClaimTransport,
  serveClaims,
} from '../connection/peer/claim-calls.js';
import type {PeerChannels} from '../connection/peer/peer-channels.js';
import {CrashGossip} from '../connection/peer/crash-gossip.js';
import {PeerCalls} from '../connection/peer/peer-calls.js';
import type {PeerCredentials} from '../connection/peer/peer-credentials.js';
import type {PeerServer} from '../connection/peer/peer-server.js';
import {
  GrpcPeerSnapshots,
  serveSnapshots,
} from '../connection/peer/snapshot-calls.js';
import type {LogClient} from '../connection/platform/log-client.js';
import type {Cancel, Clock} from '../process/clock.js';
import type {Logger} from '../process/logger.js';
import type {MemberView} from '../process/member-view.js';
import type {MembershipTask} from '../process/membership/membership-task.js';
import type {PeerTransport} from '../process/membership/peer-transport.js';
import type {Metrics} from '../process/metrics.js';
import type {Settings} from '../process/settings.js';
import type {RandomSource} from '../request/backoff.js';
import {CrashEvidence} from '../process/crashes/crash-evidence.js';
import {
  claimAppendsPerSecond,
  LocalClaimSubmitter,
} from '../version/claims/claim-submitter.js';
import {
  claimLedgerRetentionMs,
  LogClaimGate,
} from '../version/claims/log-claim-gate.js';
import {RoutedClaimSubmitter} from '../version/claims/routed-claim-submitter.js';
import type {ConfigState} from '../version/config-state.js';
import type {PeerSnapshots} from '../version/snapshots/snapshot-loader.js';

/**
 * Share of the fleet's claim appends that is divided equally, for claims that hosts write
 * themselves; the rest is divided by the partitions that each host owns.
 */
const fallbackShare = 0.2;

/** Parts that {@link createPeerServices} connects. */
export interface PeerServicesParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly random: RandomSource;
  readonly log: LogClient;
  readonly members: MemberView;
  readonly membership: MembershipTask;
  readonly transport: PeerTransport;
  readonly channels: PeerChannels;
  readonly mode: PeerCredentials['mode'];
  readonly server: PeerServer;
  readonly config: () => ConfigState;
  /** Whether the configuration is complete. */
  readonly ready: () => boolean;
}

/** What hosts do for each other by unary calls. */
export interface PeerServices {
  readonly claims: LogClaimGate;
  readonly crashEvidence: CrashEvidence;
  readonly snapshots: PeerSnapshots;

  /** Starts the exchange with the linked hosts. */
  start(): void;

  /** Gives up what is undecided: this host was paused or taken for dead. */
  selfPaused(): void;

  /**
   * Waits until the abandoned claims are released. A claim without its release makes
   * resends `outcome-unknown` although the request was not run.
   *
   * @param boundMs - Longest wait, in milliseconds.
   * @returns Claims that are still not released.
   */
  drain(boundMs: number): Promise<number>;

  /** Ends the writing of claims and the exchange. */
  stop(): void;
}

/**
 * Connects claims and snapshots to the other hosts. To be called before the peer server listens.
 *
 * @param settings - Settings of the host.
 * @param parts - Parts of the process.
 * @returns The services.
 */
export function createPeerServices(
  settings: Settings,
  parts: PeerServicesParts,
): PeerServices {
  const {clock, logger, metrics, random, log, members, channels} = parts;
  const {fleet, host, claims} = settings;
  const calls = new PeerCalls({
    fleet,
    host,
    clock,
    mode: parts.mode,
    client: id => {
      const member = members.live().find(other => other.id === id);
      return member && channels.get(member.peerAddress);
    },
    onRejected: (peer, reason) => logger.event('linkRejected', {peer, reason}),
  });
  const local: LocalClaimSubmitter = new LocalClaimSubmitter({
    log,
    clock,
    random,
    ledgerRetentionMs: claimLedgerRetentionMs(claims.retentionMs),
    appendsPerSecond: () => {
      const equal = fallbackShare / members.live().length;
      const owned = (1 - fallbackShare) * submitter.ownedShare;
      return claimAppendsPerSecond * (equal + owned);
    },
  });
  const submitter = new RoutedClaimSubmitter({
    members,
    transport: new GrpcClaimTransport(calls),
    local,
    clock,
    random,
    partitions: claims.partitions,
  });
  const gate = new LogClaimGate({
    host,
    clock,
    submitter,
    statusSource: new GrpcAttemptStatusSource(calls),
    ...claims,
  });
  serveClaims(calls, local, claims.partitions);
  serveAttemptStatus(calls, holder => gate.getAttemptStatus(holder));
  serveSnapshots(calls, parts, host);
  calls.serve(parts.server);
  metrics.gauge(
    'guavaseam_claim_appends_total',
    'Records appended to claim streams by this host',
    () => local.appends,
  );
  metrics.gauge(
    'guavaseam_claim_keys',
    'Idempotency keys remembered by this host',
    () => local.keys,
  );
  metrics.gauge(
    'guavaseam_claim_fallbacks_total',
    'Claims that this host wrote itself because the owner of the partition did not decide them',
    () => submitter.fallbacks,
  );
  const crashEvidence = new CrashEvidence();
  const crashGossip = new CrashGossip(crashEvidence, {
    clock,
    transport: parts.transport,
    neighbours: () => parts.membership.neighbours,
  });
  return {
    claims: gate,
    crashEvidence,
    start: () => crashGossip.start(),
    snapshots: new GrpcPeerSnapshots(calls, members),
    selfPaused: () => submitter.selfPaused(),
    async drain(boundMs) {
      let cancel: Cancel = () => {};
      const bound = new Promise<void>(resolve => {
        cancel = clock.after(boundMs, resolve);
      });
      await Promise.race([gate.released(), bound]);
      cancel();
      return gate.pendingReleases;
    },
    stop() {
      crashGossip.stop();
      submitter.stop();
      local.stop();
    },
  };
}
