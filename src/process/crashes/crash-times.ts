import type {CrashRecord} from './crash-record.js';

/** Time after a target's crash from which a run on it shows that it had not crashed, in milliseconds; clocks differ less. */
export const contradictionMs = 500;
/** Maximum number of times that are kept for each target. */
const maxTimes = 8;
/** Maximum number of targets that are remembered; the one that was recorded first is forgotten. */
const maxTargets = 2000;

/**
 * Remembers when targets seemed to crash, also after the requests that ran there have completed elsewhere. A target that
 * seems to crash several times was cut off: one that has crashed accepts no further runs.
 */
export class CrashTimes {
  private readonly byTarget = new Map<string, number[]>();

  /**
   * Records a crash, unless it is one that was recorded for another request.
   *
   * @param record - Crash, with the start of the run if it is known.
   */
  add({target, atMs, startedMs = atMs}: CrashRecord): void {
    const known = this.byTarget.get(target);
    const lastMs = known?.at(-1);
    if (!known || lastMs === undefined) {
      this.byTarget.set(target, [atMs]);
      const [oldest] = this.byTarget.keys();
      if (this.byTarget.size > maxTargets) this.byTarget.delete(oldest);
    } else if (startedMs > lastMs + contradictionMs) {
      known.push(atMs);
      if (known.length > maxTimes) known.shift();
    } else if (atMs < lastMs && known.length === 1) known[0] = atMs;
  }

  /**
   * Forgets a target.
   *
   * @param target - Name of the target.
   */
  delete(target: string): void {
    this.byTarget.delete(target);
  }

  /**
   * Forgets the times before a limit.
   *
   * @param limitMs - Time in milliseconds.
   */
  expire(limitMs: number): void {
    for (const [target, times] of this.byTarget) {
      const kept = times.filter(ms => ms >= limitMs);
      if (kept.length === 0) this.byTarget.delete(target);
      else if (kept.length < times.length) this.byTarget.set(target, kept);
    }
  }

  /**
   * Counts the targets that seemed to crash within a span.
   *
   * @param fromMs - Start of the span, in milliseconds.
   * @param toMs - End of the span, in milliseconds.
   * @param except - Targets to leave out.
   */
  count(fromMs: number, toMs: number, except: ReadonlySet<string>): number {
    let count = 0;
    for (const [target, times] of this.byTarget) {
      if (except.has(target)) continue;
      if (times.some(ms => ms >= fromMs && ms <= toMs)) count++;
    }
    return count;
  }
}
