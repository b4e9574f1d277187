import {GossipSection, type SectionOrigin} from '../../fleet/gossip-section.js';
import {isNumberWithin, maxPacePercent} from '../../number-limits.js';
import {
  maxPaceReports,
  maxReportedAgeMs,
  type PaceReport,
  type TargetPaces,
} from './target-paces.js';

/** Part of gossip with the newest figures of targets that take unusually long or short for their work. */
export class PaceSection extends GossipSection {
  override readonly name = 'p';

  /** @param paces - Figures of all targets. */
  constructor(private readonly paces: TargetPaces) {
    super();
  }

  override compose(nowMs: number): unknown {
    const rows = this.paces
      .report(nowMs)
      // An age that is rounded down would make the figure younger.
      .map(({target, percent, ageMs}) => [target, percent, Math.ceil(ageMs)]);
    return rows.length > 0 ? rows : undefined;
  }

  override receive(value: unknown, {composedAtMs}: SectionOrigin): void {
    if (!Array.isArray(value)) return;
    const rows = (value as unknown[]).slice(0, maxPaceReports);
    const reports = rows.flatMap(row => decodePace(row) ?? []);
    this.paces.merge(reports, composedAtMs);
  }
}

function decodePace(row: unknown): PaceReport | undefined {
  if (!Array.isArray(row)) return undefined;
  const [target, percent, ageMs] = row as unknown[];
  if (typeof target !== 'string') return undefined;
  if (!isNumberWithin(percent, maxPacePercent, 1)) return undefined;
  if (!isNumberWithin(ageMs, maxReportedAgeMs + 1)) return undefined;
  return {target, percent, ageMs};
}
