import {Clock, type Cancel} from '../src/process/clock.js';

interface Timer {
  readonly atMs: number;
  readonly sequence: number;
  readonly fn: () => void;
}

/** Clock that moves only when it is told to, for tests and measurements in virtual time. */
export class ManualClock extends Clock {
  private timers: Timer[] = [];
  private currentMs = 0;
  private sequence = 0;

  /** Creates a clock; `wallOffsetMs` is the wall time at its start. */
  constructor(private readonly wallOffsetMs = 1_767_225_600_000) {
    super();
  }

  override nowMs(): number {
    return this.currentMs;
  }

  override wallMs(): number {
    return this.wallOffsetMs + this.currentMs;
  }

  override after(delayMs: number, fn: () => void): Cancel {
    const timer = {
      atMs: this.currentMs + Math.max(0, delayMs),
      sequence: ++this.sequence,
      fn,
    };
    this.timers.push(timer);
    return () => {
      this.timers = this.timers.filter(other => other !== timer);
    };
  }

  /** Moves the clock and runs the timers that fall due, in order. */
  advance(ms: number): void {
    const endMs = this.currentMs + ms;
    for (;;) {
      const next = this.timers
        .filter(timer => timer.atMs <= endMs)
        .sort((a, b) => a.atMs - b.atMs || a.sequence - b.sequence)[0];
      if (!next) break;
      this.timers = this.timers.filter(other => other !== next);
      this.currentMs = next.atMs;
      next.fn();
    }
    this.currentMs = endMs;
  }
}
