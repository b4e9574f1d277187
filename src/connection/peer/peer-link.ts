import type {Clock} from '../../process/clock.js';
import type {
  Hello,
  LinkMessage,
  PeerIdentity,
} from '../../process/membership/messages.js';
import {protocolVersion, type Incoming} from './peer-codec.js';

/** Why a link was refused or closed. */
export type LinkRefusal =
  'fleet' | 'protocol' | 'identity' | 'hello' | 'garbage' | 'rate' | 'mute';

/** What a link uses of a gRPC stream of either end. */
export interface LinkStream {
  write(message: LinkMessage): unknown;
  readonly writableLength: number;
  on(event: 'data', fn: (incoming: Incoming) => void): unknown;
  on(event: 'error' | 'end' | 'cancelled', fn: () => void): unknown;
}

/** How a link is embedded in its host. */
export interface LinkHandlers {
  readonly clock: Clock;
  readonly own: () => Hello;
  /** Tells whether the certificate of the other end names a host. */
  readonly certifies: (host: string) => boolean;
  /** Ends the stream, at once if a reason is given. */
  readonly end: (refusal?: LinkRefusal) => void;
  readonly onOpen: (link: PeerLink) => void;
  readonly onMessage: (link: PeerLink, message: LinkMessage) => void;
  readonly onClose: (link: PeerLink, refusal?: LinkRefusal) => void;
}

/** Rate bounds of a link; they leave room for what waits after a pause of a minute. */
const rates = {
  messages: {burst: 1000, perSecond: 100},
  bytes: {burst: 8 * 1024 * 1024, perSecond: 1024 * 1024},
} as const;

/** Bytes that may wait to be sent; more are dropped. */
const maxWaitingBytes = 512 * 1024;

/** One end of a link stream. Nothing is delivered before the other end said a valid hello. */
export class PeerLink {
  /** The host at the other end, once it is known. */
  peer: PeerIdentity | undefined;
  /** When a message last came, in milliseconds; before the first, when the link was made. */
  receivedAtMs: number;
  /** When a message was first sent after the last one came; `undefined` if none was. */
  unansweredSinceMs: number | undefined;
  /** When a message was last sent, in milliseconds. */
  sentAtMs: number;
  private closed = false;
  private readonly messages;
  private readonly bytes;

  /**
   * @param stream - gRPC stream.
   * @param handlers - Embedding.
   */
  constructor(
    private readonly stream: LinkStream,
    private readonly handlers: LinkHandlers,
  ) {
    const nowMs = handlers.clock.nowMs();
    this.receivedAtMs = nowMs;
    this.sentAtMs = nowMs;
    this.messages = new TokenBucket(rates.messages, nowMs);
    this.bytes = new TokenBucket(rates.bytes, nowMs);
    stream.on('data', incoming => this.receive(incoming));
    stream.on('error', () => this.close());
    stream.on('end', () => this.close());
    stream.on('cancelled', () => this.close());
    stream.write({hello: handlers.own()});
  }

  /**
   * Sends a message, unless too much waits to be sent.
   *
   * @param message - Message to send.
   * @returns False if it was dropped.
   */
  send(message: LinkMessage): boolean {
    if (this.closed || this.stream.writableLength > maxWaitingBytes) {
      return false;
    }
    this.sentAtMs = this.handlers.clock.nowMs();
    this.unansweredSinceMs ??= this.sentAtMs;
    this.stream.write(message);
    return true;
  }

  /**
   * Ends the link.
   *
   * @param refusal - Reason, if the other end is at fault.
   */
  close(refusal?: LinkRefusal): void {
    if (this.closed) return;
    this.closed = true;
    this.handlers.onClose(this, refusal);
    this.handlers.end(refusal);
  }

  private receive({message, bytes}: Incoming): void {
    if (this.closed) return;
    const nowMs = this.handlers.clock.nowMs();
    if (!this.messages.take(1, nowMs) || !this.bytes.take(bytes, nowMs)) {
      return this.close('rate');
    }
    if (!message) return this.close('garbage');
    this.receivedAtMs = nowMs;
    this.unansweredSinceMs = undefined;
    if (this.peer) {
      if (message.hello) return this.close('hello');
      return this.handlers.onMessage(this, message);
    }
    const refusal = this.checkHello(message.hello);
    if (refusal) return this.close(refusal);
    const {id, zone, region, address} = message.hello as Hello;
    this.peer = {id, zone, region, address};
    this.handlers.onOpen(this);
  }

  private checkHello(hello: Hello | undefined): LinkRefusal | undefined {
    const own = this.handlers.own();
    if (!hello) return 'hello';
    if (hello.fleet !== own.fleet) return 'fleet';
    if (hello.protocol !== protocolVersion) return 'protocol';
    // A host that reaches itself by a seed address is no peer.
    if (hello.id === own.id) return 'identity';
    return this.handlers.certifies(hello.id) ? undefined : 'identity';
  }
}

class TokenBucket {
  private tokens: number;

  constructor(
    private readonly rate: {readonly burst: number; readonly perSecond: number},
    private filledAtMs: number,
  ) {
    this.tokens = rate.burst;
  }

  take(count: number, nowMs: number): boolean {
    const {burst, perSecond} = this.rate;
    const filled = ((nowMs - this.filledAtMs) / 1000) * perSecond;
    this.tokens = Math.min(burst, this.tokens + filled);
    this.filledAtMs = nowMs;
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }
}
