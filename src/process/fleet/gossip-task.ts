import {createSocket, type Socket} from 'node:dgram';
import {every, type Cancel, type Clock} from '../clock.js';
import type {Endpoint} from '../gateway-settings.js';
import {Subject} from '../subject.js';
import {
  decodeGossip,
  encodeEcho,
  encodeGossip,
  type GossipMessage,
} from './gossip-message.js';
import {gossipIntervalMs, minIntervalMs} from './gossip-interval.js';
import {composedAtMs, echoFor} from './message-time.js';
import type {Peer, PeerTable} from './peer-table.js';

/** A message with the time to which its statements refer. */
export interface ReceivedGossip {
  readonly message: GossipMessage;
  /** Monotonic time of this host before which the message was not composed; `-Infinity` if unknown. */
  readonly composedAtMs: number;
}

/** Dependencies of a {@link GossipTask}. */
export interface GossipParts {
  readonly clock: Clock;
  readonly ip: string;
  readonly port: number;
  /** Unix time at which this host started, in milliseconds. */
  readonly incarnation: number;
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
  private readonly subject = new Subject<ReceivedGossip>();
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
    const {clock, ip, peers, port, seeds, compose} = this.parts;
    const nowMs = clock.nowMs();
    const shared = encodeGossip(compose(++this.sequence));
    const recipients = new Map<string, Peer | undefined>();
    for (const peer of peers.all) recipients.set(peer.ip, peer);
    // Seeds are only contacted while no other host is known.
    if (recipients.size === 0)
      for (const {address} of seeds) recipients.set(address, undefined);
    recipients.delete(ip);
    for (const [address, peer] of recipients) {
      const rest = encodeEcho(peer && echoFor(peer, nowMs));
      // Send errors are ignored: the next message replaces this one.
      this.socket.send([shared, rest], port, address, () => {});
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
    const {clock, incarnation, peers} = this.parts;
    const nowMs = clock.nowMs();
    if (!peers.receive(message, nowMs)) return;
    this.subject.next({
      message,
      composedAtMs: composedAtMs(message.echo, incarnation, nowMs),
    });
  }
}
