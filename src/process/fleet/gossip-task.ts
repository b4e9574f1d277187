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

/** Dependencies of a {@link GossipTask}. */
export interface GossipParts {
  readonly clock: Clock;
  readonly ip: string;
  readonly port: number;
  /** Hosts that are contacted while no other host is known. */
  readonly seeds: readonly Endpoint[];
  readonly peers: PeerTable;
  /** Builds the current message of this host. */
  readonly compose: (sequence: number) => GossipMessage;
  /** Called with the sender of a datagram that is not a valid message. */
  readonly onRejected: (address: string) => void;
}

/** Owns the gossip socket: sends this host's messages to all other hosts and receives theirs. */
export class GossipTask {
  private readonly socket: Socket = createSocket('udp4');
  private readonly subject = new Subject<GossipMessage>();
  private sequence = 0;
  private cancel: Cancel = () => {};
  private nextSendMs = 0;

  /** Received messages, except those that are older than the last one of the same host. */
  readonly messages = this.subject.stream;

  /** @param parts - Dependencies. */
  constructor(private readonly parts: GossipParts) {
    this.socket.on('message', (datagram, from) =>
      this.receive(datagram, from.address),
    );
    // ICMP errors of hosts that are down are ignored.
    this.socket.on('error', () => {});
  }

  /** Binds the socket, sends the first message and starts sending at intervals. */
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

  /** Sends a message to all known hosts immediately. */
  send(): void {
    const {peers, port, seeds, compose} = this.parts;
    const datagram = encodeGossip(compose(++this.sequence));
    const addresses = new Set(peers.all.map(({ip}) => ip));
    // Seeds are only contacted while no other host is known.
    if (addresses.size === 0)
      for (const seed of seeds) addresses.add(seed.address);
    addresses.delete(this.parts.ip);
    for (const address of addresses) {
      // Send errors are ignored: the next message replaces this one.
      this.socket.send(datagram, port, address, () => {});
    }
  }

  /** Sends a message at the next tick, even if the gossip interval has not passed. */
  sendSoon(): void {
    this.nextSendMs = 0;
  }

  /** Stops sending and closes the socket. */
  stop(): void {
    this.cancel();
    this.socket.close();
  }

  private tick(): void {
    const {clock, peers} = this.parts;
    const nowMs = clock.nowMs();
    if (nowMs < this.nextSendMs) return;
    const intervalMs = gossipIntervalMs(peers.all.length);
    this.nextSendMs = nowMs + intervalMs - minIntervalMs / 2;
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
