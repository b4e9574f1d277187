import type {Clock} from '../clock.js';
import type {DutyTask} from '../duties/duty-task.js';
import type {GossipSection} from '../fleet/gossip-section.js';
import type {PeerTable} from '../fleet/peer-table.js';
import type {GatewayMetrics} from '../gateway-metrics.js';
import type {GatewaySettings} from '../gateway-settings.js';
import type {Logger} from '../logger.js';
import {ClockVotes} from './clock-votes.js';
import {chooseDeputy} from './deputy-choice.js';
import {UsageCounter} from './usage-counter.js';
import {UsageDuty} from './usage-duty.js';
import {UsageMetrics} from './usage-metrics.js';
import {UsagePlan} from './usage-plan.js';
import {UsageReportSection} from './usage-section.js';
import {UsageSums} from './usage-sums.js';
import {windowAt} from './usage-window.js';
import {WindowTime} from './window-time.js';

/** Dependencies of the usage reports. */
export interface UsageParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly settings: Pick<GatewaySettings, 'host' | 'zone' | 'duties'>;
  readonly peers: PeerTable;
  /** Unix time at which this host started, in milliseconds. */
  readonly incarnation: number;
  /** Name of the host that holds the duties, if it is known. */
  readonly holder: () => string | undefined;
}

/** The usage reports of a host. */
export interface Usage {
  /** Parts of the messages between hosts; empty where the reports are not asked for. */
  readonly sections: readonly GossipSection[];
  readonly tasks: readonly DutyTask[];
  /**
   * Counts a request that a target began; absent where the reports are not asked for.
   *
   * @param organisation - Name of the organisation.
   * @param atMs - Monotonic time at which it began, in milliseconds.
   */
  readonly onBegun?: (organisation: string, atMs: number) => void;
}

/**
 * Creates the usage reports of a host.
 *
 * @param parts - Dependencies.
 */
export function createUsage(parts: UsageParts): Usage {
  const {clock, logger, peers, settings, incarnation, holder} = parts;
  const {host, zone, duties} = settings;
  const timing = duties?.usage;
  if (!timing) return {sections: [], tasks: []};
  const {windowMs} = timing;
  const time = new WindowTime(clock.wallMs(), clock.nowMs());
  const votes = new ClockVotes();
  const startMs = time.trueMs(clock.nowMs());
  const counter = new UsageCounter(windowAt(startMs, windowMs));
  const sums = new UsageSums();
  const plan = new UsagePlan(timing);
  const shared = {host, clock, time, votes, counter, sums, plan};
  const section = new UsageReportSection({
    ...shared,
    windowMs,
    holder,
    chooseDeputy: () => chooseDeputy(zone, peers.heard(clock.nowMs())),
  });
  const task = new UsageDuty({
    ...shared,
    timing,
    incarnation,
    logger,
    metrics: new UsageMetrics(parts.metrics),
    live: () => peers.heard(clock.nowMs()).map(({host: name}) => name),
    others: () => peers.names(clock.nowMs()).filter(name => name !== host),
  });
  return {
    sections: [section],
    tasks: [task],
    onBegun: (organisation, atMs) =>
      counter.count(organisation, windowAt(time.trueMs(atMs), windowMs)),
  };
}
