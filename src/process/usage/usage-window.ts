import type {UsageBounds} from '../duties/duty-settings.js';

/** Number of windows, with the current one, whose counts are kept and may still be reported. */
export const keptWindows = 8;

/** Timing of the reports. */
export type UsageTiming = Pick<UsageBounds, 'windowMs' | 'dueMs'>;

/**
 * Finds the window of a point in time.
 *
 * @param trueMs - Unix time, in milliseconds.
 * @param windowMs - Length of a window, in milliseconds.
 */
export function windowAt(trueMs: number, windowMs: number): number {
  return Math.floor(trueMs / windowMs);
}

/**
 * Computes when a window ends.
 *
 * @param window - Number of the window.
 * @param windowMs - Length of a window, in milliseconds.
 * @returns Unix time, in milliseconds.
 */
export function windowEndMs(window: number, windowMs: number): number {
  return (window + 1) * windowMs;
}

/**
 * Finds the oldest window that may still be reported.
 *
 * @param trueMs - Unix time, in milliseconds.
 * @param windowMs - Length of a window, in milliseconds.
 */
export function oldestWindow(trueMs: number, windowMs: number): number {
  return windowAt(trueMs, windowMs) - keptWindows + 1;
}
