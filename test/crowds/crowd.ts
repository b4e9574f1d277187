import {once} from 'node:events';
import {connect, type Socket} from 'node:net';

/** Where connections go. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** The bytes that a connection sends, in parts; each part is sent when the connection has taken the one before. */
export type Source = Iterable<Buffer>;

/** One connection of a crowd. */
export class Member {
  /** Whether all parts were taken, or the connection is closed. */
  done = false;
  /** Bytes received. */
  received = 0;
  readonly socket: Socket;
  readonly closed: Promise<unknown>;
  /** Resolves once the first part was taken or the connection is closed. */
  readonly started: Promise<unknown>;
  private onStarted = () => {};
  private readonly parts: Iterator<Buffer>;

  /**
   * @param address - Where it connects.
   * @param source - What it sends.
   * @param reads - Whether it reads what it receives.
   * @param paced - Whether a part is only sent by {@link sendPart}.
   */
  constructor(
    address: Address,
    source: Source,
    reads: boolean,
    readonly paced: boolean,
  ) {
    this.parts = source[Symbol.iterator]();
    this.socket = connect({...address, noDelay: true});
    this.socket.on('error', () => {});
    this.started = new Promise<void>(resolve => (this.onStarted = resolve));
    this.closed = new Promise(resolve => this.socket.once('close', resolve));
    this.socket.once('close', () => (this.done = true));
    if (reads) {
      this.socket.on('data', bytes => (this.received += bytes.length));
    }
    if (!paced) void this.sendAll();
  }

  /** Bytes that the connection has taken. */
  get sent(): number {
    return this.socket.bytesWritten - this.socket.writableLength;
  }

  /** Waits for the first line of an answer; empty if the connection is closed without one. */
  async firstLine(): Promise<string> {
    let text = '';
    const complete = new Promise<void>(resolve =>
      this.socket.on('data', (bytes: Buffer) => {
        text += bytes.toString('latin1');
        if (text.includes('\r\n')) resolve();
      }),
    );
    await Promise.race([complete, this.closed]);
    return text.split('\r\n', 1)[0];
  }

  /** Sends the next part if the connection has taken the one before. */
  sendPart(): void {
    if (this.done || this.socket.writableLength > 0) return;
    const {value, done} = this.parts.next();
    if (done) this.done = true;
    else this.socket.write(value);
  }

  private async sendAll(): Promise<void> {
    while (!this.done) {
      const {value, done} = this.parts.next();
      if (done) break;
      // Without waiting for each part, a connection that takes all at once would not let others send.
      const taken = new Promise<void>(resolve =>
        this.socket.write(value, () => setImmediate(resolve)),
      );
      await Promise.race([taken, this.closed]);
      this.onStarted();
    }
    this.done = true;
  }
}

/** What a crowd consists of. */
export interface CrowdOptions {
  readonly address: Address;
  readonly count: number;
  /** Creates what a connection sends. */
  readonly source: (index: number) => Source;
  /** Whether answers are read; by default they are. */
  readonly reads?: boolean;
  /** Whether each connection sends one part, then lets the host answer a probe. */
  readonly paced?: boolean;
}

/** Connections that are opened together and stay open until they leave. */
export class Crowd {
  readonly members: readonly Member[];

  constructor(options: CrowdOptions) {
    const {address, count, source, reads = true, paced = false} = options;
    this.members = Array.from(
      {length: count},
      (_, i) => new Member(address, source(i), reads, paced),
    );
  }

  /** Whether each connection has sent all or is closed. */
  get isDone(): boolean {
    return this.members.every(({done}) => done);
  }

  /** Number of bytes and closes so far; it stays the same once nothing moves. */
  get progress(): number {
    let sum = 0;
    for (const {sent, received, socket} of this.members) {
      sum += sent + received + Number(socket.destroyed);
    }
    return sum;
  }

  /** Largest number of bytes that one connection has taken. */
  get mostSent(): number {
    return Math.max(...this.members.map(({sent}) => sent));
  }

  /** Sends the next part of each connection that waits for its turn. */
  sendParts(): void {
    for (const member of this.members) if (member.paced) member.sendPart();
  }

  /** Resolves once each connection is open or closed. */
  async opened(): Promise<void> {
    await Promise.all(
      this.members.map(({socket, closed}) =>
        socket.connecting
          ? Promise.race([once(socket, 'connect').catch(() => {}), closed])
          : undefined,
      ),
    );
  }

  /** Resolves once each connection has taken its first part or is closed. */
  async started(): Promise<void> {
    await Promise.all(this.members.map(({started}) => started));
  }

  /** Closes all connections. */
  async leave(): Promise<void> {
    for (const {socket} of this.members) socket.destroy();
    await Promise.all(this.members.map(({closed}) => closed));
  }
}
