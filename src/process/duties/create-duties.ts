import {randomUUID} from 'node:crypto';
import type {Clock} from '../clock.js';
import {gossipIntervalMs} from '../fleet/gossip-interval.js';
import type {GossipSection} from '../fleet/gossip-section.js';
import {rendezvousRank} from '../fleet/rendezvous.js';
import type {GatewayMetrics} from '../gateway-metrics.js';
import type {GatewaySettings} from '../gateway-settings.js';
import type {Logger} from '../logger.js';
import {CallPace} from './call-pace.js';
import {Candidacy, candidacyItem} from './candidacy.js';
import {DutyHolder} from './duty-holder.js';
import {DutyLease, leaseTimes} from './duty-lease.js';
import type {DutyLog} from './duty-log.js';
import {DutyMetrics} from './duty-metrics.js';
import type {DutyPlatform} from './duty-platform.js';
import {isWeakHost} from './duty-settings.js';
import type {DutyTask} from './duty-task.js';
import {HolderSection} from './holder-section.js';
import {LogRetry} from './log-retry.js';

/** Time without a message of the holder after which it counts as unknown: in milliseconds, and in its messages. */
const minSilenceMs = 2000;
const silentMessages = 3;
/** Multiple of the time of a takeover that a weak host waits longer. */
const reserveFactor = 2;

/** Clients that the platform provides for the duties. */
export interface DutyClients {
  readonly log: DutyLog;
  readonly platform: DutyPlatform;
}

/** Dependencies of the duties of a host. */
export interface DutiesParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly settings: GatewaySettings;
  /** Absent in a deployment without duties. */
  readonly clients?: DutyClients;
  /** Random number in [0, 1). */
  readonly random: () => number;
  /** Names of the other hosts from which messages were received recently. */
  readonly peers: () => readonly string[];
  /** Whether this host stops and so takes over no duties. */
  readonly isLeaving: () => boolean;
  /** Duties to perform while this host holds them, in order. */
  readonly tasks: readonly DutyTask[];
}

/** The duties of a host towards the platform. */
export interface Duties {
  /** Name of the host that holds the duties, this one included; `undefined` if none is known. */
  holder(): string | undefined;
  /** Parts of the messages between hosts; empty in a deployment without duties. */
  readonly sections: readonly GossipSection[];
  start(): void;
  stop(): Promise<void>;
}

/**
 * Creates the part of a host that agrees with the others on who performs the duties towards the platform, and that
 * performs them while this host is the one.
 *
 * @param parts - Dependencies.
 * @returns The duties; without effect in a deployment that has none.
 */
export function createDuties(parts: DutiesParts): Duties {
  const {clients, clock, logger, peers, random, settings} = parts;
  const {dutyProblems: problems, host, strength = {}} = settings;
  if (problems) logger.event('dutySettingsInvalid', {problems});
  if (!settings.duties || !clients) {
    return {
      holder: () => undefined,
      sections: [],
      start: () => {},
      stop: async () => {},
    };
  }
  const {callsPerS, leaseMs, thawMs} = settings.duties;
  const lease = new DutyLease(leaseTimes(leaseMs, thawMs));
  const metrics = new DutyMetrics(parts.metrics, () => lease.token);
  const section = new HolderSection({
    clock,
    silenceMs: () =>
      Math.max(minSilenceMs, silentMessages * gossipIntervalMs(peers().length)),
    own: () => lease.stated({nowMs: clock.nowMs(), wallMs: clock.wallMs()}),
    onHeard: stated => lease.heard(stated, clock.nowMs()),
  });
  const {takeoverMs} = lease.times;
  const holder = new DutyHolder({
    ...{clock, logger, metrics, host, lease, ...clients},
    candidacy: new Candidacy({
      startMs: clock.nowMs(),
      reserveMs: isWeakHost(strength) ? reserveFactor * takeoverMs : 0,
      random,
    }),
    retry: new LogRetry(logger, metrics, random),
    pace: new CallPace(callsPerS),
    tasks: parts.tasks,
    rank: () => rendezvousRank(candidacyItem, host, peers()),
    hearsHolder: () => section.holder !== undefined,
    isLeaving: parts.isLeaving,
    nonce: randomUUID,
  });
  return {
    holder: () => (lease.token === undefined ? section.holder : host),
    sections: [section],
    start: () => holder.start(),
    stop: () => holder.stop(),
  };
}
