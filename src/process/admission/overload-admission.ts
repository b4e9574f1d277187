import type {Counter} from 'prom-client';
import type {GossipSection} from '../fleet/gossip-section.js';
import type {Logger} from '../logger.js';
import type {MetricRegistry} from '../metric-registry.js';
import type {LineOrder} from '../pool/line-order.js';
import {valuePerMs, type QueueItem} from '../pool/rank-queue.js';
import type {Occupancy} from '../pool/service-capacity.js';
import {isOverloaded, spreadReturnMs} from './decide-admission.js';
import {FleetLoad, rankIndex, type LoadRequest} from './fleet-load.js';
import {LoadSection} from './load-section.js';
import {ReturnOrder} from './return-order.js';

/** Time constant of the slot time that returned requests got, in milliseconds. */
const favourDecayMs = 2500;
/**
 * Part of the slot time that returned requests get before those that can be in time: as each of them makes a request
 * late that would come back as well, a larger part would make every request late while an overload lasts.
 */
const returnPart = 0.2;
/** Time without a refusal after which an overload is over, in milliseconds. */
const overAfterMs = 2000;
/** Maximum number of organisations that metrics name. */
const maxNamed = 64;

/** A request as far as admission depends on it. */
export interface AdmissionRequest extends LoadRequest {
  /** Rank of the organisation; 0 is the most urgent. */
  readonly organisationRank: number;
  readonly organisation?: string;
  /** Latest time on the process's clock at which a slot may be assigned for the objective, in milliseconds. */
  readonly startByMs?: number;
  readonly isReturn?: boolean;
}

/** Dependencies of {@link OverloadAdmission}. */
export interface AdmissionParts {
  readonly logger: Logger;
  /** Returns the time on the process's clock, in milliseconds. */
  readonly now: () => number;
  /** Random number in [0, 1). */
  readonly random: () => number;
  /** Number of hosts that share the slots. */
  readonly hosts: () => number;
  readonly occupancy: (service: string) => Occupancy;
  /** Lists the waiting requests of this host. */
  readonly waiting: () => Iterable<AdmissionRequest>;
  /** Returns the service of an organisation as a multiple of the equal share; 0 if unknown. */
  readonly shareRatio: (
    service: string,
    organisation: string,
    nowMs: number,
  ) => number;
}

interface Overload {
  readonly beganAtMs: number;
  lastAtMs: number;
  refused: number;
}

/** Refuses at once what could not start in time, and lets refused callers return when there is room. */
export class OverloadAdmission {
  /** Part of the gossip messages. */
  readonly section: GossipSection;
  private readonly load: FleetLoad;
  private readonly favours = new Map<string, Favour>();
  private readonly overloads = new Map<string, Overload>();
  private readonly named = new Set<string>();
  private counter?: Counter<'organisation' | 'rank'>;

  /** @param parts - Dependencies. */
  constructor(private readonly parts: AdmissionParts) {
    this.load = new FleetLoad(parts.waiting);
    this.section = new LoadSection(this.load, parts.now);
  }

  /**
   * Puts returned requests into the order within the lines of a service.
   *
   * @param service - Name of the service.
   * @param inner - Order of all other requests.
   */
  createOrder<T extends QueueItem>(
    service: string,
    inner: LineOrder<T>,
  ): LineOrder<T> {
    const favour = this.favourOf(service);
    return new ReturnOrder(inner, nowMs => favour.isBelow(nowMs));
  }

  /**
   * Counts a request that asks for a slot.
   *
   * @param request - Request.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  requested(request: AdmissionRequest, nowMs: number): void {
    this.load.requested(request, nowMs);
  }

  /**
   * Counts the slot time of a request that gets a slot.
   *
   * @param request - Request.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  assigned(request: AdmissionRequest, nowMs: number): void {
    const {costMs, isReturn = false, service} = request;
    this.favourOf(service).assigned(costMs, isReturn, nowMs);
  }

  /**
   * Lists the slots that the callers of each host ask for, by name of the host.
   *
   * @param service - Name of the service.
   * @param host - Name of this host.
   */
  offeredByHost(service: string, host: string): ReadonlyMap<string, number> {
    return this.load.offeredByHost(service, host, this.parts.now());
  }

  /**
   * Decides whether a request that waits is refused at once.
   *
   * @param request - Request that is in the queue.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  refuses(request: AdmissionRequest, nowMs: number): boolean {
    const {organisation, service, isReturn = false} = request;
    const {load: taken, slots} = this.parts.occupancy(service);
    const isRefused = isOverloaded({
      slackMs: (request.startByMs ?? request.dueAtMs) - nowMs,
      isReturn,
      shareRatio:
        organisation === undefined
          ? 0
          : this.parts.shareRatio(service, organisation, nowMs),
      slots,
      taken,
      ownPart: this.load.ownPart(service, this.parts.hosts(), nowMs),
      aheadMs: this.aheadMs(request, nowMs),
      urgentSlots: this.urgentSlots(request, nowMs),
    });
    if (isRefused) this.refused(request, nowMs);
    return isRefused;
  }

  /**
   * Computes when the caller of a refused request comes back, and expects it then.
   *
   * @param request - Request that is refused.
   * @param remainingMs - Time left to its deadline, in milliseconds.
   * @param nowMs - Time on the process's clock, in milliseconds.
   * @returns Time in milliseconds.
   */
  returnMs(
    {service, costMs, isReturn}: AdmissionRequest,
    remainingMs: number,
    nowMs: number,
  ): number {
    const {slots} = this.parts.occupancy(service);
    const fleet = this.load.sumAt(service, nowMs);
    const random = this.parts.random();
    const afterMs = spreadReturnMs({fleet, slots, remainingMs, random});
    if (!isReturn) this.load.refused(service, costMs, nowMs + afterMs, nowMs);
    return afterMs;
  }

  /**
   * Reports the end of overloads.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  check(nowMs: number): void {
    for (const [service, overload] of this.overloads) {
      if (nowMs - overload.lastAtMs < overAfterMs) continue;
      this.overloads.delete(service);
      this.parts.logger.event('overloadEnded', {
        ...this.figures(service, nowMs),
        forMs: Math.round(overload.lastAtMs - overload.beganAtMs),
        refused: overload.refused,
      });
    }
  }

  /**
   * Declares the metrics.
   *
   * @param metrics - Registry to declare them in.
   */
  declareMetrics(metrics: MetricRegistry): void {
    this.counter = metrics.counter(
      'guavaseam_gateway_overload_refusals_total',
      'Requests refused because they could not start in time, by organisation and rank',
      ['organisation', 'rank'],
    );
  }

  private aheadMs(request: AdmissionRequest, nowMs: number): number {
    const value = valuePerMs(request);
    let aheadMs = 0;
    for (const other of this.parts.waiting()) {
      if (other === request || other.service !== request.service) continue;
      if (other.dueAtMs <= nowMs) continue;
      if (valuePerMs(other) < value) continue;
      aheadMs += other.costMs;
    }
    return aheadMs;
  }

  /** Slots that requests of more valuable ranks take over all hosts. */
  private urgentSlots(request: AdmissionRequest, nowMs: number): number {
    const {service, rank} = request;
    const {offeredSlots} = this.load.sumAt(service, nowMs);
    const value = valuePerMs(request);
    let slots = 0;
    for (const [other, mean] of this.load.meansOf(service)) {
      if (other === rankIndex(rank)) continue;
      const item = {...request, rank: other, costMs: mean};
      if (valuePerMs(item) > value) slots += offeredSlots[other];
    }
    return slots;
  }

  private refused(request: AdmissionRequest, nowMs: number): void {
    const {organisation = '', rank, service} = request;
    const isNamed = this.named.has(organisation) || this.named.size < maxNamed;
    if (isNamed) this.named.add(organisation);
    this.counter?.inc({
      organisation: isNamed ? organisation : '',
      rank: String(rankIndex(rank)),
    });
    const known = this.overloads.get(service);
    if (known) {
      known.lastAtMs = nowMs;
      known.refused++;
      return;
    }
    this.overloads.set(service, {
      beganAtMs: nowMs,
      lastAtMs: nowMs,
      refused: 1,
    });
    const figures = this.figures(service, nowMs);
    this.parts.logger.event('overloadBegan', figures);
  }

  private figures(service: string, nowMs: number) {
    const fleet = this.load.sumAt(service, nowMs);
    const {load, slots} = this.parts.occupancy(service);
    return {
      service,
      load,
      slots,
      offeredSlots: fleet.offeredSlots.map(Math.round),
      waitingMs: fleet.waitingMs.map(Math.round),
      returningMs: Math.round(fleet.returningMs),
      hosts: this.load.heard + 1,
    };
  }

  private favourOf(service: string): Favour {
    let favour = this.favours.get(service);
    if (!favour) {
      favour = new Favour();
      this.favours.set(service, favour);
    }
    return favour;
  }
}

/** Slot time that this host gave to returned requests and to all, decayed. */
class Favour {
  private returnedMs = 0;
  private allMs = 0;
  private atMs = 0;

  assigned(costMs: number, isReturn: boolean, nowMs: number): void {
    this.decay(nowMs);
    this.allMs += costMs;
    if (isReturn) this.returnedMs += costMs;
  }

  isBelow(nowMs: number): boolean {
    this.decay(nowMs);
    return this.returnedMs <= this.allMs * returnPart;
  }

  private decay(nowMs: number): void {
    const factor = Math.exp((this.atMs - nowMs) / favourDecayMs);
    this.atMs = nowMs;
    this.returnedMs *= factor;
    this.allMs *= factor;
  }
}
