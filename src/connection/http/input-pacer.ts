import type {Clock} from '../../process/clock.js';
import {excessInputs, restAfterMs, type WaitingInput} from './work-share.js';

/** Input that is parsed slice by slice. */
export interface SlicedInput extends WaitingInput {
  /**
   * Parses the next slice.
   *
   * @returns Whether more can be parsed at once.
   */
  parseSlice(): boolean;

  /** Rejects the input, because others compete with it for the processor. */
  reject(): void;
}

/**
 * Parses the waiting input of all connections in turns, one slice of each, and rests after some time of work. Many small
 * parts of a body take some hundred times the processor time of one large part.
 */
export class InputPacer {
  private waiting: SlicedInput[] = [];
  private isScheduled = false;

  /** @param clock - Measures the work and provides the rests. */
  constructor(readonly clock: Clock) {}

  /**
   * Adds input that can be parsed and that is not waiting yet.
   *
   * @param input - Input of a connection.
   */
  add(input: SlicedInput): void {
    this.waiting.push(input);
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => this.run());
  }

  private run(): void {
    const startMs = this.clock.nowMs();
    let restMs = 0;
    try {
      while (this.waiting.length > 0 && restMs === 0) {
        const inputs = this.waiting;
        this.waiting = [];
        restMs = this.parseEach(inputs, startMs);
      }
      for (const input of excessInputs(this.waiting)) input.reject();
    } finally {
      this.isScheduled = this.waiting.length > 0;
      if (this.isScheduled) this.clock.after(restMs, () => this.run());
    }
  }

  /** Parses one slice of each input until a rest is due; the inputs that are left come first afterwards. */
  private parseEach(inputs: SlicedInput[], startMs: number): number {
    let restMs = 0;
    let count = 0;
    const unfinished: SlicedInput[] = [];
    try {
      while (count < inputs.length && restMs === 0) {
        const input = inputs[count++];
        if (input.parseSlice()) unfinished.push(input);
        restMs = restAfterMs(this.clock.nowMs() - startMs);
      }
    } finally {
      this.waiting = [...inputs.slice(count), ...unfinished, ...this.waiting];
    }
    return restMs;
  }
}
