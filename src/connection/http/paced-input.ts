import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import {ByteBuffer} from '../../process/byte-buffer.js';
import type {InputPacer, SlicedInput} from './input-pacer.js';

/** Bytes that are parsed at a time where requests or chunks may begin. */
const sliceBytes = 1024;
/** Waiting bytes beyond which a connection is not read, in bytes. */
const maxWaitingBytes = 32 * 1024;
/** Time to parse a slice, without the handling of requests, from which on all input of a connection waits its turn, in milliseconds. */
const costlySliceMs = 0.1;
/** Unit in which held bytes are charged; less than one unit is not charged, in bytes. */
const chargeUnitBytes = 4096;
const none: Buffer = Buffer.alloc(0);

/** Receives what an input does to its connection. */
export interface InputReceiver {
  /** Called with the change of the bytes that are held beside bodies, in bytes. */
  readonly onHeld?: (bytes: number) => void;
  /** Called once the input has stopped because parsing it took too long beside others. */
  readonly onRejected?: () => void;
}

/**
 * Input of an HTTP connection between its socket and the parser of Node.js, which would parse a whole read at once and up
 * to 32 reads in a turn of the event loop. A connection whose bytes are cheap to parse is parsed as it is read.
 */
export class PacedInput implements SlicedInput {
  private current = none;
  private readonly next = new ByteBuffer();
  /** Bytes of a body that follow the parsed ones, so that no request begins in them. */
  private bodyBytes = 0;
  private lastSliceBytes = 0;
  private parsedBytes = 0;
  private handlingMs = 0;
  private bodyMs = 0;
  private isCostly = false;
  private isQueued = false;
  private isParsing = false;
  private isReading = true;
  private isPausedByParser = false;
  private isHeld = false;
  private isStopped = false;
  private isDropped = false;
  /** Number of bytes parsed before the head that is being parsed; `undefined` within a body. */
  private headStart: number | undefined = 0;
  /** Last request that was parsed. */
  private lastRequest: IncomingMessage | undefined;
  private chargedUnits = 0;
  /** Bytes that may still be received, and what to do beyond them. */
  private remaining = {bytes: Infinity, onExceeded: () => {}};
  private readonly parse: (bytes: Buffer) => void;
  private readonly pause: () => void;
  private readonly resume: () => void;

  /**
   * @param socket - Connection that the HTTP server of Node.js has just set up.
   * @param pacer - Parses the input that waits.
   * @param receiver - Receives what the input does to its connection.
   */
  constructor(
    private readonly socket: Socket,
    private readonly pacer: InputPacer,
    private readonly receiver: InputReceiver = {},
  ) {
    const [parse] = socket.listeners('data');
    this.parse = parse as (bytes: Buffer) => void;
    socket.removeListener('data', this.parse);
    const {pause, resume} = socket;
    this.pause = () => pause.call(socket);
    this.resume = () => resume.call(socket);
    // Called by Node.js if a body or the responses are not read; the bytes that wait here must not be parsed either then.
    socket.pause = () => this.setPausedByParser(true);
    socket.resume = () => this.setPausedByParser(false);
    socket.on('data', (bytes: Buffer) => this.receive(bytes));
    socket.once('end', () => this.stop());
  }

  get spentMs(): number {
    return this.bodyMs;
  }

  reject(): void {
    if (this.isStopped || this.socket.destroyed) return;
    this.stop();
    this.receiver.onRejected?.();
  }

  /** Number of bytes passed to the parser. */
  get parsed(): number {
    return this.parsedBytes;
  }

  /** Number of bytes that were read and not passed to the parser yet. */
  get waiting(): number {
    return this.current.length + this.next.length;
  }

  /** Whether what arrives is dropped. */
  get isDropping(): boolean {
    return this.isDropped;
  }

  /**
   * Runs the handler of a request that was parsed; its time does not count as that of the input.
   *
   * @param req - Request.
   * @param handle - Handler.
   */
  handle(req: IncomingMessage, handle: () => void): void {
    const {clock} = this.pacer;
    const startMs = clock.nowMs();
    const length = Number(req.headers['content-length'] ?? 0);
    // The body begins within the slice.
    this.bodyBytes = Math.max(0, length - this.lastSliceBytes) || 0;
    this.bodyMs = 0;
    this.headStart = undefined;
    this.lastRequest = req;
    req.once('end', () => {
      // The end of a request may be seen after the head of the next one, within its body.
      if (this.lastRequest === req) this.headStart = this.parsedBytes;
    });
    handle();
    this.handlingMs += clock.nowMs() - startMs;
  }

  /**
   * Limits what is received from now on; the input stops at the limit.
   *
   * @param bytes - Maximum number of bytes; `Infinity` ends an earlier limit.
   * @param onExceeded - Called once the input has stopped.
   */
  limit(bytes: number, onExceeded: () => void = () => {}): void {
    this.remaining = {bytes, onExceeded};
  }

  /**
   * Keeps what arrives unparsed, or goes on parsing. The connection is read until some bytes wait, which shows in most cases
   * when its caller leaves.
   *
   * @param isHeld - Whether no more may be parsed.
   */
  hold(isHeld: boolean): void {
    this.isHeld = isHeld;
    this.enqueue();
  }

  /** Reads on without parsing, which shows when the caller leaves. */
  drop(): void {
    this.isDropped = true;
    this.current = none;
    this.next.clear();
    this.headStart = undefined;
    this.updateCharge();
    this.updateReading();
  }

  /** Drops what waits and reads no more. */
  stop(): void {
    this.isStopped = true;
    this.drop();
  }

  parseSlice(): boolean {
    this.isQueued = false;
    if (!this.mayParse) return false;
    if (this.current.length === 0) this.current = this.next.take();
    const length = this.bodyBytes > 0 ? this.bodyBytes : sliceBytes;
    const slice = this.current.subarray(0, length);
    this.current = this.current.subarray(slice.length);
    this.bodyBytes = Math.max(0, this.bodyBytes - slice.length);
    this.lastSliceBytes = slice.length;
    this.parsedBytes += slice.length;
    this.handlingMs = 0;
    const startMs = this.pacer.clock.nowMs();
    this.isParsing = true;
    try {
      this.parse(slice);
    } finally {
      this.isParsing = false;
    }
    const spentMs = this.pacer.clock.nowMs() - startMs - this.handlingMs;
    this.bodyMs += spentMs;
    this.isCostly = spentMs >= costlySliceMs;
    this.updateCharge();
    this.updateReading();
    return (this.isQueued = this.mayParse);
  }

  private get mayParse(): boolean {
    if (this.isStopped || this.isPausedByParser || this.isHeld) return false;
    return this.waiting > 0 && !this.socket.destroyed;
  }

  private receive(bytes: Buffer): void {
    if (this.isStopped) return;
    this.remaining.bytes -= bytes.length;
    if (this.remaining.bytes < 0) {
      this.stop();
      this.remaining.onExceeded();
      return;
    }
    if (this.isDropped) return;
    const isFirst = this.waiting === 0;
    if (isFirst) this.current = bytes;
    else this.next.append(bytes);
    if (isFirst && !this.isCostly && !this.isQueued) {
      let hasMore = this.parseSlice();
      while (hasMore && this.bodyBytes > 0) hasMore = this.parseSlice();
      if (hasMore) this.pacer.add(this);
    } else {
      this.enqueue();
    }
    this.updateCharge();
    this.updateReading();
  }

  private updateCharge(): void {
    const {headStart = this.parsedBytes} = this;
    const held = this.waiting + this.parsedBytes - headStart;
    const units = Math.floor(held / chargeUnitBytes);
    const change = units - this.chargedUnits;
    this.chargedUnits = units;
    if (change !== 0) this.receiver.onHeld?.(change * chargeUnitBytes);
  }

  private enqueue(): void {
    if (this.isQueued || this.isParsing || !this.mayParse) return;
    this.isQueued = true;
    this.pacer.add(this);
  }

  private setPausedByParser(isPaused: boolean): Socket {
    this.isPausedByParser = isPaused;
    this.updateReading();
    this.enqueue();
    return this.socket;
  }

  private updateReading(): void {
    const isWanted =
      !this.isStopped &&
      !this.isPausedByParser &&
      this.waiting <= maxWaitingBytes;
    if (isWanted === this.isReading) return;
    this.isReading = isWanted;
    if (isWanted) this.resume();
    else this.pause();
  }
}
