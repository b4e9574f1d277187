import type {Receiver} from './effects.js';
import {timing} from './timing.js';

/** Asker of an indirect ping. */
export interface ProbeRequester {
  readonly to: Receiver;
  /** Sequence number of the asker. */
  readonly sequence: number;
}

/** Greatest number of indirect pings under way for other hosts. */
const maxIndirectProbes = 64;

/** Indirect pings that this host sent for others. */
export class IndirectProbes {
  private readonly requesters = new Map<
    number,
    ProbeRequester & {untilMs: number}
  >();

  /**
   * Notes an indirect ping.
   *
   * @param sequence - Sequence number of this host's ping.
   * @param requester - Host that gets the ack.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns False if there are too many under way.
   */
  add(sequence: number, requester: ProbeRequester, nowMs: number): boolean {
    if (this.requesters.size >= maxIndirectProbes) return false;
    const untilMs = nowMs + timing.indirectTimeoutMs;
    this.requesters.set(sequence, {...requester, untilMs});
    return true;
  }

  /**
   * Ends an indirect ping.
   *
   * @param sequence - Sequence number of the ack.
   * @returns The asker, if the ack belongs to an indirect ping.
   */
  take(sequence: number): ProbeRequester | undefined {
    const asker = this.requesters.get(sequence);
    this.requesters.delete(sequence);
    return asker;
  }

  /**
   * Forgets pings that were not acked in time.
   *
   * @param nowMs - Monotonic time in milliseconds.
   */
  expire(nowMs: number): void {
    for (const [sequence, {untilMs}] of this.requesters) {
      if (nowMs > untilMs) this.requesters.delete(sequence);
    }
  }
}
