import {EventEmitter} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Readable} from 'node:stream';

/** Head and body of a caller's request. */
export interface CallOptions {
  readonly method: string;
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** A caller's request on a connection of its own, as far as the request path uses one. */
export function createRequest(options: CallOptions): IncomingMessage {
  const {method, url, headers, body} = options;
  const distinct = Object.fromEntries(
    Object.entries(headers).map(([name, value]) => [name, [value]]),
  );
  return Object.assign(Readable.from([Buffer.from(body)]), {
    method,
    url,
    headers,
    headersDistinct: distinct,
    httpVersion: '1.1',
    complete: true,
    socket: Object.assign(new EventEmitter(), {destroyed: false}),
  }) as unknown as IncomingMessage;
}

/** Receives an answer without a socket. */
export class SimResponse extends EventEmitter {
  headersSent = false;
  writableFinished = false;
  destroyed = false;
  statusCode = 200;
  body = '';
  readonly req: IncomingMessage;

  constructor(req: IncomingMessage) {
    super();
    this.req = req;
  }

  /** This response as the request path sees it. */
  get server(): ServerResponse {
    return this as unknown as ServerResponse;
  }

  writeHead(status: number): void {
    this.statusCode = status;
    this.headersSent = true;
  }

  setHeader(): void {}

  flushHeaders(): void {}

  write(chunk: Buffer | string): boolean {
    this.body += chunk.toString();
    return true;
  }

  end(chunk?: Buffer | string): void {
    if (this.destroyed) return;
    if (chunk !== undefined) this.body += chunk.toString();
    this.headersSent = true;
    this.writableFinished = true;
    this.emit('close');
    this.req.socket.emit('close');
  }

  destroy(): void {
    if (this.destroyed || this.writableFinished) return;
    this.destroyed = true;
    this.emit('close');
    this.req.socket.emit('close');
  }
}
