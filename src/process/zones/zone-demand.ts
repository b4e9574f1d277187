import {gossipIntervalMs} from '../fleet/gossip-interval.js';
import {DemandMeter} from './demand-meter.js';

/** Offered load of a host's callers by service, in slots. */
export type DemandReport = Readonly<Record<string, number>>;

/** Maximum number of services in one report. */
export const maxDemandServices = 32;
/** Offered load below which a service is not reported, in slots. */
const minReported = 0.01;
/** Age from which figures of other hosts do not count, in milliseconds and in intervals of gossip. */
const minMaxAgeMs = 1000;
const maxAgeIntervals = 2.5;
/** Time for which a host that is not heard is known, in milliseconds. */
const knownMs = 30_000;

interface HostDemand {
  readonly zone: string;
  readonly report: DemandReport;
  /** Monotonic time before which the report was not composed, in milliseconds. */
  readonly atMs: number;
}

/** What is known of the hosts of one zone. */
export interface ZoneDemandSum {
  /** Offered load of the hosts that are heard, in slots. */
  readonly offered: number;
  /** Hosts that are heard, with this one. */
  readonly heard: number;
  /** Hosts that were heard in the last half minute. */
  readonly known: number;
}

/** Keeps the load that the callers of each zone offer, by the reports of its hosts. */
export class ZoneDemand {
  private readonly meters = new Map<string, DemandMeter>();
  private readonly hosts = new Map<string, HostDemand>();

  /** @param zone - Zone of this host. */
  constructor(private readonly zone: string) {}

  /**
   * Adds a request of a caller of this host.
   *
   * @param service - Name of its service.
   * @param costMs - Time for which it will occupy a slot, in milliseconds.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  add(service: string, costMs: number, nowMs: number): void {
    let meter = this.meters.get(service);
    if (!meter) this.meters.set(service, (meter = new DemandMeter()));
    meter.add(costMs, nowMs);
  }

  /**
   * Builds the report of this host.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   */
  report(nowMs: number): DemandReport {
    const report: Record<string, number> = {};
    for (const [service, meter] of this.meters) {
      const slots = Math.round(meter.slots(nowMs) * 100) / 100;
      if (slots >= minReported) report[service] = slots;
      if (Object.keys(report).length >= maxDemandServices) break;
    }
    return report;
  }

  /**
   * Replaces the report of another host, unless it is older than the one known.
   *
   * @param host - Name of the host.
   * @param zone - Its zone.
   * @param report - Its report.
   * @param atMs - Monotonic time before which it was not composed, in milliseconds; `-Infinity` if unknown.
   */
  receive(
    host: string,
    zone: string,
    report: DemandReport,
    atMs: number,
  ): void {
    if (atMs < (this.hosts.get(host)?.atMs ?? 0)) return;
    this.hosts.set(host, {zone, report, atMs});
  }

  /** Looks up the zone of another host; `undefined` if it was not heard. */
  zoneOf(host: string): string | undefined {
    return this.hosts.get(host)?.zone;
  }

  /** Age up to which figures of other hosts count, in milliseconds. */
  get maxAgeMs(): number {
    const intervalMs = gossipIntervalMs(this.hosts.size);
    return Math.max(minMaxAgeMs, maxAgeIntervals * intervalMs);
  }

  /**
   * Sums up the offered load of a service by zone.
   *
   * @param service - Name of the service.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Sums of the zones of which a host is known.
   */
  sums(service: string, nowMs: number): Map<string, ZoneDemandSum> {
    const {maxAgeMs} = this;
    const offered = this.meters.get(service)?.slots(nowMs) ?? 0;
    const sums = new Map([[this.zone, {offered, heard: 1, known: 1}]]);
    for (const [host, {zone, report, atMs}] of this.hosts) {
      if (nowMs - atMs > knownMs) {
        this.hosts.delete(host);
        continue;
      }
      const sum = sums.get(zone) ?? {offered: 0, heard: 0, known: 0};
      sums.set(zone, sum);
      sum.known++;
      if (nowMs - atMs > maxAgeMs) continue;
      sum.heard++;
      sum.offered += report[service] ?? 0;
    }
    return sums;
  }
}
