import type {RequestCounts} from '../duties/duty-record.js';

/** Counts of one window from one run of a host. */
interface WindowReport {
  counts: Map<string, number>;
  /** Monotonic time before which the newest counts were not composed, in milliseconds. */
  composedAtMs: number;
}

/** Newest counts of each run of each host, also of those that ended. */
export class UsageSums {
  /** By host, by incarnation, by window. */
  private readonly hosts = new Map<
    string,
    Map<number, Map<number, WindowReport>>
  >();
  private first = 0;
  private startedMs = Infinity;

  /** Unix time at which the first known run of a host started, in milliseconds; infinite if none is known. */
  get firstStartMs(): number {
    return this.startedMs;
  }

  /**
   * Applies counts of a host.
   *
   * @param host - Name of the host.
   * @param incarnation - Unix time at which it started, in milliseconds.
   * @param window - Number of the window.
   * @param counts - Requests since the start of the run; cumulative, so that they replace earlier ones.
   * @param composedAtMs - Monotonic time before which they were not composed, in milliseconds.
   */
  receive(
    host: string,
    incarnation: number,
    window: number,
    counts: RequestCounts,
    composedAtMs: number,
  ): void {
    this.startedMs = Math.min(this.startedMs, incarnation);
    if (window < this.first) return;
    const runs = entryOf(this.hosts, host, () => new Map());
    const windows = entryOf(runs, incarnation, () => new Map());
    const report = entryOf(windows, window, newReport);
    report.composedAtMs = Math.max(report.composedAtMs, composedAtMs);
    for (const [organisation, count] of Object.entries(counts)) {
      const known = report.counts.get(organisation) ?? 0;
      report.counts.set(organisation, Math.max(known, count));
    }
  }

  /**
   * Sums the counts of a window over all runs.
   *
   * @param window - Number of the window.
   */
  counts(window: number): RequestCounts {
    const sums = new Map<string, number>();
    for (const {counts} of this.reports(window)) {
      for (const [organisation, count] of counts) {
        sums.set(organisation, (sums.get(organisation) ?? 0) + count);
      }
    }
    return Object.fromEntries(sums);
  }

  /**
   * Checks whether a host has reported a window since a time, or was started after the window.
   *
   * @param host - Name of the host.
   * @param window - Number of the window.
   * @param endMs - Unix time at which the window ends, in milliseconds.
   * @param sinceMs - Monotonic time after which the report must have been composed, in milliseconds.
   */
  hasReported(
    host: string,
    window: number,
    endMs: number,
    sinceMs: number,
  ): boolean {
    const runs = this.hosts.get(host);
    if (!runs) return false;
    const newest = Math.max(...runs.keys());
    // The run before has ended, so no more counts of it will come.
    if (newest >= endMs) return true;
    const report = runs.get(newest)?.get(window);
    return report !== undefined && report.composedAtMs >= sinceMs;
  }

  /** Finds the first window with requests that is not dropped. */
  get firstCounted(): number | undefined {
    let first: number | undefined;
    for (const runs of this.hosts.values()) {
      for (const windows of runs.values()) {
        for (const [window, {counts}] of windows) {
          if (counts.size > 0) first = Math.min(first ?? window, window);
        }
      }
    }
    return first;
  }

  /**
   * Drops windows whose reports are fixed or too old.
   *
   * @param window - First window to keep.
   */
  discardBefore(window: number): void {
    if (window <= this.first) return;
    this.first = window;
    for (const [host, runs] of this.hosts) {
      const newest = Math.max(...runs.keys());
      for (const [incarnation, windows] of runs) {
        for (const each of windows.keys()) {
          if (each < window) windows.delete(each);
        }
        if (windows.size === 0 && incarnation < newest) {
          runs.delete(incarnation);
        }
      }
      if ([...runs.values()].every(({size}) => size === 0)) {
        this.hosts.delete(host);
      }
    }
  }

  private *reports(window: number): Generator<WindowReport> {
    for (const runs of this.hosts.values()) {
      for (const windows of runs.values()) {
        const report = windows.get(window);
        if (report) yield report;
      }
    }
  }
}

function newReport(): WindowReport {
  return {counts: new Map(), composedAtMs: -Infinity};
}

function entryOf<K, V>(map: Map<K, V>, key: K, create: () => V): V {
  const known = map.get(key);
  if (known !== undefined) return known;
  const created = create();
  map.set(key, created);
  return created;
}
