import type {Logger} from '../logger.js';
import type {PooledTarget} from '../pool/pooled-target.js';
import {ServiceTransfers} from './service-transfers.js';
import {
  planTransfers,
  type TransferPlan,
  type ZoneFigures,
} from './transfer-plan.js';
import type {ZoneDemand} from './zone-demand.js';
import {figuresOf} from './zone-figures.js';

/** Why a request leaves its zone. */
export const leaveReasons = {
  /** The zone's load is beyond what its own targets can carry. */
  planned: 'planned',
  /** The request would miss its objective or its deadline at home, and not in the other zone. */
  urgent: 'urgent',
  /** No target of the zone may run it. */
  homeless: 'homeless',
} as const;

/** One of {@link leaveReasons}. */
export type LeaveReason = (typeof leaveReasons)[keyof typeof leaveReasons];

/** Time for which a plan is in force, in milliseconds. */
const planMs = 100;
/** Minimum time between two log lines about one service, in milliseconds. */
const logIntervalMs = 1000;
/** Usage of its slots from which a zone gets no urgent request either. */
const maxUrgentUsage = 0.9;

/** Plan for a service, with what is known of the zones. */
export interface ServicePlan extends TransferPlan {
  readonly figures: ReadonlyMap<string, ZoneFigures>;
  /** Plan that each zone has by these figures once it is confirmed, by zone. */
  readonly ofZones: ReadonlyMap<string, TransferPlan>;
}

interface ServiceState {
  readonly transfers: ServiceTransfers;
  plan: ServicePlan;
  plannedAtMs: number;
  /** Whether the last log line said that requests leave, and the monotonic time of that line. */
  loggedSends: boolean;
  loggedAtMs: number;
}

/** Counts a request that leaves the zone, with the bytes of its body. */
export type CountLeaving = (reason: LeaveReason, bytes: number) => void;

/** Decides how many requests leave the zone of this host, and where to. */
export class ZoneTransfers {
  private readonly services = new Map<string, ServiceState>();
  private readonly heardAtMs = new Map<string, number>();

  /**
   * @param zone - Zone of this host.
   * @param demand - Offered load by zone.
   * @param logger - Logger of the process.
   * @param count - Counts requests that leave.
   */
  constructor(
    readonly zone: string,
    private readonly demand: ZoneDemand,
    private readonly logger: Logger,
    private readonly count: CountLeaving,
  ) {}

  /**
   * Adds a request of a caller to the load that the zone's callers offer.
   *
   * @param service - Name of its service.
   * @param costMs - Time for which it will occupy a slot, in milliseconds.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  offered(service: string, costMs: number, nowMs: number): void {
    this.demand.add(service, costMs, nowMs);
  }

  /**
   * Records that a target responded, so that its zone is not cut off.
   *
   * @param zone - Zone of the target.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  heard(zone: string, nowMs: number): void {
    this.heardAtMs.set(zone, nowMs);
  }

  /**
   * Looks up the zone of a host.
   *
   * @param host - Name of the host.
   * @returns Its zone; `undefined` if it was not heard.
   */
  zoneOf(host: string): string | undefined {
    return this.demand.zoneOf(host);
  }

  /**
   * Computes the share of the requests of a service that leave one zone for another one. All hosts compute it from the
   * same figures, so they agree on it.
   *
   * @param service - Name of the service.
   * @param from - Zone of the callers.
   * @param to - Zone of the targets.
   * @returns Share from 0 to 1.
   */
  flow(service: string, from: string, to: string): number {
    const plan = this.services.get(service)?.plan.ofZones.get(from);
    return plan ? plan.fraction * (plan.shares.get(to) ?? 0) : 0;
  }

  /**
   * Looks up the plan for a service; computes it again at intervals.
   *
   * @param service - Name of the service.
   * @param targets - Lists its targets that take requests; called only if the plan is computed.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  planFor(
    service: string,
    targets: () => Iterable<PooledTarget>,
    nowMs: number,
  ): ServicePlan {
    const known = this.services.get(service);
    if (known && nowMs - known.plannedAtMs < planMs) return known.plan;
    const {maxAgeMs} = this.demand;
    const figures = figuresOf(
      [...targets()],
      this.demand.sums(service, nowMs),
      this.heardAtMs,
      nowMs,
      maxAgeMs,
    );
    const transfers = known?.transfers ?? new ServiceTransfers(this.zone);
    const plan = {
      ...transfers.update(figures, nowMs, maxAgeMs),
      figures: new Map(figures.map(zone => [zone.zone, zone])),
      ofZones: new Map(
        figures.map(({zone}) => [zone, planTransfers(zone, figures)]),
      ),
    };
    const state: ServiceState = {
      transfers,
      plan,
      plannedAtMs: nowMs,
      loggedSends: known?.loggedSends ?? false,
      loggedAtMs: known?.loggedAtMs ?? -Infinity,
    };
    this.services.set(service, state);
    this.log(service, state, nowMs);
    return plan;
  }

  /**
   * Checks whether the next request of a service may leave by the plan.
   *
   * @param service - Name of the service, which has a plan.
   */
  mayLeave(service: string): boolean {
    const state = this.services.get(service);
    if (!state) return false;
    return state.transfers.counter.mayLeave(state.plan.fraction);
  }

  /**
   * Lists the zones to which requests may leave by the plan, the next one in turn first.
   *
   * @param service - Name of the service, which has a plan.
   */
  turns(service: string): string[] {
    const state = this.services.get(service);
    return state ? state.transfers.counter.turns(state.plan.shares) : [];
  }

  /**
   * Checks whether a zone has free slots for a request that cannot wait at home.
   *
   * @param plan - Plan for the request's service.
   * @param zone - Other zone.
   */
  isOpen({figures}: ServicePlan, zone: string): boolean {
    const home = figures.get(this.zone)?.usage ?? 1;
    const other = figures.get(zone);
    if (!other || other.isCut) return false;
    return other.usage < Math.min(maxUrgentUsage, home);
  }

  /**
   * Counts a request that was placed.
   *
   * @param service - Name of its service, which has a plan.
   * @param left - Zone to which it left, why, and the bytes of its body; absent if it stayed.
   */
  placed(
    service: string,
    left?: {
      readonly zone: string;
      readonly reason: LeaveReason;
      readonly bytes: number;
    },
  ): void {
    const state = this.services.get(service);
    const {fraction, shares} = state?.plan ?? {fraction: 0, shares: new Map()};
    state?.transfers.counter.placed(fraction, shares, left?.zone);
    if (left) this.count(left.reason, left.bytes);
  }

  /** Logs that requests begin or cease to leave. */
  private log(service: string, state: ServiceState, nowMs: number): void {
    const {fraction, isHomeless, shares} = state.plan;
    const sends = fraction > 0;
    if (sends === state.loggedSends) return;
    if (nowMs - state.loggedAtMs < logIntervalMs) return;
    state.loggedSends = sends;
    state.loggedAtMs = nowMs;
    const round = (value: number) => Math.round(value * 100) / 100;
    if (!sends) return this.logger.event('zoneTransfersEnded', {service});
    this.logger.event('zoneTransfersBegun', {
      service,
      reason: isHomeless ? leaveReasons.homeless : leaveReasons.planned,
      fraction: round(fraction),
      zones: Object.fromEntries(
        [...shares].map(([zone, share]) => [zone, round(share)]),
      ),
    });
  }
}
