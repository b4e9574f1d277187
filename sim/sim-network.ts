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
import {
  MemoryPermitTransport,
  type Gate,
  type NetworkFaults,
  type PermitNetwork,
} from '../stand-ins/memory-permit-transport.js';

/** Seeded in-memory network between the hosts of a {@link SimFleet}. */
export class SimNetwork implements PermitNetwork {
  readonly minDelayMs = 0.2;
  readonly faults: NetworkFaults = {
    drop: 0,
    duplicate: 0,
    reorder: 0,
    maxDelayMs: 2,
  };
  private readonly cuts = new Set<string>();
  private readonly zones = new Map<string, string>();
  private readonly peers = new Map<string, SimPeerTransport>();
  private readonly ports = new Map<string, MemoryPermitTransport>();

  constructor(
    readonly clock: ManualClock,
    readonly random: () => number,
    readonly gate: Gate,
  ) {}

  /** Connects a host; a former process of the same host is replaced. */
  attach(self: PeerIdentity): {
    peers: SimPeerTransport;
    permits: MemoryPermitTransport;
  } {
    this.zones.set(self.id, self.zone);
    const peers = new SimPeerTransport(this, self);
    const permits = new MemoryPermitTransport(this, self.id);
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

  port(host: string): MemoryPermitTransport | undefined {
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
    const dueMs =
      clock.nowMs() + network.minDelayMs + random() * faults.maxDelayMs;
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

  override keepLinks(): void {}
}
