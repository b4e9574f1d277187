import {GossipSection, type SectionOrigin} from '../fleet/gossip-section.js';
import {isNumberWithin, maxCount} from '../number-limits.js';
import type {Demand, DemandMeter} from './demand-meter.js';
import type {DemandTable} from './demand-table.js';

/** Maximum number of services in a part of another host. */
const maxServices = 1000;
/** Factor by which numbers are rounded. */
const precision = 100;

/** Dependencies of a {@link DemandSection}. */
export interface DemandSectionParts {
  readonly nowMs: () => number;
  readonly meter: DemandMeter;
  readonly table: DemandTable;
  /** Names of the services whose number of targets can be ordered. */
  readonly services: () => readonly string[];
  /** Name of the host that holds the duties, if it is known. */
  readonly holder: () => string | undefined;
}

/** Sends the demand that reaches this host to the holder of the duties. */
export class DemandSection extends GossipSection {
  readonly name = 'ps';

  /** @param parts - Dependencies. */
  constructor(private readonly parts: DemandSectionParts) {
    super();
  }

  override composeFor(recipient: string): unknown {
    const {holder, meter, services} = this.parts;
    if (holder() !== recipient) return undefined;
    const names = services();
    if (names.length === 0) return undefined;
    return Object.fromEntries(
      names.map(name => {
        const demand = meter.demandFor(name);
        const {offeredSlots, refusedPerSecond, waitingMs} = demand;
        const numbers = [offeredSlots, waitingMs, refusedPerSecond];
        return [name, numbers.map(round)];
      }),
    );
  }

  override receive(): void {}

  override receiveDirected(value: unknown, {host}: SectionOrigin): void {
    const demands = decodeDemands(value);
    if (demands) this.parts.table.record(host, demands, this.parts.nowMs());
  }
}

function decodeDemands(value: unknown): Map<string, Demand> | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  const entries = Object.entries(value);
  if (entries.length > maxServices) return undefined;
  const demands = new Map<string, Demand>();
  for (const [service, numbers] of entries) {
    const list: readonly unknown[] = Array.isArray(numbers) ? numbers : [];
    const [offeredSlots, waitingMs, refusedPerSecond] = list;
    if (
      isNumberWithin(offeredSlots, maxCount) &&
      isNumberWithin(waitingMs, maxCount) &&
      isNumberWithin(refusedPerSecond, maxCount)
    ) {
      demands.set(service, {offeredSlots, refusedPerSecond, waitingMs});
    }
  }
  return demands;
}

function round(value: number): number {
  return Math.round(value * precision) / precision;
}
