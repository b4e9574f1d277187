import {HoldTime} from './hold-time.js';
import {isUnusual, type PaceFigure} from './pace-figures.js';
import {ReadSpeed} from './read-speed.js';
import {PacedSpeed} from './target-speed.js';

/** A figure as hosts report it to each other. */
export interface PaceReport {
  readonly target: string;
  /** Time that work took, in percent of the usual time. */
  readonly percent: number;
  /** Time since the response that states the figure, in milliseconds. */
  readonly ageMs: number;
}

/** Maximum number of figures in one message. */
export const maxPaceReports = 6;
/** Age up to which figures are reported, in milliseconds; older ones say little about the present. */
export const maxReportedAgeMs = 600;

/** Keeps the pace of targets from their own responses and from other hosts. */
export class TargetPaces {
  private readonly hold = new HoldTime();
  private readonly speeds = new Map<string, PacedSpeed>();
  private readonly services = new Map<string, ReadSpeed>();
  /** Figures for other hosts by target, only from responses that this host received; the newest last. */
  private readonly received = new Map<string, PaceFigure>();

  /**
   * Looks up the speed of a target.
   *
   * @param id - Id of the target.
   * @param service - Name of its service.
   * @returns Live object that later figures update.
   */
  of(id: string, service: string): PacedSpeed {
    let speed = this.speeds.get(id);
    if (!speed) {
      let reading = this.services.get(service);
      if (!reading) this.services.set(service, (reading = new ReadSpeed()));
      speed = new PacedSpeed(this.hold, reading);
      this.speeds.set(id, speed);
    }
    return speed;
  }

  /** Drops the figures of a target that no longer exists. */
  forget(id: string): void {
    this.speeds.delete(id);
    this.received.delete(id);
  }

  /**
   * Records a figure in a response that this host received.
   *
   * @param id - Id of the target.
   * @param percent - Figure in percent.
   * @param nowMs - Monotonic time at which the head was received, in milliseconds.
   */
  record(id: string, percent: number, nowMs: number): void {
    const speed = this.speeds.get(id);
    if (!speed) return;
    const before = speed.newest;
    const figure = {percent, atMs: nowMs};
    speed.add(figure);
    this.received.delete(id);
    // A target at its usual pace is what other hosts assume; they only need to know when it returned to it.
    const endsUnusual =
      before !== undefined &&
      isUnusual(before.percent) &&
      nowMs - before.atMs <= this.hold.ms;
    if (isUnusual(percent) || endsUnusual) this.received.set(id, figure);
  }

  /**
   * Lists the newest figures of this host's own responses.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   */
  report(nowMs: number): PaceReport[] {
    const reports: PaceReport[] = [];
    for (const [target, {percent, atMs}] of this.received) {
      const ageMs = nowMs - atMs;
      if (ageMs > maxReportedAgeMs) this.received.delete(target);
      else reports.push({target, percent, ageMs});
    }
    return reports.slice(-maxPaceReports);
  }

  /**
   * Adds figures that another host received. They are not passed on.
   *
   * @param reports - Figures with their ages.
   * @param composedAtMs - Monotonic time before which they were not composed, in milliseconds.
   */
  merge(reports: readonly PaceReport[], composedAtMs: number): void {
    if (composedAtMs === -Infinity) return;
    for (const {target, percent, ageMs} of reports) {
      this.speeds.get(target)?.add({percent, atMs: composedAtMs - ageMs});
    }
  }

  /**
   * Lists the newest figures of all targets, for metrics.
   *
   * @param max - Maximum number of targets.
   */
  *newest(max: number): Generator<[target: string, figure: PaceFigure]> {
    let count = 0;
    for (const [id, {newest}] of this.speeds) {
      if (!newest) continue;
      if (++count > max) return;
      yield [id, newest];
    }
  }
}
