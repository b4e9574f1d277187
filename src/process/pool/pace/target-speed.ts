import {
  expectedFactor,
  meanFactor,
  stretchMs,
  type PaceFigure,
} from './pace-figures.js';
import type {HoldTime} from './hold-time.js';
import {ReadSpeed} from './read-speed.js';

/** How fast a target works at the moment in comparison with its usual speed. */
export abstract class TargetSpeed {
  /** What is learnt of the service's engines; absent if the constants apply. */
  abstract readonly reading: ReadSpeed | undefined;

  /**
   * Estimates how long work takes that begins now.
   *
   * @param workMs - Usual time of the work, in milliseconds.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Time in milliseconds.
   */
  abstract stretch(workMs: number, nowMs: number): number;

  /**
   * Computes the mean ratio of the time of work to its usual time between two moments.
   *
   * @param fromMs - Monotonic time, in milliseconds.
   * @param toMs - Monotonic time, in milliseconds.
   */
  abstract meanFactor(fromMs: number, toMs: number): number;
}

/** Speed of a target of which only the usual speed is used. */
export class UsualSpeed extends TargetSpeed {
  override readonly reading = undefined;

  override stretch(workMs: number): number {
    return workMs;
  }

  override meanFactor(): number {
    return 1;
  }
}

/** Figures that are kept of one target, the newest last; enough for the duration of a response. */
const keptFigures = 16;

/** Speed of a target by the figures in its responses. */
export class PacedSpeed extends TargetSpeed {
  private readonly figures: PaceFigure[] = [];

  /**
   * @param hold - Time for which a pace holds.
   * @param reading - What is learnt of the service's engines.
   */
  constructor(
    private readonly hold: HoldTime,
    override readonly reading: ReadSpeed,
  ) {
    super();
  }

  /** Newest figure, if there is one. */
  get newest(): PaceFigure | undefined {
    return this.figures.at(-1);
  }

  /**
   * Adds a figure, which may be older than those known.
   *
   * @param figure - Figure of this target.
   */
  add(figure: PaceFigure): void {
    const {figures, hold} = this;
    const {newest} = this;
    if (!newest || figure.atMs > newest.atMs) {
      if (newest) hold.observe(newest, figure);
      figures.push(figure);
    } else {
      const later = figures.findIndex(({atMs}) => atMs >= figure.atMs);
      if (figures[later].atMs === figure.atMs) return;
      figures.splice(later, 0, figure);
    }
    if (figures.length > keptFigures) figures.shift();
  }

  override stretch(workMs: number, nowMs: number): number {
    const {newest} = this;
    if (!newest) return workMs;
    const holdMs = this.hold.ms;
    // The pace began at an unknown moment before the figure; on average half of the rest is still to come.
    const remainingMs = (holdMs - (nowMs - newest.atMs)) / 2;
    const factor = expectedFactor(newest, nowMs, holdMs);
    return stretchMs(workMs, factor, remainingMs);
  }

  override meanFactor(fromMs: number, toMs: number): number {
    return meanFactor(this.figures, fromMs, toMs, this.hold.ms);
  }
}
