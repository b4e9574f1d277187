import type {LoadReport} from '../src/request/scheduler/types.js';

/** Load of an engine at one time. */
export type LoadSample = Omit<LoadReport, 'ageMs'>;

/** Recent load samples, from which reports with a lag are made. */
export class LoadHistory {
  private readonly samples: {atMs: number; sample: LoadSample}[] = [];

  /**
   * @param lagMs - Age of the reported figures, in milliseconds.
   */
  constructor(private readonly lagMs: number) {}

  /** Adds the present state. */
  add(sample: LoadSample, nowMs: number): void {
    this.samples.push({atMs: nowMs, sample});
    if (this.samples.length > 64) this.dropOld(nowMs);
  }

  /** Reports the state `lagMs` ago; an idle engine if nothing is known about that time. */
  report(epoch: number, nowMs: number): LoadReport {
    this.dropOld(nowMs);
    const oldest = this.samples[0];
    const sample =
      oldest && oldest.atMs <= nowMs - this.lagMs
        ? oldest.sample
        : {running: 0, waiting: 0, cacheUse: 0, epoch};
    return {...sample, ageMs: this.lagMs};
  }

  /** Keeps the newest sample that is old enough to be reported, and all later ones. */
  private dropOld(nowMs: number): void {
    const limit = nowMs - this.lagMs;
    const next = this.samples.findIndex(({atMs}) => atMs > limit);
    const old = next < 0 ? this.samples.length : next;
    if (old > 1) this.samples.splice(0, old - 1);
  }
}
