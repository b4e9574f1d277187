import {GossipSection, type SectionOrigin} from '../fleet/gossip-section.js';
import {isNumberWithin, maxDurationMs} from '../number-limits.js';
import type {LevelReport, ServiceLevels} from './service-levels.js';

/** Unit of the values in messages, in milliseconds; smaller values are left out. */
const unitMs = 10;
/** Maximum number of services, and of organisations of one service, in a message; bounds its size. */
const maxServices = 16;
const maxOrganisations = 64;
/** Time by which a message is older than its reception if that is unknown, in milliseconds. */
const assumedAgeMs = 400;

/**
 * Shortens a name for messages and tables. Two names with the same key would share their service, which a million keys
 * make rare enough.
 *
 * @param name - Name of a service or organisation.
 * @returns Up to four characters.
 */
export function shortKey(name: string): string {
  let hash = 0x811c9dc5;
  for (let i = 0; i < name.length; i++) {
    hash = Math.imul(hash ^ name.charCodeAt(i), 0x01000193);
  }
  return ((hash >>> 0) % 36 ** 4).toString(36);
}

/** Exchanges the service of organisations between hosts. */
export class SharesSection extends GossipSection {
  override readonly name = 'sh';

  /**
   * @param levels - Service known to this host.
   * @param now - Returns the time on the process's clock, in milliseconds.
   */
  constructor(
    private readonly levels: ServiceLevels,
    private readonly now: () => number,
  ) {
    super();
  }

  override compose(nowMs: number): unknown {
    const services = [...this.levels.ownAt(nowMs)].flatMap(
      ([service, levels]) => {
        const entries = [...levels]
          .map(([key, ms]) => [key, Math.round(ms / unitMs)] as const)
          .filter(([, units]) => units > 0)
          .sort(([, a], [, b]) => b - a)
          .slice(0, maxOrganisations);
        return entries.length > 0
          ? [[service, Object.fromEntries(entries)] as const]
          : [];
      },
    );
    return services.length > 0
      ? Object.fromEntries(services.slice(0, maxServices))
      : undefined;
  }

  override receive(value: unknown, {host, composedAtMs}: SectionOrigin): void {
    const nowMs = this.now();
    const atMs = Math.max(composedAtMs, nowMs - assumedAgeMs);
    this.levels.apply(host, readReport(value), atMs, nowMs);
  }
}

function readReport(value: unknown): LevelReport {
  const report = new Map<string, Map<string, number>>();
  for (const [service, levels] of entriesOf(value).slice(0, maxServices)) {
    const read = entriesOf(levels)
      .slice(0, maxOrganisations)
      .flatMap(([key, units]) =>
        isNumberWithin(units, maxDurationMs / unitMs)
          ? [[key, units * unitMs] as const]
          : [],
      );
    if (read.length > 0) report.set(service, new Map(read));
  }
  return report;
}

function entriesOf(value: unknown): [string, unknown][] {
  return typeof value === 'object' && value !== null
    ? Object.entries(value)
    : [];
}
