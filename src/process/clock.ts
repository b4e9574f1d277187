/** Stops a pending timer; calling it again has no effect. */
export type Cancel = () => void;

/** Source of time for all components, so that tests can use a simulated clock. */
export abstract class Clock {
  /** @returns Monotonic time in milliseconds; comparable only within one process. */
  abstract nowMs(): number;

  /** @returns Wall-clock time in milliseconds since the Unix epoch; may jump forwards or backwards. */
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

/** Longest delay of a timer of Node.js, in milliseconds; it runs timers with a longer one at once. */
const maxDelayMs = 2 ** 31 - 1;

/** Clock of the operating system. */
export class SystemClock extends Clock {
  override nowMs(): number {
    return performance.now();
  }

  override wallMs(): number {
    return Date.now();
  }

  override after(delayMs: number, fn: () => void): Cancel {
    const timer = setTimeout(fn, Math.min(delayMs, maxDelayMs));
    return () => clearTimeout(timer);
  }
}

/**
 * Runs a function repeatedly until cancelled, with a fixed pause between runs.
 *
 * @param clock - Clock that provides the timers.
 * @param intervalMs - Time between the end of one run and the start of the next, in milliseconds.
 * @param fn - Function to run.
 * @returns A function that stops it.
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

/** Sleep of one task that other code can end early. */
export class InterruptibleSleep {
  private wake: () => void = () => {};

  /** @param clock - Clock that provides the timer. */
  constructor(private readonly clock: Clock) {}

  /**
   * Waits for a time or until {@link interrupt} is called.
   *
   * @param ms - Maximum time, in milliseconds.
   */
  sleep(ms: number): Promise<void> {
    return new Promise(resolve => {
      const cancel = this.clock.after(ms, resolve);
      this.wake = () => {
        cancel();
        resolve();
      };
    });
  }

  /** Ends the current sleep, if there is one. */
  interrupt(): void {
    this.wake();
  }
}
