import {GossipSection, type SectionOrigin} from '../fleet/gossip-section.js';
import {isNumberWithin} from '../number-limits.js';
import {countedRanks, type FleetLoad, type ServiceLoad} from './fleet-load.js';

/** Units of the values in messages: a tenth of a slot, and milliseconds of slot time. */
const unitSlots = 0.1;
const unitMs = 20;
/** Maximum number of services in a message, and largest value; bound its size. */
const maxServices = 16;
const maxUnits = 1e7;
/** Time by which a message is older than its reception if that is unknown, in milliseconds. */
const assumedAgeMs = 400;

/** Exchanges the load of services between hosts. A part lists by service: offered and waiting by rank, and returning. */
export class LoadSection extends GossipSection {
  override readonly name = 'ol';

  /**
   * @param load - Load known to this host.
   * @param now - Returns the time on the process's clock, in milliseconds.
   */
  constructor(
    private readonly load: FleetLoad,
    private readonly now: () => number,
  ) {
    super();
  }

  override compose(nowMs: number): unknown {
    const services = [...this.load.ownAt(nowMs)].flatMap(([service, load]) => {
      const units = [
        ...load.offeredSlots.map(slots => Math.round(slots / unitSlots)),
        ...load.waitingMs.map(ms => Math.round(ms / unitMs)),
        Math.round(load.returningMs / unitMs),
      ];
      return units.some(unit => unit > 0) ? [[service, units] as const] : [];
    });
    return services.length > 0
      ? Object.fromEntries(services.slice(0, maxServices))
      : undefined;
  }

  override receive(value: unknown, {host, composedAtMs}: SectionOrigin): void {
    const loads = new Map<string, ServiceLoad>();
    const entries =
      typeof value === 'object' && value !== null ? Object.entries(value) : [];
    for (const [service, units] of entries.slice(0, maxServices)) {
      if (!isUnits(units)) continue;
      loads.set(service, {
        offeredSlots: units
          .slice(0, countedRanks)
          .map(unit => unit * unitSlots),
        waitingMs: units
          .slice(countedRanks, 2 * countedRanks)
          .map(unit => unit * unitMs),
        returningMs: units[2 * countedRanks] * unitMs,
      });
    }
    const nowMs = this.now();
    this.load.apply(host, loads, Math.max(composedAtMs, nowMs - assumedAgeMs));
  }
}

function isUnits(value: unknown): value is number[] {
  return (
    Array.isArray(value) &&
    value.length === 2 * countedRanks + 1 &&
    value.every(unit => isNumberWithin(unit, maxUnits))
  );
}
