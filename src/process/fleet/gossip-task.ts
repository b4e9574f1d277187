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
import {composeSections, type GossipSection} from './gossip-section.js';
import {composedAtMs, echoFor} from './message-time.js';
import type {Peer, PeerTable} from './peer-table.js';
import {batchIntervalMs, SendRound} from './send-round.js';

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
  /** Parts that features add to the messages. */
  readonly sections: readonly GossipSection[];
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
  /** Message of the current round, without its echo, and the monotonic time at which it was composed. */
  private shared: Buffer = Buffer.alloc(0);
  private composedAtMs = 0;
  private peersByAddress: ReadonlyMap<string, Peer> = new Map();
  private readonly round = new SendRound();
  private bound = false;
  private stopped = false;

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

  /**
   * Binds the socket, sends the first message and starts sending at intervals.
   *
   * @returns A promise that rejects if the address cannot be bound; the call can be repeated.
   */
  start(): Promise<void> {
    const {clock, ip, port} = this.parts;
    return new Promise((resolve, reject) => {
      this.socket.once('error', reject);
      this.socket.bind(port, ip, () => {
        this.socket.removeListener('error', reject);
        this.bound = true;
        this.cancel = every(clock, minIntervalMs, () => this.tick());
        this.send();
        resolve();
      });
    });
  }

  /** Sends a message to all known hosts, in batches if there are many; has no effect before the start. */
  send(): void {
    // A socket that sends before it is bound gets any port.
    if (!this.bound) return;
    const {clock, ip, peers, seeds, compose, sections} = this.parts;
    const nowMs = clock.nowMs();
    this.composedAtMs = nowMs;
    this.shared = encodeGossip({
      ...compose(++this.sequence),
      sections: composeSections(sections, section => section.compose(nowMs)),
    });
    this.peersByAddress = new Map(peers.all.map(peer => [peer.ip, peer]));
    const addresses = new Set(this.peersByAddress.keys());
    // Seeds are only contacted while no other host is known.
    if (addresses.size === 0)
      for (const {address} of seeds) addresses.add(address);
    addresses.delete(ip);
    const isSending = this.round.pending > 0;
    this.round.start([...addresses]);
    if (!isSending) this.sendRound();
  }

  private sendRound(): void {
    if (this.stopped) return;
    this.sendBatch();
    if (this.round.pending === 0) return;
    this.parts.clock.after(batchIntervalMs, () => this.sendRound());
  }

  private sendBatch(): void {
    const {port, sections} = this.parts;
    for (const address of this.round.takeBatch(this.shared.length)) {
      const peer = this.peersByAddress.get(address);
      // Ages in the message refer to the time at which it was composed, so the echo does, too.
      const directed =
        peer &&
        composeSections(sections, section =>
          section.composeFor(peer.host, this.composedAtMs),
        );
      const rest = encodeEcho(
        peer && echoFor(peer, this.composedAtMs),
        directed,
      );
      // Send errors are ignored: the next message replaces this one.
      this.socket.send([this.shared, rest], port, address, () => {});
    }
  }

  /** Sends a message at the next tick, even if the gossip interval has not passed. */
  sendSoon(): void {
    this.nextSendMs = 0;
  }

  /** Stops sending and closes the socket. */
  stop(): void {
    this.stopped = true;
    // The last message states that this host leaves, so it goes to all hosts.
    while (this.round.pending > 0) this.sendBatch();
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
    const composedMs = composedAtMs(message.echo, incarnation, nowMs);
    this.subject.next({message, composedAtMs: composedMs});
    const {host, zone, incarnation: run} = message;
    const origin = {host, zone, incarnation: run, composedAtMs: composedMs};
    for (const section of this.parts.sections) {
      const {name} = section;
      section.receive(message.sections?.[name], origin);
      const directed = message.directedSections?.[name];
      if (directed !== undefined) section.receiveDirected(directed, origin);
    }
  }
}
