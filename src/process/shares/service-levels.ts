/**
 * Time in which the memory of service decays to a third, in milliseconds. Longer than the interval between messages of
 * a host in the largest deployments, and short enough that an idle organisation is not favoured for long.
 */
export const levelDecayMs = 2500;
/** Age at which the base of the decay moves, in milliseconds; keeps the scaled numbers small. */
const rebaseAfterMs = 20 * levelDecayMs;
/** Service below which an organisation is forgotten, in milliseconds of slot time. */
const minLevelMs = 1;

/** Service by service key and organisation key, in milliseconds of slot time. */
export type LevelReport = ReadonlyMap<string, ReadonlyMap<string, number>>;

/** Scaled service by organisation key. */
type Levels = Map<string, number>;

/**
 * Service that organisations have received lately: slot time of all hosts, decayed exponentially. Values are scaled by
 * the growth since a base time, so that they decay without being touched and sums can be updated in place.
 */
export class ServiceLevels {
  private baseMs: number;
  private readonly own = new Map<string, Levels>();
  private readonly reported = new Map<string, Map<string, Levels>>();
  /** Sums over all hosts by service. */
  private readonly sums = new Map<string, Levels>();

  /** @param nowMs - Time on the process's clock, in milliseconds. */
  constructor(nowMs: number) {
    this.baseMs = nowMs;
  }

  /**
   * Adds service of this host.
   *
   * @param service - Key of the service.
   * @param organisation - Key of the organisation.
   * @param ms - Slot time in milliseconds; negative to correct an estimate that was too high.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  add(service: string, organisation: string, ms: number, nowMs: number): void {
    this.rebase(nowMs);
    const levels = levelsOf(this.own, service);
    const known = levels.get(organisation) ?? 0;
    const next = Math.max(0, known + ms * this.scaleAt(nowMs));
    levels.set(organisation, next);
    this.addToSum(service, organisation, next - known);
  }

  /**
   * Replaces what another host reported.
   *
   * @param host - Name of the host.
   * @param report - Its service.
   * @param composedAtMs - Time on the process's clock at which it was composed, in milliseconds.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  apply(
    host: string,
    report: LevelReport,
    composedAtMs: number,
    nowMs: number,
  ): void {
    this.rebase(nowMs);
    const scale = this.scaleAt(Math.min(composedAtMs, nowMs));
    const scaled = new Map<string, Levels>();
    for (const [service, levels] of report) {
      const entries = [...levels].map(
        ([organisation, ms]) => [organisation, ms * scale] as const,
      );
      scaled.set(service, new Map(entries));
    }
    this.addAll(this.reported.get(host), -1);
    this.addAll(scaled, 1);
    if (scaled.size > 0) this.reported.set(host, scaled);
    else this.reported.delete(host);
  }

  /**
   * Lists the service that this host has given.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  ownAt(nowMs: number): LevelReport {
    return this.unscaled(this.own, nowMs);
  }

  /**
   * Lists the service that all hosts have given.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  sumsAt(nowMs: number): LevelReport {
    return this.unscaled(this.sums, nowMs);
  }

  /**
   * Compares the service of an organisation with an equal share of all service, among those that had any.
   *
   * @param service - Key of the service.
   * @param organisation - Key of the organisation.
   * @param nowMs - Time on the process's clock, in milliseconds.
   * @returns Multiple of the equal share; 0 if it had none.
   */
  shareRatio(service: string, organisation: string, nowMs: number): number {
    const levels = this.sums.get(service);
    const level = levels?.get(organisation) ?? 0;
    if (!levels || level <= 0) return 0;
    const min = minLevelMs * this.scaleAt(nowMs);
    let total = 0;
    let count = 0;
    for (const value of levels.values()) {
      if (value < min) continue;
      total += value;
      count++;
    }
    return total > 0 ? (level * count) / total : 0;
  }

  private scaleAt(nowMs: number): number {
    return Math.exp((nowMs - this.baseMs) / levelDecayMs);
  }

  private unscaled(of: Map<string, Levels>, nowMs: number): LevelReport {
    const scale = this.scaleAt(nowMs);
    const report = new Map<string, Map<string, number>>();
    for (const [service, levels] of of) {
      const left = [...levels]
        .map(([organisation, value]) => [organisation, value / scale] as const)
        .filter(([, ms]) => ms >= minLevelMs);
      if (left.length > 0) report.set(service, new Map(left));
    }
    return report;
  }

  private addAll(levels: Map<string, Levels> | undefined, sign: 1 | -1): void {
    for (const [service, byOrganisation] of levels ?? []) {
      for (const [organisation, value] of byOrganisation) {
        this.addToSum(service, organisation, sign * value);
      }
    }
  }

  private addToSum(service: string, organisation: string, value: number): void {
    const levels = levelsOf(this.sums, service);
    const sum = Math.max(0, (levels.get(organisation) ?? 0) + value);
    if (sum > 0) levels.set(organisation, sum);
    else levels.delete(organisation);
  }

  /** Moves the base of the decay, and forgets what has decayed. */
  private rebase(nowMs: number): void {
    if (nowMs - this.baseMs < rebaseAfterMs) return;
    const scale = this.scaleAt(nowMs);
    this.baseMs = nowMs;
    this.sums.clear();
    for (const levels of [this.own, ...this.reported.values()]) {
      shrink(levels, scale);
      this.addAll(levels, 1);
    }
    for (const [host, levels] of this.reported) {
      if (levels.size === 0) this.reported.delete(host);
    }
  }
}

function levelsOf(of: Map<string, Levels>, service: string): Levels {
  let levels = of.get(service);
  if (!levels) {
    levels = new Map();
    of.set(service, levels);
  }
  return levels;
}

function shrink(of: Map<string, Levels>, scale: number): void {
  for (const [service, levels] of of) {
    for (const [organisation, value] of levels) {
      if (value / scale < minLevelMs) levels.delete(organisation);
      else levels.set(organisation, value / scale);
    }
    if (levels.size === 0) of.delete(service);
  }
}
