import {performance} from 'node:perf_hooks';
import type {EngineModel} from './engine-model.js';

/** Longest time between two looks at the model, in milliseconds; cache events become due unseen. */
const idleMs = 100;

/** Advances a model with the clock of the machine, `speedFactor` times as fast. */
export class EngineDriver {
  private readonly startMs = performance.now();
  private timer: NodeJS.Timeout | undefined;
  private stopped = false;

  /**
   * @param model - Model to drive.
   * @param speedFactor - Model time per time of the machine.
   * @param onTime - Called each time the model may have advanced.
   */
  constructor(
    private readonly model: EngineModel,
    private readonly speedFactor: number,
    private readonly onTime: (nowMs: number) => void,
  ) {
    this.schedule();
  }

  /** Time of the model, in milliseconds. */
  get nowMs(): number {
    return (performance.now() - this.startMs) * this.speedFactor;
  }

  /** Sets the timer to the model's next event; to be called after each change. */
  schedule(): void {
    if (this.stopped) return;
    clearTimeout(this.timer);
    const next = this.model.nextEventMs() ?? Infinity;
    const delayMs = (next - this.nowMs) / this.speedFactor;
    const run = () => {
      this.onTime(this.nowMs);
      this.schedule();
    };
    this.timer = setTimeout(run, Math.min(Math.max(0, delayMs), idleMs));
  }

  /** Stops the timers. */
  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
  }
}
