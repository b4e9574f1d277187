import type {Clock} from '../clock.js';
import type {GossipSection} from '../fleet/gossip-section.js';
import type {Logger} from '../logger.js';
import type {MetricRegistry} from '../metric-registry.js';
import {ArrivalOrder, type LineOrder} from '../pool/line-order.js';
import type {QueueItem} from '../pool/rank-queue.js';
import type {Occupancy} from '../pool/service-capacity.js';
import type {HostDemand} from '../pool/weighted-slot-shares.js';
import {noScheduling, type SchedulingSettings} from '../scheduling-settings.js';
import {OrganisationShares} from '../shares/organisation-shares.js';
import {
  OverloadAdmission,
  type AdmissionRequest,
} from './overload-admission.js';

/** What the order and admission of requests use of a host. */
export interface SchedulingHost {
  /** Name of the host. */
  readonly host: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: MetricRegistry;
  readonly random: () => number;
  readonly pool: {occupancy(service: string): Occupancy};
}

/** What they ask of a host. */
export interface SchedulingSources {
  /** Returns the number of hosts that share the slots. */
  readonly hosts: () => number;
  /** Lists the waiting requests of this host. */
  readonly waiting: () => Iterable<AdmissionRequest>;
}

/** Order and admission of requests, as far as the deployment asks for them. */
export interface Scheduling {
  readonly shares?: OrganisationShares;
  readonly admission?: OverloadAdmission;
  /** Parts of the gossip messages. */
  readonly sections: readonly GossipSection[];
  /** How the dispatcher orders requests, and what it reports. */
  readonly dispatch: {
    readonly createOrder: <T extends QueueItem>(
      service: string,
    ) => LineOrder<T>;
    readonly onRequested: (request: AdmissionRequest, nowMs: number) => void;
    readonly onAssigned: (request: AdmissionRequest, nowMs: number) => void;
  };
  /** Looks up the slots of a service that the callers of each host ask for. */
  readonly demandOf: (service: string) => HostDemand;
  /** Reports what begins and ends; called often. */
  readonly check: (nowMs: number) => void;
}

/**
 * Creates the parts of the scheduler that order and admit requests, as far as the deployment asks for them.
 *
 * @param settings - Settings of the scheduler.
 * @param host - Components of the host.
 * @param sources - What they ask of the host.
 * @returns The parts and how they are connected; they do nothing if the deployment asks for none.
 */
export function createScheduling(
  settings: SchedulingSettings = noScheduling,
  {clock, host, logger, metrics, random, pool}: SchedulingHost,
  {hosts, waiting}: SchedulingSources,
): Scheduling {
  const now = () => clock.nowMs();
  const shares = settings.organisationShares
    ? new OrganisationShares({logger, now, waiting})
    : undefined;
  shares?.declareMetrics(metrics);
  const admission = settings.overloadAdmission
    ? new OverloadAdmission({
        logger,
        now,
        random,
        hosts,
        occupancy: service => pool.occupancy(service),
        waiting,
        shareRatio: (service, organisation, nowMs) =>
          shares?.ratio(service, organisation, nowMs) ?? 0,
      })
    : undefined;
  admission?.declareMetrics(metrics);
  return {
    shares,
    admission,
    sections: [shares?.section, admission?.section].flatMap(section =>
      section ? [section] : [],
    ),
    dispatch: {
      createOrder: <T extends QueueItem>(service: string) => {
        const order = shares?.createOrder<T>(service) ?? new ArrivalOrder<T>();
        return admission?.createOrder(service, order) ?? order;
      },
      onRequested: (request, nowMs) => admission?.requested(request, nowMs),
      onAssigned: (request, nowMs) => {
        shares?.assigned(request, nowMs);
        admission?.assigned(request, nowMs);
      },
    },
    demandOf: service =>
      admission?.offeredByHost(service, host) ?? new Map<string, number>(),
    check: nowMs => {
      shares?.check(nowMs);
      admission?.check(nowMs);
    },
  };
}
