import type {StateFeed} from '../../version/deployment/state-feed.js';
import type {CanaryEvaluator} from '../../version/deployment/canary-evaluator.js';
import type {RolloutController} from '../../version/deployment/rollout-controller.js';
import type {Clock} from '../clock.js';
import type {CrashControl} from '../crashes/crash-control.js';
import type {GatewaySettings} from '../gateway-settings.js';
import type {QuotaBuckets} from '../limits/quota-buckets.js';
import type {TargetPool} from '../pool/target-pool.js';
import type {GossipMessage} from './gossip-message.js';
import type {PeerTable} from './peer-table.js';

/** State of a host that its gossip messages report. */
export interface MessageParts {
  readonly settings: Pick<GatewaySettings, 'host' | 'ip' | 'zone'>;
  /** Unix time at which the host started, in milliseconds. */
  readonly incarnation: number;
  readonly clock: Clock;
  readonly feed: StateFeed;
  readonly peers: PeerTable;
  readonly pool: TargetPool;
  readonly quotas: QuotaBuckets;
  readonly crashes: CrashControl;
  readonly canaryEvaluator: CanaryEvaluator;
  readonly rolloutController: RolloutController;
}

/**
 * Composes the current gossip message of a host.
 *
 * @param parts - State to report.
 * @param sequence - Number of the message within the incarnation.
 * @param leaving - Whether the host is about to stop permanently.
 * @returns The message, without the sections of features.
 */
export function composeMessage(
  parts: MessageParts,
  sequence: number,
  leaving: boolean,
): GossipMessage {
  const {canaryEvaluator, clock, crashes, feed, peers, pool, quotas} = parts;
  const {host, ip, zone} = parts.settings;
  const nowMs = clock.nowMs();
  const hasStarted = peers.hasRecentlyStarted(nowMs);
  return {
    host,
    ip,
    zone,
    incarnation: parts.incarnation,
    sequence,
    sentAtMs: nowMs,
    leaving,
    storeReachable: feed.outage.durationMs === 0,
    feedUpdate: feed.composeUpdate(),
    targetReports: pool.takeReports(hasStarted),
    statements: pool.reportStatements(),
    used: Object.fromEntries(quotas.totals),
    levels: quotas.settled && hasStarted ? quotas.levels(nowMs) : undefined,
    crashReport: crashes.report(),
    evidence: canaryEvaluator.localEvidence,
    phases: parts.rolloutController.phases,
  };
}
