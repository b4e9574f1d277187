import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import type {Endpoint} from '../../process/gateway-settings.js';
import type {CallerLimits} from '../../version/deployment/types.js';
import {listenOnce} from '../http/listen.js';

/** Maximum size of headers that the parser accepts, in bytes; the configured limit is checked after parsing. */
const parserMaxHeaderBytes = 64 * 1024;
/** Interval of the check for connections that exceed their timeouts, in milliseconds. */
const timeoutCheckIntervalMs = 500;
/** Time for which an idle connection stays open beyond the configured idle timeout, in milliseconds. */
const keepAliveMarginMs = 1000;
/** Maximum time for a caller to send a complete request, in milliseconds. */
const requestTimeoutMs = 60_000;

/** HTTP/1.1 server of a gateway for its callers. */
export class GatewayServer {
  private readonly server: Server;
  /** Requests in progress by connection. */
  private readonly busy = new Map<Socket, number>();
  /** Whether connections are closed at the end of their responses. */
  private closes = false;

  /**
   * @param endpoint - Address and port to listen on.
   * @param onRequest - Handles a request.
   */
  constructor(
    private readonly endpoint: Endpoint,
    onRequest: (req: IncomingMessage, res: ServerResponse) => void,
  ) {
    this.server = createServer({
      maxHeaderSize: parserMaxHeaderBytes,
      connectionsCheckingInterval: timeoutCheckIntervalMs,
      requestTimeout: requestTimeoutMs,
      noDelay: true,
      requireHostHeader: false,
    });
    this.server.on('connection', socket => {
      this.busy.set(socket, 0);
      socket.once('close', () => this.busy.delete(socket));
    });
    this.server.on('request', (req, res) => {
      this.count(req.socket, 1);
      res.once('close', () => {
        this.count(req.socket, -1);
        // The head of a response that began earlier did not announce it.
        if (this.closes && this.busy.get(req.socket) === 0) req.socket.end();
      });
      onRequest(req, res);
    });
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

  /** Number of open connections without a request in progress. */
  get idleConnections(): number {
    let idle = 0;
    for (const requests of this.busy.values()) if (requests === 0) idle++;
    return idle;
  }

  /** Closes each connection at the end of its response from now on, because the host stops. */
  closeAfterResponses(): void {
    this.closes = true;
  }

  /** Stops accepting connections and closes the idle ones. */
  closeIdle(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Stops accepting connections and closes all, also those with a request in progress. */
  closeAll(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private count(socket: Socket, change: number): void {
    const requests = this.busy.get(socket);
    if (requests !== undefined) this.busy.set(socket, requests + change);
  }
}

/**
 * Serves the readiness probe of the load balancer: 200 if the host is ready, 503 if not.
 *
 * @param endpoint - Address and port to listen on.
 * @param path - Path of the probe; other paths get 404.
 * @param isReady - Returns whether the host accepts new connections.
 * @returns The server, once it listens.
 */
export async function serveReadiness(
  endpoint: Endpoint,
  path: string,
  isReady: () => boolean,
): Promise<Server> {
  const server = createServer((req, res) => {
    const isReadinessPath = req.url?.split('?', 1)[0] === path;
    res.statusCode = isReadinessPath ? (isReady() ? 200 : 503) : 404;
    res.end();
  });
  await listenOnce(server, endpoint);
  return server;
}
