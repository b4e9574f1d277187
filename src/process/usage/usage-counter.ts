import type {RequestCounts} from '../duties/duty-record.js';
import {keptWindows} from './usage-window.js';

/** Counts the requests that targets began for this host, by window and organisation, since its start. */
export class UsageCounter {
  private readonly windows = new Map<number, Map<string, number>>();
  private newest: number;

  /** @param first - Window in which the host started. */
  constructor(private first: number) {
    this.newest = first;
  }

  /**
   * Counts one request, unless its window is no longer reported.
   *
   * @param organisation - Name of the organisation.
   * @param window - Window in which the request began; may be older than the newest one.
   */
  count(organisation: string, window: number): void {
    this.advance(window);
    if (window < this.first) return;
    const counts = this.windows.get(window) ?? new Map<string, number>();
    counts.set(organisation, (counts.get(organisation) ?? 0) + 1);
    this.windows.set(window, counts);
  }

  /**
   * Drops the windows that became too old.
   *
   * @param window - Current window.
   */
  advance(window: number): void {
    this.newest = Math.max(this.newest, window);
    this.discardBefore(this.newest - keptWindows + 1);
  }

  /**
   * Drops windows whose reports are fixed.
   *
   * @param window - First window to keep.
   */
  discardBefore(window: number): void {
    if (window <= this.first) return;
    this.first = window;
    for (const each of this.windows.keys()) {
      if (each < window) this.windows.delete(each);
    }
  }

  /** Windows that may still be reported, the oldest first; those without requests are among them. */
  *list(): Generator<number> {
    for (let each = this.first; each <= this.newest; each++) yield each;
  }

  /**
   * Returns the counts of a window.
   *
   * @param window - Number of the window.
   */
  counts(window: number): RequestCounts {
    return Object.fromEntries(this.windows.get(window) ?? []);
  }
}
