import {ByteBuffer} from '../../process/byte-buffer.js';
import type {Cancel, Clock} from '../../process/clock.js';

/**
 * Fraction of the time within which an event must reach the caller for which events are gathered. The rest is for a
 * host that is short of processor time, and for the network.
 */
const gatherShare = 0.3;

/**
 * Limits the writes for one stream: events that follow the last write closely are gathered and sent with one write. Fast
 * targets send an event every 10 to 20 ms, and each write costs a host more than relaying the event does otherwise.
 */
export class EventBatch {
  private readonly gathered = new ByteBuffer();
  private cancel: Cancel | undefined;
  /** Time of the last write on the process's clock, in milliseconds. */
  private sentAtMs = -Infinity;

  /**
   * @param clock - Clock of the process.
   * @param eventDelayMs - Maximum time from an event at its target until it reaches the caller, in milliseconds; 0 to
   *   send every event at once.
   * @param send - Sends events to the caller.
   */
  constructor(
    private readonly clock: Clock,
    private readonly eventDelayMs: number,
    private readonly send: (events: Buffer) => void,
  ) {}

  /**
   * Sends events at once if the last write was long enough ago, or else together with those that follow.
   *
   * @param events - Bytes of one or more complete events.
   */
  add(events: Buffer): void {
    this.gathered.append(events);
    if (this.cancel) return;
    const waitMs =
      this.sentAtMs + this.eventDelayMs * gatherShare - this.clock.nowMs();
    if (waitMs <= 0) this.flush();
    else this.cancel = this.clock.after(waitMs, () => this.flush());
  }

  /** Sends what was gathered. */
  flush(): void {
    const events = this.take();
    if (events.length === 0) return;
    this.sentAtMs = this.clock.nowMs();
    this.send(events);
  }

  /** @returns What was gathered; the caller of this method sends it. */
  take(): Buffer {
    this.stop();
    return this.gathered.take();
  }

  /** Stops the timer; nothing is sent any more unless {@link flush} is called. */
  stop(): void {
    this.cancel?.();
    this.cancel = undefined;
  }
}
