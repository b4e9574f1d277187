import {Server, type IncomingMessage, type ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '../../process/clock.js';
import {
  connectionEnds,
  type ConnectionEnd,
} from '../../process/gateway-metrics.js';
import type {Endpoint} from '../../process/gateway-settings.js';
import type {CallerLimits} from '../../version/deployment/types.js';
import {acceptWaiting} from '../http/accept-waiting.js';
import type {CallerMemory} from '../http/caller-memory.js';
import {AheadLimit} from '../http/ahead-limit.js';
import {longestIdle} from '../http/connection-limit.js';
import {InputPacer} from '../http/input-pacer.js';
import {listenOnce} from '../http/listen.js';
import {PacedInput} from '../http/paced-input.js';
import {limitRest, lingerAtEnd} from '../http/unread-input.js';
import {CallerConnection} from './caller-connection.js';
import {inputRead} from '../../process/input-read.js';

/** Maximum size of headers that the parser accepts, in bytes; the configured limit is checked after parsing. */
const parserMaxHeaderBytes = 64 * 1024;
/** Interval of the check for connections that exceed their timeouts, in milliseconds. */
const timeoutCheckIntervalMs = 500;
/** Time for which an idle connection stays open beyond the configured idle timeout, in milliseconds. */
const keepAliveMarginMs = 1000;
/** Maximum time for a caller to send a complete request, in milliseconds. */
const requestTimeoutMs = 60_000;
/**
 * Time for which a connection must be idle before a stopping host ends it, in milliseconds. A caller that sends one
 * request after the other has sent the next one by then.
 */
const idleSettleMs = 250;
/** Interval of the check for connections that became idle while the host stops, in milliseconds. */
const drainIntervalMs = 50;

/** Responses to bytes that are no request, by error code of the parser. */
const protocolErrorStatus: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

/** Finds the reason for which a connection with a protocol error ends; Node.js reports its timeouts in the same way. */
function protocolErrorEnd(
  {code}: NodeJS.ErrnoException,
  {bytesRead}: Socket,
): ConnectionEnd {
  if (code !== 'ERR_HTTP_REQUEST_TIMEOUT') return connectionEnds.noRequest;
  return bytesRead === 0
    ? connectionEnds.unusedTimeout
    : connectionEnds.requestTimeout;
}

/** What a {@link GatewayServer} needs. */
export interface GatewayServerParts {
  readonly clock: Clock;
  /** Handles a request. */
  readonly onRequest: (req: IncomingMessage, res: ServerResponse) => void;
  /** Receives a request that arrived on a connection that accepts no more. */
  readonly onDiscarded: (req: IncomingMessage) => void;
  /** Memory to which unfinished heads and waiting input are charged. */
  readonly memory?: CallerMemory;
  /** Maximum number of open connections; no limit if absent. */
  readonly maxConnections?: number;
  /** Idle time before the first TCP keep-alive probe, in milliseconds; no probes if absent. */
  readonly keepAliveProbeMs?: number;
  /** Counts a connection that this host ends. */
  readonly onEnded: (reason: ConnectionEnd) => void;
}

/** Leaves it to {@link GatewayServer} which connections are idle. */
class CallerHttpServer extends Server {
  /**
   * Called by Node.js when the server stops listening. Its own check takes a connection for idle whose response is not
   * sent completely, and destroys it.
   */
  override closeIdleConnections(): void {}
}

/** HTTP/1.1 server of a gateway for its callers. */
export class GatewayServer {
  private readonly server: Server;
  private readonly pacer: InputPacer;
  private readonly ahead = new AheadLimit();
  private readonly connections = new Map<Socket, CallerConnection>();
  /** Number of connections accepted since the start. */
  private accepted = 0;
  /** Whether each connection is closed at the end of its next response. */
  private closes = false;

  /**
   * @param endpoint - Address and port to listen on.
   * @param parts - Clock, and receivers of requests and events.
   */
  constructor(
    private readonly endpoint: Endpoint,
    private readonly parts: GatewayServerParts,
  ) {
    this.pacer = new InputPacer(parts.clock);
    this.server = new CallerHttpServer({
      maxHeaderSize: parserMaxHeaderBytes,
      connectionsCheckingInterval: timeoutCheckIntervalMs,
      requestTimeout: requestTimeoutMs,
      noDelay: true,
      requireHostHeader: false,
      keepAlive: parts.keepAliveProbeMs !== undefined,
      keepAliveInitialDelay: parts.keepAliveProbeMs,
    });
    this.server.on('connection', socket => this.onConnection(socket));
    this.server.on('request', (req, res) => {
      const input = this.connections.get(req.socket)?.input;
      input?.handle(req, () => this.onRequest(req, res));
    });
    this.server.on('timeout', socket => void this.onIdleTimeout(socket));
    this.server.on('clientError', (err, socket) =>
      this.onProtocolError(err as NodeJS.ErrnoException, socket as Socket),
    );
  }

  /**
   * Starts to listen.
   *
   * @returns A promise that rejects if the address cannot be bound.
   */
  listen(): Promise<void> {
    return listenOnce(this.server, this.endpoint);
  }

  /**
   * Sets the timeouts of connections.
   *
   * @param limits - Limits of the configuration in force.
   */
  setLimits(limits: CallerLimits): void {
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs + keepAliveMarginMs;
  }

  /** Closes each connection at the end of its next response, because the host stops. */
  closeAfterResponses(): void {
    this.closes = true;
  }

  /**
   * Decides whether the connection of a response closes after it, and accepts no more requests on it in that case.
   *
   * @param res - Response whose head is about to be sent.
   * @param isRequired - Whether the connection cannot be used any longer.
   * @returns Whether the head has to announce it.
   */
  closesAfter(res: ServerResponse, isRequired = false): boolean {
    const connection = this.connections.get(res.req.socket);
    if (!connection) return true;
    this.limitRest(res, connection);
    const closes = isRequired || this.closes || !connection.isOpen;
    return closes && connection.closeAfter(res);
  }

  /**
   * Stops accepting connections, and ends each one on which no request is in progress for some time.
   *
   * @param endMs - Latest end of the wait on the process's clock, in milliseconds.
   * @returns A promise that resolves once no connection accepts requests and all responses are sent, or at `endMs`.
   */
  async drain(endMs: number): Promise<void> {
    const {clock} = this.parts;
    await acceptWaiting(() => this.accepted);
    this.server.close();
    for (;;) {
      await inputRead();
      this.closeIdle();
      const isOpen = [...this.connections.values()].some(
        connection => connection.isOpen || connection.hasResponses,
      );
      if (!isOpen || clock.nowMs() >= endMs) return;
      await new Promise<void>(resolve => clock.after(drainIntervalMs, resolve));
    }
  }

  /** Stops accepting connections and closes all, also those with a request in progress. */
  closeAll(): void {
    this.server.close();
    for (const {hasResponses} of this.connections.values()) {
      if (hasResponses) this.parts.onEnded(connectionEnds.stopped);
    }
    this.server.closeAllConnections();
  }

  /** Ends the connection of a response if the body of its request goes on for too long after it. */
  private limitRest({req}: ServerResponse, connection: CallerConnection): void {
    if (req.complete) return;
    limitRest(req, connection.input, this.parts.clock, () => {
      if (connection.stopAccepting()) return;
      this.parts.onEnded(connectionEnds.unreadBody);
      if (!connection.hasResponses) req.socket.destroySoon();
    });
  }

  private closeIdle(): void {
    const nowMs = this.parts.clock.nowMs();
    for (const [socket, connection] of this.connections) {
      if (!connection.closeIfIdle(nowMs, idleSettleMs)) continue;
      this.parts.onEnded(connectionEnds.idle);
      socket.destroySoon();
    }
  }

  private onConnection(socket: Socket): void {
    const {clock} = this.parts;
    if (!this.makeRoom()) {
      this.parts.onEnded(connectionEnds.refused);
      socket.destroy();
      return;
    }
    const input = new PacedInput(socket, this.pacer, {
      onHeld: bytes => this.charge(connection, bytes),
      onRejected: () => this.endInput(connection, connectionEnds.costlyInput),
    });
    const connection: CallerConnection = new CallerConnection(
      socket,
      input,
      this.ahead,
      clock.nowMs(),
    );
    this.connections.set(socket, connection);
    this.accepted++;
    lingerAtEnd(socket, input, clock);
    socket.once('close', () => {
      this.connections.delete(socket);
      process.nextTick(() => connection.closeResponses());
    });
  }

  /**
   * Closes a connection if as many are open as may be.
   *
   * @returns Whether another one may be opened.
   */
  private makeRoom(): boolean {
    const {maxConnections = Infinity} = this.parts;
    if (this.connections.size < maxConnections) return true;
    const entries = [...this.connections.values()].map(
      each => [each, each.incompleteSinceMs] as const,
    );
    const connection = longestIdle(entries);
    if (!connection) return false;
    this.parts.onEnded(connectionEnds.replaced);
    connection.stopAccepting();
    connection.socket.destroy();
    this.connections.delete(connection.socket);
    return true;
  }

  /** Charges input to the account of a connection, and ends the connection if it does not fit. */
  private charge(connection: CallerConnection, bytes: number): void {
    const {socket} = connection;
    const account = this.parts.memory?.of(socket);
    if (!account || socket.destroyed) return;
    if (bytes < 0) return account.release(-bytes, 'waiting');
    if (account.hold(bytes, 'waiting')) return;
    this.endInput(connection, connectionEnds.noMemory);
  }

  /** Ends a connection after the responses to its complete requests. */
  private endInput(connection: CallerConnection, reason: ConnectionEnd): void {
    if (!connection.stopAccepting()) this.parts.onEnded(reason);
    if (connection.rejectInput()) connection.input.drop();
    else connection.socket.destroy();
  }

  private onRequest(req: IncomingMessage, res: ServerResponse): void {
    const connection = this.connections.get(req.socket);
    if (connection?.isOpen && connection.enqueue(res)) {
      this.serveNext(connection);
      return;
    }
    req.on('error', () => {});
    req.resume();
    this.parts.onDiscarded(req);
    connection?.discard();
  }

  /** Begins the requests of a connection that may begin. */
  private serveNext(connection: CallerConnection): void {
    const {clock, onEnded, onRequest} = this.parts;
    for (;;) {
      const res = connection.nextRequest();
      if (!res) return;
      const {socket} = res.req;
      connection.add(res);
      res.once('close', () => {
        connection.remove(res, clock.nowMs());
        if (socket.destroyed) return;
        this.serveNext(connection);
        if (connection.isOpen || connection.hasResponses) return;
        onEnded(connectionEnds.lastResponse);
        socket.destroySoon();
      });
      onRequest(res.req, res);
    }
  }

  /** Closes a connection whose idle timeout has passed; with this listener, Node.js does not close it. */
  private async onIdleTimeout(socket: Socket): Promise<void> {
    const {bytesRead} = socket;
    await inputRead();
    const connection = this.connections.get(socket);
    if (!connection || socket.bytesRead > bytesRead) return;
    // The timer was set by the limits of its time.
    const leftMs =
      connection.idleSinceMs +
      this.server.keepAliveTimeout -
      this.parts.clock.nowMs();
    if (leftMs > 0) return void socket.setTimeout(leftMs);
    const {idleTimeout, timeoutInRequest} = connectionEnds;
    this.parts.onEnded(connection.isBusy ? timeoutInRequest : idleTimeout);
    socket.destroy();
  }

  /** Sends the responses that are due before it ends a connection whose bytes are no request. */
  private onProtocolError(err: NodeJS.ErrnoException, socket: Socket): void {
    const connection = this.connections.get(socket);
    if (!connection || err.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    // The rest of the head has arrived and waits for earlier requests; the idle timeout applies from here on.
    const isTimeout = err.code === 'ERR_HTTP_REQUEST_TIMEOUT';
    if (isTimeout && connection.input.waiting > 0) return;
    // The parser reports the error again for all bytes that follow. They are read on, as this shows when the caller leaves.
    if (!socket.writable || connection.hasRejectedInput) return;
    const hasResponses = connection.rejectInput();
    this.parts.onEnded(protocolErrorEnd(err, socket));
    if (hasResponses) {
      // The caller has left within a request.
      if (err.code === 'HPE_INVALID_EOF_STATE') socket.end();
      return;
    }
    const status = protocolErrorStatus[err.code ?? ''] ?? '400 Bad Request';
    socket.write(
      `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
    );
    socket.destroySoon();
  }
}
