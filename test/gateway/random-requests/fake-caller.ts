import {EventEmitter} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';

/** How a request ended for its caller. */
export type CallerEnd = 'response' | 'cut' | 'left' | 'stopped';

/** What a caller sends. */
export interface CallerRequest {
  readonly id: string;
  readonly path: string;
  readonly deadlineMs: number;
  readonly bodyParts: number;
  readonly http10: boolean;
}

/** Request of a caller, whose side the test plays. */
export class FakeCaller {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  status = 0;
  body = '';
  /** Number of times that the response was ended. */
  ends = 0;
  left = false;
  private reads = true;
  private partsLeft: number;
  private readonly requestSide = new EventEmitter();
  private readonly responseSide = new EventEmitter();
  private readonly socket = Object.assign(new EventEmitter(), {
    destroyed: false,
    resetAndDestroy: () => this.destroy(),
  });

  /**
   * @param request - What is sent.
   * @param later - Runs a function in a later turn of the event loop.
   */
  constructor(
    readonly request: CallerRequest,
    private readonly later: (fn: () => void) => void,
  ) {
    this.partsLeft = request.bodyParts;
    this.req = Object.assign(this.requestSide, {
      rawHeaders: [
        ...['Host', 'h.example', 'X-Request-Id', request.id],
        ...['X-Deadline-Ms', String(request.deadlineMs), 'X-Key', 'key'],
      ],
      url: request.path,
      method: 'POST',
      httpVersion: request.http10 ? '1.0' : '1.1',
      complete: false,
      destroyed: false,
      socket: this.socket,
      resume() {},
    }) as unknown as IncomingMessage;
    this.res = Object.assign(this.responseSide, {
      req: this.req,
      socket: this.socket,
      headersSent: false,
      writableEnded: false,
      destroyed: false,
      writeHead: (status: number) => this.writeHead(status),
      write: (bytes: Buffer) => this.write(bytes),
      end: (bytes?: Buffer | string) => this.end(bytes),
      destroy: () => this.destroy(),
    }) as unknown as ServerResponse;
  }

  get isWhole(): boolean {
    return this.req.complete;
  }

  get hasEnded(): boolean {
    return this.res.writableEnded || this.res.destroyed;
  }

  /** Sends the next part of the body, or the end of the request after the last. */
  sendPart(): void {
    if (this.isWhole || this.res.destroyed) return;
    if (this.partsLeft-- > 0) {
      this.requestSide.emit('data', Buffer.from('part'));
      return;
    }
    Object.assign(this.req, {complete: true});
    this.requestSide.emit('end');
  }

  pause(): void {
    this.reads = false;
  }

  read(): void {
    if (this.reads) return;
    this.reads = true;
    if (!this.hasEnded) this.responseSide.emit('drain');
  }

  leave(): void {
    if (this.hasEnded) return;
    this.left = true;
    this.destroy();
  }

  private writeHead(status: number): void {
    if (this.status !== 0) throw new Error('a second head was sent');
    this.status = status;
    Object.assign(this.res, {headersSent: true});
  }

  private write(bytes: Buffer): boolean {
    if (this.res.writableEnded) throw new Error('written after the end');
    this.body += bytes.toString();
    return this.reads;
  }

  private end(bytes?: Buffer | string): void {
    this.ends++;
    if (this.status === 0) throw new Error('ended without a head');
    if (bytes) this.body += bytes.toString();
    Object.assign(this.res, {writableEnded: true});
    this.close();
  }

  private destroy(): void {
    if (this.res.destroyed) return;
    Object.assign(this.res, {destroyed: true});
    this.socket.destroyed = true;
    Object.assign(this.req, {destroyed: true});
    this.close();
    this.later(() => {
      this.requestSide.emit('close');
      this.socket.emit('close');
    });
  }

  private close(): void {
    this.later(() => this.responseSide.emit('close'));
  }
}
