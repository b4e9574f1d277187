import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import type {Endpoint} from '../../process/gateway-settings.js';
import type {CallerLimits} from '../../version/deployment/types.js';

/** Headers larger than this are refused by the parser, before the configured limit is looked at. */
const parserMaxHeaderBytes = 64 * 1024;
/** Interval in which slow callers are looked for, in milliseconds. */
const timeoutCheckIntervalMs = 500;
/** Time beyond the stated idle time for which a connection is kept, in milliseconds. */
const keepAliveMarginMs = 1000;
/** Longest time in which a caller may send a whole request, in milliseconds. */
const requestTimeoutMs = 60_000;

/** HTTP/1.1 server for callers. */
export class GatewayServer {
  private readonly server: Server;
  /** Requests in progress by connection. */
  private readonly busy = new Map<Socket, number>();

  /**
   * @param endpoint - Where to listen.
   * @param onRequest - Serves a request.
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
      res.once('close', () => this.count(req.socket, -1));
      onRequest(req, res);
    });
  }

  /** Starts to listen. */
  listen(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      const {address, port} = this.endpoint;
      this.server.listen(port, address, () => resolve());
    });
  }

  /**
   * Sets what callers may send and how long they may take.
   *
   * @param limits - Limits of the configuration.
   */
  setLimits(limits: CallerLimits): void {
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs + keepAliveMarginMs;
  }

  /** Number of connections without a request in progress. */
  get idleConnections(): number {
    let idle = 0;
    for (const requests of this.busy.values()) if (requests === 0) idle++;
    return idle;
  }

  /** Accepts no new connections and closes those that are idle. */
  closeIdle(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Closes all connections. */
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
 * Answers the load balancer's question whether the host is ready.
 *
 * @param endpoint - Where to listen.
 * @param path - Path of the question.
 * @param isReady - Whether the host takes new connections.
 * @returns The server, once it listens.
 */
export function serveReadiness(
  endpoint: Endpoint,
  path: string,
  isReady: () => boolean,
): Promise<Server> {
  const server = createServer((req, res) => {
    const isReadinessPath = req.url?.split('?', 1)[0] === path;
    res.statusCode = isReadinessPath ? (isReady() ? 200 : 503) : 404;
    res.end();
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(endpoint.port, endpoint.address, () => resolve(server));
  });
}
