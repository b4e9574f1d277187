import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import type {Clock} from '../../process/clock.js';
import type {Logger} from '../../process/logger.js';
import type {Metrics} from '../../process/metrics.js';
import type {Settings} from '../../process/settings.js';
import type {RefusalReason} from '../../request/refusals.js';
import {inputRead} from '../../process/input-read.js';
import {acceptWaiting} from '../http/accept-waiting.js';
import {longestIdle} from '../http/connection-limit.js';
import {InputPacer} from '../http/input-pacer.js';
import {listenOnce} from '../http/listen.js';
import {PacedInput} from '../http/paced-input.js';
import {limitRest, lingerAtEnd} from '../http/unread-input.js';
import {createProblem, sendProblem, withUnknownExecution} from './problem.js';
import type {RouteHandler} from './route-handler.js';

/** Process-wide objects that the server uses. */
export interface CallerServerParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Idle timeout of a connection, in milliseconds. */
const keepAliveMs = 65_000;
/** Maximum number of pipelined requests in progress on one connection. */
const maxPipelined = 16;
/** Interval between checks for timed-out connections, in milliseconds. */
const checkIntervalMs = 500;
/** Timeout for delivering the refusal of a malformed request, in milliseconds. */
const refusalFlushMs = 1000;

/** HTTP/1.1 server for callers and operators. */
export class CallerServer {
  private readonly server: Server;
  /** Requests in progress, by connection. */
  private readonly inProgress = new Map<Socket, Set<ServerResponse>>();
  /** Numbers of requests that were not handled because their connection is closing. */
  private readonly ignored = new WeakMap<Socket, number>();
  /** Number of connections accepted since the start. */
  private accepted = 0;
  private readonly inputs = new Map<Socket, PacedInput>();
  /** Times since which connections have no request in progress, in milliseconds. */
  private readonly idleSinceMs = new WeakMap<Socket, number>();
  private draining = false;
  private onIdle: (() => void) | undefined;

  /**
   * @param cfg - Listening address and limits.
   * @param parts - Process-wide objects that the server uses.
   * @param handlers - Handlers; the first one that matches a path serves it.
   * @param fallback - Handler of paths that no other handler matches.
   */
  constructor(
    private readonly cfg: Settings['callers'],
    private readonly parts: CallerServerParts,
    private readonly handlers: readonly RouteHandler[],
    private readonly fallback: RouteHandler,
  ) {
    this.server = createServer({
      maxHeaderSize: cfg.maxHeaderBytes,
      headersTimeout: Math.min(cfg.headersTimeoutMs, cfg.requestTimeoutMs),
      requestTimeout: cfg.requestTimeoutMs,
      keepAliveTimeout: keepAliveMs,
      connectionsCheckingInterval: checkIntervalMs,
      noDelay: true,
    });
    const pacer = new InputPacer(parts.clock);
    this.server.on('connection', socket => {
      this.accepted++;
      if (!this.makeRoom()) {
        parts.logger.event('connectionRejected', {code: 'TOO_MANY'});
        socket.destroy();
        return;
      }
      this.idleSinceMs.set(socket, parts.clock.nowMs());
      const input = new PacedInput(socket, pacer, {
        onRejected: () => {
          parts.logger.event('connectionRejected', {code: 'COSTLY_INPUT'});
          socket.destroy();
        },
      });
      this.inputs.set(socket, input);
      lingerAtEnd(socket, input, parts.clock);
      socket.once('close', () => {
        this.inputs.delete(socket);
        process.nextTick(() => this.closeQueued(socket));
      });
    });
    parts.metrics.gauge(
      'guavaseam_caller_connections',
      'Open connections of callers and operators',
      () => this.connections,
    );
    parts.metrics.gauge(
      'guavaseam_caller_requests',
      'Requests of callers and operators in progress',
      () => this.requests,
    );
    this.server.on('timeout', socket => void closeIdle(socket));
    const route = (req: IncomingMessage, res: ServerResponse) =>
      this.inputs.get(req.socket)?.handle(req, () => void this.route(req, res));
    this.server.on('request', route);
    this.server.on('checkContinue', (req, res) => {
      // A request that will be refused for its length gets no 100 Continue, so its body is not sent.
      const length = Number(req.headers['content-length'] ?? 0);
      if (length <= cfg.maxBodyBytes && !this.isClosing(req.socket)) {
        res.writeContinue();
      }
      route(req, res);
    });
    this.server.on('clientError', (err, socket) =>
      this.onProtocolError(err as NodeJS.ErrnoException, socket),
    );
  }

  /** Number of open connections. */
  get connections(): number {
    return this.inputs.size;
  }

  /** Number of requests in progress. */
  get requests(): number {
    let count = 0;
    for (const responses of this.inProgress.values()) count += responses.size;
    return count;
  }

  /**
   * Starts listening.
   *
   * @returns The port that the server listens on.
   */
  async listen(): Promise<number> {
    await listenOnce(this.server, this.cfg);
    return (this.server.address() as AddressInfo).port;
  }

  /**
   * Refuses new requests, waits for those in progress to end, and closes all connections.
   *
   * @param drainMs - Maximum time to wait for requests in progress, in milliseconds.
   * @returns Number of requests that were aborted at that timeout.
   */
  async close(drainMs: number): Promise<number> {
    const {clock} = this.parts;
    const endMs = clock.nowMs() + drainMs;
    this.draining = true;
    for (const responses of this.inProgress.values()) announceClose(responses);
    await acceptWaiting(() => this.accepted);
    do {
      const leftMs = Math.max(0, endMs - clock.nowMs());
      if (this.inProgress.size > 0) await this.untilIdle(leftMs);
      // Requests that have arrived on kept connections get their refusals.
      await inputRead();
    } while (this.inProgress.size > 0 && clock.nowMs() < endMs);
    const aborted = this.requests;
    const closed = new Promise<void>(resolve =>
      this.server.close(() => resolve()),
    );
    this.server.closeAllConnections();
    await closed;
    return aborted;
  }

  /**
   * Closes a connection if as many are open as may be.
   *
   * @returns Whether another one may be opened.
   */
  private makeRoom(): boolean {
    if (this.inputs.size < this.cfg.maxConnections) return true;
    const entries = [...this.inputs.keys()].map(
      socket => [socket, this.incompleteSinceMs(socket)] as const,
    );
    const socket = longestIdle(entries);
    if (!socket) return false;
    this.parts.logger.event('connectionRejected', {code: 'REPLACED'});
    socket.destroy();
    this.inputs.delete(socket);
    return true;
  }

  private incompleteSinceMs(socket: Socket): number | undefined {
    for (const {req} of this.inProgress.get(socket) ?? []) {
      if (req.complete) return undefined;
    }
    return this.idleSinceMs.get(socket);
  }

  private untilIdle(drainMs: number): Promise<void> {
    return new Promise(resolve => {
      const cancel = this.parts.clock.after(drainMs, resolve);
      this.onIdle = () => {
        cancel();
        resolve();
      };
    });
  }

  private async route(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    if (this.isClosing(req.socket)) return this.ignore(req);
    const pipelined = this.track(req.socket, res);
    res.once('finish', () => this.limitRest(req));
    // A connection reset by the caller is handled by the `close` event.
    res.on('error', () => {});
    const path = (req.url ?? '/').split('?', 1)[0];
    const handler =
      this.handlers.find(candidate => candidate.matches(path)) ?? this.fallback;
    try {
      if (this.draining) announceClose(this.inProgress.get(req.socket) ?? []);
      if (this.draining && !handler.servesWhileDraining) {
        this.refuse(req, res, 'draining');
      } else if (pipelined > maxPipelined) {
        this.refuse(req, res, 'overloaded');
      } else {
        await handler.handle(req, res);
      }
    } catch (err) {
      this.parts.logger.event('requestFaulted', {
        path,
        error: err instanceof Error ? err.stack : String(err),
      });
      if (res.headersSent) res.destroy();
      else this.refuse(req, res, 'internal-error');
    }
  }

  /** Whether no response to a further request can be sent on a connection. */
  private isClosing(socket: Socket): boolean {
    if (!socket.writable) return true;
    const responses = [...(this.inProgress.get(socket) ?? [])];
    return responses.some(
      res => res.headersSent && res.getHeader('connection') === 'close',
    );
  }

  /**
   * Does not handle a request on a connection that is closing. Its caller has to send it again, as HTTP
   * requires for requests after the response that announces the close (RFC 9112, section 9.6).
   */
  private ignore({socket}: IncomingMessage): void {
    const count = (this.ignored.get(socket) ?? 0) + 1;
    this.ignored.set(socket, count);
    // Reading on shows whether the caller disconnects, but each request takes memory until the close.
    if (count > maxPipelined) socket.pause();
  }

  /** Ends the connection of a request if its body goes on for too long after the response. */
  private limitRest(req: IncomingMessage): void {
    const {socket} = req;
    const input = this.inputs.get(socket);
    if (req.complete || !input) return;
    limitRest(req, input, this.parts.clock, () => {
      if (!socket.writable) return;
      this.parts.logger.event('connectionRejected', {code: 'UNREAD_BODY'});
      socket.destroySoon();
    });
  }

  private refuse(
    req: IncomingMessage,
    res: ServerResponse,
    reason: RefusalReason,
  ): void {
    this.report(reason);
    const last = [...(this.inProgress.get(req.socket) ?? [])].at(-1);
    // Later requests are in progress otherwise, and closing the connection would cut them off.
    if (res === last) res.setHeader('connection', 'close');
    const keyed = req.headers['idempotency-key'] !== undefined;
    sendProblem(res, reason, keyed ? withUnknownExecution() : {});
  }

  private report(reason: RefusalReason): void {
    this.parts.metrics.refusal(reason);
    this.parts.logger.event('requestRefused', {reason});
  }

  /** Tracks a request until its response is sent or its connection is closed. */
  private track(socket: Socket, res: ServerResponse): number {
    let responses = this.inProgress.get(socket);
    if (!responses) {
      responses = new Set();
      this.inProgress.set(socket, responses);
    }
    const tracked = responses;
    tracked.add(res);
    res.once('close', () => {
      tracked.delete(res);
      this.idleSinceMs.set(socket, this.parts.clock.nowMs());
      if (tracked.size === 0) this.inProgress.delete(socket);
      if (this.inProgress.size === 0) this.onIdle?.();
    });
    return tracked.size;
  }

  /**
   * Closes the responses that were queued behind another one on a closed connection. Node.js only
   * closes the response that is being sent at that time. The others would stay in progress, occupy
   * their targets and delay a drain until its timeout.
   */
  private closeQueued(socket: Socket): void {
    for (const res of [...(this.inProgress.get(socket) ?? [])]) {
      res.destroy();
      res.emit('close');
    }
  }

  private onProtocolError(err: NodeJS.ErrnoException, stream: Duplex): void {
    const socket = stream as Socket;
    const responses = [...(this.inProgress.get(socket) ?? [])];
    this.parts.logger.event('connectionRejected', {code: err.code});
    if (!socket.writable || err.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    const complete = responses.filter(res => res.req.complete);
    if (complete.length > 0) {
      // Invalid data after complete requests: sends their responses, then closes the connection.
      this.closeAfter(socket, complete);
      return;
    }
    if (responses.some(res => res.headersSent)) {
      socket.destroy();
      return;
    }
    // The rest of the request could arrive before the refusal is sent, and it would run.
    socket.pause();
    const reason = reasonOf(err);
    this.report(reason);
    const {status, headers, body} = createProblem(reason);
    const lines = Object.entries({...headers, connection: 'close'}).map(
      ([name, value]) => `${name}: ${value}\r\n`,
    );
    const timer = setTimeout(() => socket.destroy(), refusalFlushMs);
    socket.once('close', () => clearTimeout(timer));
    socket.end(
      `HTTP/1.1 ${status} ${reason}\r\n${lines.join('')}\r\n${body}`,
      () => socket.destroy(),
    );
  }

  private closeAfter(socket: Socket, responses: ServerResponse[]): void {
    socket.pause();
    let remaining = responses.length;
    announceClose(responses);
    for (const res of responses) {
      res.once('close', () => {
        if (--remaining === 0) socket.destroySoon();
      });
    }
  }
}

/** Closes a connection whose idle timeout has passed; with a listener of this event, Node.js does not close it. */
async function closeIdle(socket: Socket): Promise<void> {
  const {bytesRead} = socket;
  await inputRead();
  if (socket.bytesRead === bytesRead) socket.destroy();
}

/**
 * Announces the close of a connection in its last response only, because Node.js closes it after the
 * response that announces it.
 */
function announceClose(responses: Iterable<ServerResponse>): void {
  const unsent = [...responses].filter(res => !res.headersSent);
  for (const res of unsent) {
    if (res.hasHeader('connection')) res.removeHeader('connection');
  }
  unsent.at(-1)?.setHeader('connection', 'close');
}

function reasonOf(err: NodeJS.ErrnoException): RefusalReason {
  switch (err.code) {
    case 'HPE_HEADER_OVERFLOW':
      return 'headers-too-large';
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return 'request-timeout';
    default:
      return 'malformed-request';
  }
}
