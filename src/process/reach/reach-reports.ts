/** What one host reports. */
interface HostReport {
  /** Time of the newest sign of life by service, on the clock of this host, in milliseconds. */
  readonly reachedAtMs: ReadonlyMap<string, number>;
  /** Services whose targets it does not reach. */
  readonly cutOff: ReadonlySet<string>;
}

/** Which services the other hosts reach, as they report. */
export class ReachReports {
  private readonly hosts = new Map<string, HostReport>();

  /** @param heard - Names of the other hosts that are live. */
  constructor(private readonly heard: () => Iterable<string>) {}

  /**
   * Replaces what a host reports.
   *
   * @param host - Name of the host.
   * @param report - Its report.
   */
  apply(host: string, report: HostReport): void {
    if (report.cutOff.size + report.reachedAtMs.size === 0) {
      this.hosts.delete(host);
    } else {
      this.hosts.set(host, report);
    }
  }

  /**
   * Finds when a host had the newest sign of life of a service's targets.
   *
   * @param host - Name of the host.
   * @param service - Name of the service.
   * @returns Time on the clock of this host, in milliseconds; `-Infinity` if unknown, or if it reaches no target now.
   */
  reachedAtMs(host: string, service: string): number {
    const report = this.hosts.get(host);
    if (!report || report.cutOff.has(service)) return -Infinity;
    return report.reachedAtMs.get(service) ?? -Infinity;
  }

  /**
   * Checks whether a host reports that it reaches no target of a service.
   *
   * @param host - Name of the host.
   * @param service - Name of the service.
   */
  isCutOff(host: string, service: string): boolean {
    return this.hosts.get(host)?.cutOff.has(service) ?? false;
  }

  /**
   * Checks whether any host reports that it reaches no target of a service.
   *
   * @param service - Name of the service.
   */
  isAnyCutOff(service: string): boolean {
    for (const {cutOff} of this.hosts.values()) {
      if (cutOff.has(service)) return true;
    }
    return false;
  }

  /**
   * Counts the live hosts that have reached a service.
   *
   * @param service - Name of the service.
   * @param sinceMs - Time from which on, in milliseconds.
   */
  reachedSince(service: string, sinceMs: number): number {
    const hosts = [...this.heard()];
    return hosts.filter(host => this.reachedAtMs(host, service) > sinceMs)
      .length;
  }

  /** Forgets hosts that are no longer live. */
  prune(): void {
    const heard = new Set(this.heard());
    for (const host of this.hosts.keys()) {
      if (!heard.has(host)) this.hosts.delete(host);
    }
  }
}
