import {Gauge} from 'prom-client';
import type {GossipSection} from '../fleet/gossip-section.js';
import type {Logger} from '../logger.js';
import type {MetricRegistry} from '../metric-registry.js';
import type {LineOrder} from '../pool/line-order.js';
import type {QueueItem} from '../pool/rank-queue.js';
import {ServiceLevels} from './service-levels.js';
import {ShareOrder, shareTolerance} from './share-order.js';
import {SharesSection, shortKey} from './shares-section.js';

/** Interval at which it is checked which organisations are over their share, in milliseconds. */
const checkIntervalMs = 1000;
/** Multiple of the equal share from which an organisation with waiting requests is reported as over it. */
const overRatio = 2 * shareTolerance;
/** Maximum number of organisations per service that metrics and logs name. */
const maxNamed = 64;

/** A request as far as shares depend on it. */
export interface SharedRequest {
  readonly service: string;
  readonly organisation?: string;
  /** Expected time for which it occupies a slot, in milliseconds. */
  readonly costMs: number;
}

/** Dependencies of {@link OrganisationShares}. */
export interface SharesParts {
  readonly logger: Logger;
  /** Returns the time on the process's clock, in milliseconds. */
  readonly now: () => number;
  /** Lists the waiting requests of this host. */
  readonly waiting: () => Iterable<SharedRequest>;
}

/** Divides scarce slots evenly between organisations, by the service that all hosts report. */
export class OrganisationShares {
  /** Part of the gossip messages. */
  readonly section: GossipSection;
  private readonly levels: ServiceLevels;
  /** Organisations by service that this host has served, by the key that messages contain. */
  private readonly named = new Map<string, Map<string, string>>();
  private readonly over = new Set<string>();
  private checkedAtMs = -Infinity;

  /** @param parts - Dependencies. */
  constructor(private readonly parts: SharesParts) {
    this.levels = new ServiceLevels(parts.now());
    this.section = new SharesSection(this.levels, parts.now);
  }

  /**
   * Creates the order within the lines of a service.
   *
   * @param service - Name of the service.
   */
  createOrder<T extends QueueItem>(service: string): LineOrder<T> {
    return new ShareOrder((organisation, nowMs) =>
      this.ratio(service, organisation, nowMs),
    );
  }

  /**
   * Compares the service of an organisation with an equal share.
   *
   * @param service - Name of the service.
   * @param organisation - Name of the organisation.
   * @param nowMs - Time on the process's clock, in milliseconds.
   * @returns Multiple of the equal share; 0 without service.
   */
  ratio(service: string, organisation: string, nowMs: number): number {
    const key = shortKey(organisation);
    return this.levels.shareRatio(shortKey(service), key, nowMs);
  }

  /**
   * Charges the expected slot time of a request that gets a slot.
   *
   * @param request - Request.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  assigned(request: SharedRequest, nowMs: number): void {
    const {service, organisation, costMs} = request;
    if (organisation === undefined) return;
    const key = shortKey(organisation);
    this.levels.add(shortKey(service), key, costMs, nowMs);
    let names = this.named.get(service);
    if (!names) {
      names = new Map();
      this.named.set(service, names);
    }
    if (names.size < maxNamed) names.set(key, organisation);
  }

  /**
   * Corrects the charge of a request once the time for which it occupied its slot is known.
   *
   * @param request - Request, with the expected time that was charged.
   * @param tookMs - Time for which it occupied the slot, in milliseconds.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  released(
    {service, organisation, costMs}: SharedRequest,
    tookMs: number,
    nowMs: number,
  ): void {
    if (organisation === undefined) return;
    const key = shortKey(organisation);
    this.levels.add(shortKey(service), key, tookMs - costMs, nowMs);
  }

  /**
   * Reports the organisations that begin or cease to be over their share while their requests wait.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  check(nowMs: number): void {
    if (nowMs - this.checkedAtMs < checkIntervalMs) return;
    this.checkedAtMs = nowMs;
    const waiting = this.waitingByOrganisation();
    for (const {service, organisation, ratio, levelMs} of this.list(nowMs)) {
      const name = `${service} ${organisation}`;
      const isOver = this.over.has(name);
      const waits = waiting.get(name)?.requests ?? 0;
      const fields = {
        service,
        organisation,
        shares: Number(ratio.toFixed(1)),
        slotMs: Math.round(levelMs),
        waiting: waits,
      };
      if (!isOver && ratio >= overRatio && waits > 0) {
        this.over.add(name);
        this.parts.logger.event('organisationOverShare', fields);
      } else if (isOver && ratio < shareTolerance) {
        this.over.delete(name);
        this.parts.logger.event('organisationWithinShare', fields);
      }
    }
  }

  /**
   * Declares the metrics of the organisations that this host has served.
   *
   * @param metrics - Registry to declare them in.
   */
  declareMetrics({registry}: MetricRegistry): void {
    const labelNames = ['service', 'organisation'] as const;
    const listNow = () => [...this.list(this.parts.now())];
    new Gauge({
      name: 'guavaseam_gateway_organisation_slot_seconds',
      help: 'Slot time that all hosts gave to the organisation lately',
      labelNames,
      registers: [registry],
      collect() {
        this.reset();
        for (const {service, organisation, levelMs} of listNow()) {
          this.set({service, organisation}, levelMs / 1000);
        }
      },
    });
    new Gauge({
      name: 'guavaseam_gateway_organisation_share_ratio',
      help: 'Slot time of the organisation as a multiple of the equal share',
      labelNames,
      registers: [registry],
      collect() {
        this.reset();
        for (const {service, organisation, ratio} of listNow()) {
          this.set({service, organisation}, ratio);
        }
      },
    });
    const waiting = () => this.waitingByOrganisation();
    new Gauge({
      name: 'guavaseam_gateway_organisation_waiting_requests',
      help: 'Requests of the organisation that wait for a slot at this host',
      labelNames,
      registers: [registry],
      collect() {
        this.reset();
        for (const {service, organisation, requests} of waiting().values()) {
          this.set({service, organisation}, requests);
        }
      },
    });
  }

  private *list(nowMs: number) {
    const sums = this.levels.sumsAt(nowMs);
    for (const [service, names] of this.named) {
      const levels = sums.get(shortKey(service));
      for (const [key, organisation] of names) {
        const levelMs = levels?.get(key) ?? 0;
        const ratio = this.ratio(service, organisation, nowMs);
        yield {service, organisation, ratio, levelMs};
      }
    }
  }

  private waitingByOrganisation() {
    const counts = new Map<
      string,
      {service: string; organisation: string; requests: number}
    >();
    for (const {service, organisation} of this.parts.waiting()) {
      if (organisation === undefined) continue;
      const name = `${service} ${organisation}`;
      const known = counts.get(name);
      if (known) known.requests++;
      else if (counts.size < maxNamed) {
        counts.set(name, {service, organisation, requests: 1});
      }
    }
    return counts;
  }
}
