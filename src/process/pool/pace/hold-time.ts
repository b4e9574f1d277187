import {isUnusual, usualPercent, type PaceFigure} from './pace-figures.js';

/** Mean time for which a pace holds while few changes were seen, in milliseconds, and the weight of that guess in changes. */
const assumedHoldMs = 600;
const assumedChanges = 10;
/** Bounds of the learnt time, in milliseconds. */
const minHoldMs = 150;
const maxHoldMs = 2400;
/** Largest time between two figures of a target that tell about changes, in milliseconds; others hide several. */
const maxGapMs = 400;
/** Share of the earlier observations that is kept with each change. */
const keptShare = 0.98;
/** Share of an unusual difference above which the next figure counts as the same pace. */
const sameShare = 0.5;

/** Learns for how long targets keep an unusual pace, from figures that follow each other closely. */
export class HoldTime {
  private observedMs = assumedHoldMs * assumedChanges;
  private changes = assumedChanges;

  /** Mean time for which a pace holds, in milliseconds. */
  get ms(): number {
    const mean = this.observedMs / this.changes;
    return Math.min(maxHoldMs, Math.max(minHoldMs, mean));
  }

  /**
   * Adds two figures of one target, the second of which is the next one known.
   *
   * @param earlier - Earlier figure.
   * @param later - Later figure.
   */
  observe(earlier: PaceFigure, later: PaceFigure): void {
    const gapMs = later.atMs - earlier.atMs;
    if (gapMs <= 0 || gapMs > maxGapMs || !isUnusual(earlier.percent)) return;
    const before = earlier.percent - usualPercent;
    const after = later.percent - usualPercent;
    if (after / before > sameShare) {
      this.observedMs += gapMs;
      return;
    }
    // The change came at an unknown moment between the figures; on average it was halfway.
    this.observedMs = this.observedMs * keptShare + gapMs / 2;
    this.changes = this.changes * keptShare + 1;
  }
}
