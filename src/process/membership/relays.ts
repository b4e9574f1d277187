import type {Receiver} from './effects.js';
import {timing} from './timing.js';

/** Asker of an indirect ping. */
export interface Asker {
  readonly to: Receiver;
  /** Sequence number of the asker. */
  readonly sequence: number;
}

/** Greatest number of indirect pings under way for other hosts. */
const maxRelays = 64;

/** Indirect pings that this host sent for others. */
export class Relays {
  private readonly askers = new Map<number, Asker & {untilMs: number}>();

  /**
   * Notes an indirect ping.
   *
   * @param sequence - Sequence number of this host's ping.
   * @param asker - Host that gets the ack.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns False if there are too many under way.
   */
  add(sequence: number, asker: Asker, nowMs: number): boolean {
    if (this.askers.size >= maxRelays) return false;
    const untilMs = nowMs + timing.indirectTimeoutMs;
    this.askers.set(sequence, {...asker, untilMs});
    return true;
  }

  /**
   * Ends an indirect ping.
   *
   * @param sequence - Sequence number of the ack.
   * @returns The asker, if the ack belongs to an indirect ping.
   */
  take(sequence: number): Asker | undefined {
    const asker = this.askers.get(sequence);
    this.askers.delete(sequence);
    return asker;
  }

  /**
   * Forgets pings that were not acked in time.
   *
   * @param nowMs - Monotonic time in milliseconds.
   */
  expire(nowMs: number): void {
    for (const [sequence, {untilMs}] of this.askers) {
      if (nowMs > untilMs) this.askers.delete(sequence);
    }
  }
}
