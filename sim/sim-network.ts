import type {
  PermitLink,
  PermitLinkHandlers,
} from '../src/connection/peer/permit-transport.js';
import {PermitTransport} from '../src/connection/peer/permit-transport.js';
import type {PermitFrame} from '../src/process/groups/permit-messages.js';
import type {Receiver} from '../src/process/membership/effects.js';
import type {
  LinkMessage,
  PeerIdentity,
} from '../src/process/membership/messages.js';
import {
  PeerTransport,
  type ReceivedMessage,
} from '../src/process/membership/peer-transport.js';
import {Subject} from '../src/process/subject.js';
import type {ManualClock} from '../stand-ins/manual-clock.js';

/** Faults of the network; probabilities for each message. */
export interface NetworkFaults {
  drop: number;
  duplicate: number;
  reorder: number;
  maxDelayMs: number;
}

/** Runs a function at a host: at once, later if the host is paused, never if it is dead. */
export type Gate = (host: string, fn: () => void) => void;

/** Seeded in-memory network between the hosts of a {@link SimFleet}. */
export class SimNetwork {
  readonly faults: NetworkFaults = {
    drop: 0,
    duplicate: 0,
    reorder: 0,
    maxDelayMs: 2,
  };
  private readonly cuts = new Set<string>();
  private readonly zones = new Map<string, string>();
  private readonly peers = new Map<string, SimPeerTransport>();
  private readonly ports = new Map<string, SimPermitTransport>();

  constructor(
    readonly clock: ManualClock,
    readonly random: () => number,
    readonly gate: Gate,
  ) {}

  /** Connects a host; a former process of the same host is replaced. */
  attach(self: PeerIdentity): {
    peers: SimPeerTransport;
    permits: SimPermitTransport;
  } {
    this.zones.set(self.id, self.zone);
    const peers = new SimPeerTransport(this, self);
    const permits = new SimPermitTransport(this, self.id);
    this.peers.set(self.address, peers);
    this.ports.set(self.id, permits);
    return {peers, permits};
  }

  /** Takes a host off the network and closes its links, as its operating system does. */
  detach(self: PeerIdentity): void {
    this.peers.delete(self.address);
    const links = this.ports.get(self.id)?.links ?? [];
    this.ports.delete(self.id);
    for (const link of links) link.reset();
  }

  /** Loses everything between two zones without notice. */
  cut(a: string, b: string): void {
    this.cuts.add(`${a} ${b}`).add(`${b} ${a}`);
  }

  /** Ends all cuts. */
  heal(): void {
    this.cuts.clear();
  }

  /** Tells whether nothing passes between two zones. */
  isZoneCut(a: string, b: string): boolean {
    return this.cuts.has(`${a} ${b}`);
  }

  isCut(from: string, to: string): boolean {
    const a = this.zones.get(from) ?? '';
    return this.isZoneCut(a, this.zones.get(to) ?? '');
  }

  peerAt(address: string): SimPeerTransport | undefined {
    return this.peers.get(address);
  }

  port(host: string): SimPermitTransport | undefined {
    return this.ports.get(host);
  }
}

/** Links of the membership: messages may be lost, but keep their order on one link. */
export class SimPeerTransport extends PeerTransport {
  private readonly subject = new Subject<ReceivedMessage>();
  private readonly nextMs = new Map<string, number>();
  override readonly messages = this.subject.stream;

  constructor(
    private readonly network: SimNetwork,
    readonly self: PeerIdentity,
  ) {
    super();
  }

  override send(to: Receiver, message: LinkMessage): void {
    const {network, self} = this;
    const {clock, faults, random} = network;
    if (random() < faults.drop) return;
    const dueMs = clock.nowMs() + 0.2 + random() * faults.maxDelayMs;
    const atMs = Math.max(dueMs, this.nextMs.get(to.address) ?? 0);
    this.nextMs.set(to.address, atMs);
    clock.after(atMs - clock.nowMs(), () => {
      const other = network.peerAt(to.address);
      if (!other || network.isCut(self.id, other.self.id)) return;
      network.gate(other.self.id, () => {
        if (network.peerAt(to.address) !== other) return;
        other.subject.next({from: self, message});
      });
    });
  }

  override keep(): void {}
}

class SimPermitLink implements PermitLink {
  peer!: SimPermitLink;
  handlers: PermitLinkHandlers | undefined;
  private closed = false;
  private nextMs = 0;
  private readonly early: PermitFrame[] = [];

  constructor(
    private readonly network: SimNetwork,
    readonly from: string,
    readonly to: string,
  ) {}

  send(frame: PermitFrame): void {
    if (this.closed) return;
    const {faults, random, clock} = this.network;
    if (random() < faults.drop) return;
    const copies = random() < faults.duplicate ? 2 : 1;
    for (let i = 0; i < copies; i++) {
      let atMs = clock.nowMs() + 0.2 + random() * faults.maxDelayMs;
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
    const {handlers} = this;
    this.network.gate(this.from, () => handlers?.closed('reset'));
    this.after(this.network.clock.nowMs() + 1, () => this.peer.reset());
  }

  accept(handlers: PermitLinkHandlers): void {
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

/** Permit streams between hosts. */
export class SimPermitTransport extends PermitTransport {
  readonly links: SimPermitLink[] = [];
  private acceptor:
    ((host: string, link: PermitLink) => PermitLinkHandlers) | undefined;

  constructor(
    private readonly network: SimNetwork,
    private readonly host: string,
  ) {
    super();
  }

  override connect(host: string, handlers: PermitLinkHandlers): PermitLink {
    const {network} = this;
    const near = new SimPermitLink(network, this.host, host);
    const far = new SimPermitLink(network, host, this.host);
    near.peer = far;
    far.peer = near;
    near.handlers = handlers;
    this.links.push(near);
    network.clock.after(1, () => {
      if (network.isCut(this.host, host)) return;
      const port = network.port(host);
      if (!port) return near.reset();
      port.links.push(far);
      network.gate(host, () => {
        if (port.acceptor) far.accept(port.acceptor(this.host, far));
      });
    });
    return near;
  }

  override listen(
    accept: (host: string, link: PermitLink) => PermitLinkHandlers,
  ): void {
    this.acceptor = accept;
  }
}
