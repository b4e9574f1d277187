import {connect} from 'node:net';
import {Pool, type Dispatcher} from 'undici';
import {HttpExchange} from './http-exchange.js';
import {
  TargetClient,
  type TargetResponse,
  type TargetRequest,
} from './target-client.js';

/** Time in which a connection must be established, in milliseconds. */
const connectTimeoutMs = 1000;
/** Time after which a probe of a target says nothing, in milliseconds. */
const probeTimeoutMs = 300;
/** Idle connections are closed before the usual five seconds of a server, in milliseconds. */
const keepAliveMs = 4000;

/** Target over HTTP/1.1. */
export abstract class HttpTargetClient extends TargetClient {
  private readonly pool: Pool;

  /**
   * @param name - Name of the target, for errors.
   * @param address - Base URL of the target.
   */
  constructor(
    protected readonly name: string,
    private readonly address: string,
  ) {
    super();
    this.pool = createPool(address, 1);
  }

  override send(
    req: TargetRequest,
    signal: AbortSignal,
  ): Promise<TargetResponse> {
    return this.exchange(this.connections(req), req, signal);
  }

  override isDown(): Promise<boolean> {
    const {hostname, port, protocol} = new URL(this.address);
    return new Promise(resolve => {
      const socket = connect({
        host: hostname.replace(/^\[|\]$/g, ''),
        port: Number(port || (protocol === 'https:' ? 443 : 80)),
        timeout: probeTimeoutMs,
      });
      const finish = (down: boolean) => {
        socket.destroy();
        resolve(down);
      };
      socket.once('connect', () => finish(false));
      socket.once('timeout', () => finish(false));
      socket.once('error', (err: NodeJS.ErrnoException) =>
        finish(err.code === 'ECONNREFUSED' || err.code === 'EHOSTUNREACH'),
      );
    });
  }

  override async close(): Promise<void> {
    await this.pool.destroy();
  }

  /** Selects the connections for a request. */
  protected connections(_req: TargetRequest): Dispatcher {
    return this.pool;
  }

  /** Sends one request over given connections. */
  protected exchange(
    connections: Dispatcher,
    req: TargetRequest,
    signal: AbortSignal,
  ): Promise<TargetResponse> {
    return new HttpExchange(this.name, signal).run(connections, {
      method: req.method as Dispatcher.HttpMethod,
      path: req.path,
      headers: {...req.headers, 'x-request-id': req.attemptId},
      body: req.body.length > 0 ? req.body : null,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }
}

/**
 * Creates the connections to a target.
 *
 * @param address - Base URL.
 * @param pipelining - 1 keeps connections for further requests, 0 uses a new one for each request.
 * @returns The connections.
 */
export function createPool(address: string, pipelining: 0 | 1): Pool {
  return new Pool(address, {
    connections: null,
    pipelining,
    connect: {timeout: connectTimeoutMs},
    keepAliveTimeout: keepAliveMs,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}
