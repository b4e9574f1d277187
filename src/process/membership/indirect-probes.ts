import type {Receiver} from './effects.js';
import {timing} from './timing.js';

/** Host that requested an indirect ping. */
export interface ProbeOrigin {
  readonly to: Receiver;
  /** Sequence number of that host's own probe, to repeat in the ack. */
  readonly sequence: number;
}

/** Maximum number of indirect pings in progress. */
const maxIndirectProbes = 64;

/** Indirect pings that this host sends on behalf of other hosts. */
export class IndirectProbes {
  /** Origins with their deadlines, by sequence number of this host's ping. */
  private readonly origins = new Map<number, ProbeOrigin & {untilMs: number}>();

  /**
   * Registers an indirect ping.
   *
   * @param sequence - Sequence number of this host's ping.
   * @param origin - Host to forward the ack to.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns False if too many are in progress; the ping must not be sent then.
   */
  add(sequence: number, origin: ProbeOrigin, nowMs: number): boolean {
    if (this.origins.size >= maxIndirectProbes) return false;
    const untilMs = nowMs + timing.indirectTimeoutMs;
    this.origins.set(sequence, {...origin, untilMs});
    return true;
  }

  /**
   * Completes an indirect ping.
   *
   * @param sequence - Sequence number of the ack.
   * @returns The origin, if the ack belongs to an indirect ping.
   */
  take(sequence: number): ProbeOrigin | undefined {
    const origin = this.origins.get(sequence);
    this.origins.delete(sequence);
    return origin;
  }

  /**
   * Removes pings that were not acked in time.
   *
   * @param nowMs - Monotonic time in milliseconds.
   */
  expire(nowMs: number): void {
    for (const [sequence, {untilMs}] of this.origins) {
      if (nowMs > untilMs) this.origins.delete(sequence);
    }
  }
}
