import {Clock, type Cancel} from '../src/process/clock.js';

/** Clock of one host: while the host is paused, its timers wait. */
export class HostClock extends Clock {
  constructor(
    private readonly base: Clock,
    private readonly gate: (fn: () => void) => void,
  ) {
    super();
  }

  override nowMs(): number {
    return this.base.nowMs();
  }

  override wallMs(): number {
    return this.base.wallMs();
  }

  override after(delayMs: number, fn: () => void): Cancel {
    let cancelled = false;
    const cancel = this.base.after(delayMs, () =>
      this.gate(() => {
        if (!cancelled) fn();
      }),
    );
    return () => {
      cancelled = true;
      cancel();
    };
  }
}
