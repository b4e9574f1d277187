/** How long work took on a target's machine at one moment. */
export interface PaceFigure {
  /** Time that work took, in percent of the usual time: 100 as usual, 250 for 2.5 times as long. */
  readonly percent: number;
  /** Monotonic time at which the head of the response was received, in milliseconds; the figure held then or earlier. */
  readonly atMs: number;
}

/** Time that work takes as usual, in percent of the usual time. */
export const usualPercent = 100;
/** Difference from the usual from which a figure counts as a different pace, in percent. */
const minDifference = 20;

/**
 * Checks whether a figure differs from the usual by more than noise.
 *
 * @param percent - Figure in percent.
 */
export function isUnusual(percent: number): boolean {
  return Math.abs(percent - usualPercent) >= minDifference;
}

/**
 * Computes how likely it is that a figure still holds.
 *
 * @param ageMs - Time between the figure and the moment in question, in milliseconds.
 * @param holdMs - Mean time for which a pace holds, in milliseconds.
 * @returns Weight from 1 for no age to 0 from `holdMs` on.
 */
export function paceWeight(ageMs: number, holdMs: number): number {
  return Math.min(1, Math.max(0, 1 - ageMs / holdMs));
}

/**
 * Computes the expected ratio of the time of work to its usual time.
 *
 * @param figure - Newest figure of the target, if there is one.
 * @param atMs - Monotonic time in question, in milliseconds; before or after the figure.
 * @param holdMs - Mean time for which a pace holds, in milliseconds.
 * @returns Ratio; 1 for the usual time.
 */
export function expectedFactor(
  figure: PaceFigure | undefined,
  atMs: number,
  holdMs: number,
): number {
  if (!figure) return 1;
  const weight = paceWeight(Math.abs(atMs - figure.atMs), holdMs);
  return 1 + ((figure.percent - usualPercent) / 100) * weight;
}

/**
 * Estimates how long work takes that begins at a known pace. Only the part within the time for which the pace still
 * holds is scaled, so that long work counts by its whole duration.
 *
 * @param workMs - Usual time of the work, in milliseconds.
 * @param factor - Expected ratio of its time to the usual at its begin.
 * @param remainingMs - Time for which that ratio is expected to hold, in milliseconds.
 * @returns Time in milliseconds; `workMs` itself at the usual pace.
 */
export function stretchMs(
  workMs: number,
  factor: number,
  remainingMs: number,
): number {
  if (factor === 1 || remainingMs <= 0) return workMs;
  const doneMs = remainingMs / factor;
  return workMs <= doneMs ? workMs * factor : remainingMs + workMs - doneMs;
}

/** Number of moments at which the pace during a response is looked up. */
const lookups = 4;

/**
 * Computes the mean ratio of the time of work to its usual time during a response.
 *
 * @param figures - Known figures of the target, in any order.
 * @param fromMs - Monotonic time at which the response began, in milliseconds.
 * @param toMs - Monotonic time at which it ended, in milliseconds.
 * @param holdMs - Mean time for which a pace holds, in milliseconds.
 * @returns Ratio; 1 without figures of that time.
 */
export function meanFactor(
  figures: readonly PaceFigure[],
  fromMs: number,
  toMs: number,
  holdMs: number,
): number {
  let sum = 0;
  for (let i = 0; i < lookups; i++) {
    const atMs = fromMs + ((i + 0.5) / lookups) * (toMs - fromMs);
    sum += expectedFactor(nearest(figures, atMs), atMs, holdMs);
  }
  return sum / lookups;
}

function nearest(
  figures: readonly PaceFigure[],
  atMs: number,
): PaceFigure | undefined {
  let best: PaceFigure | undefined;
  for (const figure of figures) {
    const isNearer =
      !best || Math.abs(figure.atMs - atMs) < Math.abs(best.atMs - atMs);
    if (isNearer) best = figure;
  }
  return best;
}
