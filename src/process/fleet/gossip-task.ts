import {createSocket, type Socket} from 'node:dgram';
import {every, type Cancel, type Clock} from '../clock.js';
import type {Endpoint} from '../gateway-settings.js';
import {Subject} from '../subject.js';
import {
  decodeGossip,
  encodeGossip,
  type GossipMessage,
} from './gossip-message.js';
import {gossipIntervalMs, minIntervalMs} from './gossip-interval.js';
import type {PeerTable} from './peer-table.js';

/** Parts that gossip uses. */
export interface GossipParts {
  readonly clock: Clock;
  readonly ip: string;
  readonly port: number;
  readonly seeds: readonly Endpoint[];
  readonly peers: PeerTable;
  /** Builds the message to send now. */
  readonly compose: (sequence: number) => GossipMessage;
  readonly onRejected: (address: string) => void;
}

/** Owns the datagram socket between hosts: sends this host's state to all others, and hears theirs. */
export class GossipTask {
  private readonly socket: Socket = createSocket('udp4');
  private readonly subject = new Subject<GossipMessage>();
  private sequence = 0;
  private cancel: Cancel = () => {};
  private nextSendMs = 0;

  /** Messages that are newer than what was heard of their host. */
  readonly messages = this.subject.stream;

  /** @param parts - Parts of the process. */
  constructor(private readonly parts: GossipParts) {
    this.socket.on('message', (datagram, from) =>
      this.receive(datagram, from.address),
    );
    // A host that is down answers with an ICMP error, which ends nothing.
    this.socket.on('error', () => {});
  }

  /** Starts to send and to listen. */
  start(): Promise<void> {
    const {clock, ip, port} = this.parts;
    return new Promise((resolve, reject) => {
      this.socket.once('error', reject);
      this.socket.bind(port, ip, () => {
        this.socket.removeListener('error', reject);
        this.cancel = every(clock, minIntervalMs, () => this.tick());
        this.send();
        resolve();
      });
    });
  }

  /** Sends the state now. */
  send(): void {
    const {peers, port, seeds, compose} = this.parts;
    const datagram = encodeGossip(compose(++this.sequence));
    const addresses = new Set(peers.all.map(({ip}) => ip));
    // Seeds are only needed while no other host is known.
    if (addresses.size === 0)
      for (const seed of seeds) addresses.add(seed.address);
    addresses.delete(this.parts.ip);
    for (const address of addresses) {
      // A datagram that cannot be sent is replaced by the next one.
      this.socket.send(datagram, port, address, () => {});
    }
  }

  /** Sends the state at the next interval, though it is not this host's time yet. */
  sendSoon(): void {
    this.nextSendMs = 0;
  }

  /** Stops to send and to listen. */
  stop(): void {
    this.cancel();
    this.socket.close();
  }

  private tick(): void {
    const {clock, peers} = this.parts;
    const nowMs = clock.nowMs();
    if (nowMs < this.nextSendMs) return;
    const everyMs = gossipIntervalMs(peers.all.length);
    this.nextSendMs = nowMs + everyMs - minIntervalMs / 2;
    this.send();
  }

  private receive(datagram: Buffer, address: string): void {
    const message = decodeGossip(datagram);
    if (!message) {
      this.parts.onRejected(address);
      return;
    }
    if (this.parts.peers.receive(message, this.parts.clock.nowMs())) {
      this.subject.next(message);
    }
  }
}
