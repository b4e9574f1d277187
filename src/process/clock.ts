/** Stops a pending timer; calling it again has no effect. */
export type Cancel = () => void;

/** Source of time for every part of the system, so that tests can replace it. */
export abstract class Clock {
  /** @returns Milliseconds on a clock that never steps back; comparable within one process only. */
  abstract nowMs(): number;

  /** @returns Milliseconds since the Unix epoch; may step in either direction. */
  abstract wallMs(): number;

  /**
   * Runs a function once after a delay.
   *
   * @param delayMs - Delay in milliseconds.
   * @param fn - Function to run.
   * @returns A function that cancels the timer.
   */
  abstract after(delayMs: number, fn: () => void): Cancel;
}

/** Clock of the operating system. */
export class SystemClock extends Clock {
  override nowMs(): number {
    return performance.now();
  }

  override wallMs(): number {
    return Date.now();
  }

  override after(delayMs: number, fn: () => void): Cancel {
    const timer = setTimeout(fn, delayMs);
    return () => clearTimeout(timer);
  }
}

/**
 * Runs a function at a fixed interval until cancelled.
 *
 * @param clock - Clock that provides the timers.
 * @param intervalMs - Time between the end of one run and the start of the next, in milliseconds.
 * @param fn - Function to run.
 * @returns A function that stops the repetition.
 */
export function every(
  clock: Clock,
  intervalMs: number,
  fn: () => void,
): Cancel {
  let cancel: Cancel = () => {};
  let stopped = false;
  const schedule = () => {
    cancel = clock.after(intervalMs, () => {
      fn();
      if (!stopped) schedule();
    });
  };
  schedule();
  return () => {
    stopped = true;
    cancel();
  };
}
