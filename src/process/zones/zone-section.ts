import {GossipSection, type SectionOrigin} from '../fleet/gossip-section.js';
import {isNumberWithin, maxCount} from '../number-limits.js';
import {
  maxDemandServices,
  type DemandReport,
  type ZoneDemand,
} from './zone-demand.js';

/** Part of gossip with the load that the callers of a host offer. */
export class ZoneSection extends GossipSection {
  override readonly name = 'z';

  /** @param demand - Offered load by zone. */
  constructor(private readonly demand: ZoneDemand) {
    super();
  }

  override compose(nowMs: number): unknown {
    const report = this.demand.report(nowMs);
    return Object.keys(report).length > 0 ? report : undefined;
  }

  override receive(value: unknown, origin: SectionOrigin): void {
    const {host, zone, composedAtMs} = origin;
    this.demand.receive(host, zone, decodeDemand(value), composedAtMs);
  }
}

function decodeDemand(value: unknown): DemandReport {
  if (typeof value !== 'object' || value === null) return {};
  const entries = Object.entries(value).slice(0, maxDemandServices);
  return Object.fromEntries(
    entries.filter(([, slots]) => isNumberWithin(slots, maxCount)),
  ) as DemandReport;
}
