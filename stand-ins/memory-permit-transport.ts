import {
  PermitTransport,
  type PermitLink,
  type PermitLinkHandlers,
} from '../src/connection/peer/permit-transport.js';
import type {PermitFrame} from '../src/process/groups/permit-messages.js';
import type {ManualClock} from './manual-clock.js';

/** Faults of a network; probabilities for each message. */
export interface NetworkFaults {
  drop: number;
  duplicate: number;
  reorder: number;
  maxDelayMs: number;
}

/** Runs a function at a host: at once, later if the host is paused, never if it is dead. */
export type Gate = (host: string, fn: () => void) => void;

/** Network that carries permit streams in memory. */
export interface PermitNetwork {
  readonly clock: ManualClock;
  readonly random: () => number;
  readonly gate: Gate;
  readonly faults: NetworkFaults;
  /** Least delay of a frame, in milliseconds. */
  readonly minDelayMs: number;
  /** Sees each frame before it is sent; returning false loses it. */
  readonly filter?: (from: string, to: string, frame: PermitFrame) => boolean;
  isCut(from: string, to: string): boolean;
  port(host: string): MemoryPermitTransport | undefined;
}

/** One end of a permit stream; frames may be lost, repeated and reordered. */
class MemoryPermitLink implements PermitLink {
  peer!: MemoryPermitLink;
  handlers: PermitLinkHandlers | undefined;
  private closed = false;
  private nextMs = 0;
  private readonly early: PermitFrame[] = [];

  constructor(
    private readonly network: PermitNetwork,
    readonly from: string,
    readonly to: string,
  ) {}

  send(frame: PermitFrame): void {
    if (this.closed) return;
    const {clock, faults, minDelayMs, random, filter} = this.network;
    if (filter && !filter(this.from, this.to, frame)) return;
    if (random() < faults.drop) return;
    const copies = random() < faults.duplicate ? 2 : 1;
    for (let i = 0; i < copies; i++) {
      let atMs = clock.nowMs() + minDelayMs + random() * faults.maxDelayMs;
      if (random() >= faults.reorder) {
        atMs = this.nextMs = Math.max(atMs, this.nextMs);
      }
      this.after(atMs, () => this.peer.take(frame));
    }
  }

  close(): void {
    if (this.closed) return;
    this.closed = true;
    this.handlers = undefined;
    this.after(this.network.clock.nowMs() + 1, () => this.peer.reset());
  }

  /** The other side closed the link. */
  reset(): void {
    if (this.closed) return;
    this.closed = true;
    const handlers = this.handlers;
    this.network.gate(this.from, () => handlers?.closed('reset'));
    this.after(this.network.clock.nowMs() + 1, () => this.peer.reset());
  }

  attach(handlers: PermitLinkHandlers): void {
    this.handlers = handlers;
    for (const frame of this.early.splice(0)) handlers.frame(frame);
  }

  private take(frame: PermitFrame): void {
    if (this.closed) return;
    this.network.gate(this.from, () => {
      if (this.closed) return;
      if (this.handlers) this.handlers.frame(frame);
      else this.early.push(frame);
    });
  }

  private after(atMs: number, fn: () => void): void {
    const {clock} = this.network;
    clock.after(atMs - clock.nowMs(), () => {
      if (!this.network.isCut(this.from, this.to)) fn();
    });
  }
}

/** Permit streams between hosts, in memory. */
export class MemoryPermitTransport extends PermitTransport {
  readonly links: MemoryPermitLink[] = [];
  private accept:
    ((host: string, link: PermitLink) => PermitLinkHandlers) | undefined;

  constructor(
    private readonly network: PermitNetwork,
    private readonly host: string,
  ) {
    super();
  }

  override connect(host: string, handlers: PermitLinkHandlers): PermitLink {
    const near = new MemoryPermitLink(this.network, this.host, host);
    const far = new MemoryPermitLink(this.network, host, this.host);
    near.peer = far;
    far.peer = near;
    near.handlers = handlers;
    this.links.push(near);
    const {clock} = this.network;
    clock.after(1, () => {
      if (this.network.isCut(this.host, host)) return;
      const port = this.network.port(host);
      if (!port) {
        near.reset();
        return;
      }
      port.links.push(far);
      this.network.gate(host, () => {
        if (port.accept) far.attach(port.accept(this.host, far));
      });
    });
    return near;
  }

  override listen(
    accept: (host: string, link: PermitLink) => PermitLinkHandlers,
  ): void {
    this.accept = accept;
  }
}
