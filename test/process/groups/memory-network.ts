import {
  PermitTransport,
  type PermitLink,
  type PermitLinkHandlers,
} from '../../../src/connection/peer/permit-transport.js';
import type {PermitFrame} from '../../../src/process/groups/permit-messages.js';
import type {ManualClock} from '../../../stand-ins/manual-clock.js';

/** Faults of the network; probabilities for each frame. */
export interface Faults {
  drop: number;
  duplicate: number;
  reorder: number;
  maxDelayMs: number;
}

/** Runs a function at a host: at once, later if the host is paused, never if it is dead. */
export type Gate = (host: string, fn: () => void) => void;

/** In-memory network between hosts. */
export class MemoryNetwork {
  readonly faults: Faults = {drop: 0, duplicate: 0, reorder: 0, maxDelayMs: 2};
  /** Sees each frame before it is sent; returning false loses it. */
  filter: (from: string, to: string, frame: PermitFrame) => boolean = () =>
    true;
  private readonly cuts = new Set<string>();
  private readonly ports = new Map<string, MemoryTransport>();

  constructor(
    readonly clock: ManualClock,
    readonly random: () => number,
    readonly gate: Gate,
  ) {}

  /** Creates the transport of a host; a former one of the same host is replaced. */
  transport(host: string): MemoryTransport {
    const transport = new MemoryTransport(this, host);
    this.ports.set(host, transport);
    return transport;
  }

  /** Loses everything between two hosts without notice. */
  cut(a: string, b: string): void {
    this.cuts.add(`${a} ${b}`);
    this.cuts.add(`${b} ${a}`);
  }

  heal(): void {
    this.cuts.clear();
  }

  isCut(a: string, b: string): boolean {
    return this.cuts.has(`${a} ${b}`);
  }

  port(host: string): MemoryTransport | undefined {
    return this.ports.get(host);
  }

  /** Closes every link of a host that crashed, as its operating system does. */
  crash(host: string): void {
    const links = this.ports.get(host)?.links ?? [];
    this.ports.delete(host);
    for (const link of links) link.reset();
  }
}

class MemoryLink implements PermitLink {
  peer!: MemoryLink;
  handlers: PermitLinkHandlers | undefined;
  private closed = false;
  private nextMs = 0;
  private readonly early: PermitFrame[] = [];

  constructor(
    private readonly network: MemoryNetwork,
    readonly from: string,
    readonly to: string,
  ) {}

  send(frame: PermitFrame): void {
    if (this.closed) return;
    const {faults, random, filter} = this.network;
    if (!filter(this.from, this.to, frame)) return;
    if (random() < faults.drop) return;
    const copies = random() < faults.duplicate ? 2 : 1;
    for (let i = 0; i < copies; i++) {
      let atMs = this.network.clock.nowMs() + random() * faults.maxDelayMs;
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

class MemoryTransport extends PermitTransport {
  readonly links: MemoryLink[] = [];
  private accept:
    ((host: string, link: PermitLink) => PermitLinkHandlers) | undefined;

  constructor(
    private readonly network: MemoryNetwork,
    private readonly host: string,
  ) {
    super();
  }

  override connect(host: string, handlers: PermitLinkHandlers): PermitLink {
    const near = new MemoryLink(this.network, this.host, host);
    const far = new MemoryLink(this.network, host, this.host);
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
