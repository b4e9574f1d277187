import type {Receiver} from './effects.js';
import {timing} from './timing.js';

/** Host that requested an indirect ping. */
export interface ProbeRequester {
  readonly to: Receiver;
  /** Sequence number of the requester's own probe, to repeat in the ack. */
  readonly sequence: number;
}

/** Maximum number of indirect pings in progress. */
const maxIndirectProbes = 64;

/** Indirect pings that this host sends on behalf of other hosts. */
export class IndirectProbes {
  /** Requesters with their deadlines, by sequence number of this host's ping. */
  private readonly requesters = new Map<
    number,
    ProbeRequester & {untilMs: number}
  >();

  /**
   * Registers an indirect ping.
   *
   * @param sequence - Sequence number of this host's ping.
   * @param requester - Host to forward the ack to.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns False if too many are in progress; the ping must not be sent then.
   */
  add(sequence: number, requester: ProbeRequester, nowMs: number): boolean {
    if (this.requesters.size >= maxIndirectProbes) return false;
    const untilMs = nowMs + timing.indirectTimeoutMs;
    this.requesters.set(sequence, {...requester, untilMs});
    return true;
  }

  /**
   * Completes an indirect ping.
   *
   * @param sequence - Sequence number of the ack.
   * @returns The requester, if the ack belongs to an indirect ping.
   */
  take(sequence: number): ProbeRequester | undefined {
    const requester = this.requesters.get(sequence);
    this.requesters.delete(sequence);
    return requester;
  }

  /**
   * Removes pings that were not acked in time.
   *
   * @param nowMs - Monotonic time in milliseconds.
   */
  expire(nowMs: number): void {
    for (const [sequence, {untilMs}] of this.requesters) {
      if (nowMs > untilMs) this.requesters.delete(sequence);
    }
  }
}
