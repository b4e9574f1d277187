import {GossipSection, type SectionOrigin} from '../fleet/gossip-section.js';
import {isNumberWithin} from '../number-limits.js';
import type {ReachReports} from './reach-reports.js';
import type {ReachTable} from './reach-table.js';

/** Unit of ages in messages, in milliseconds. */
const unitMs = 100;
/** Largest age that is sent, in units. */
const maxAge = 30;
/** Value of a service whose targets the host does not reach. */
const cutOff = -1;
/** Maximum number of services in a message. */
const maxServices = 32;

/** Part of gossip with the services that a host reaches: the age of the newest sign of life, or that there is none. */
export class ReachSection extends GossipSection {
  override readonly name = 'h';

  /**
   * @param table - Services that this host reaches.
   * @param reports - Receives what the others report.
   */
  constructor(
    private readonly table: ReachTable,
    private readonly reports: ReachReports,
  ) {
    super();
  }

  override compose(nowMs: number): unknown {
    const rows = [...this.table.all].flatMap(([service, reach]) => {
      if (reach.cut) return [[service, cutOff] as const];
      // An age that is rounded down would make the contact younger.
      const age = Math.ceil((nowMs - reach.contactAtMs) / unitMs);
      return age <= maxAge ? [[service, age] as const] : [];
    });
    if (rows.length === 0) return undefined;
    return Object.fromEntries(rows.slice(0, maxServices));
  }

  override receive(value: unknown, {host, composedAtMs}: SectionOrigin): void {
    const entries =
      typeof value === 'object' && value !== null ? Object.entries(value) : [];
    const reachedAtMs = new Map<string, number>();
    const lost = new Set<string>();
    for (const [service, age] of entries.slice(0, maxServices)) {
      if (age === cutOff) lost.add(service);
      else if (isNumberWithin(age, maxAge)) {
        reachedAtMs.set(service, composedAtMs - age * unitMs);
      }
    }
    this.reports.apply(host, {reachedAtMs, cutOff: lost});
  }
}
