import {connect} from 'node:net';
import {buildConnector, Pool, type Dispatcher} from 'undici';
import {HttpExchange} from './http-exchange.js';
import {
  TargetClient,
  type TargetResponse,
  type TargetRequest,
} from './target-client.js';

/** Timeout for establishing a connection, in milliseconds. */
const connectTimeoutMs = 1000;
/** Timeout of a connection probe, in milliseconds. A probe that times out is inconclusive. */
const probeTimeoutMs = 300;
/** Idle timeout of a connection, in milliseconds: less than the five seconds usual in servers. */
const keepAliveMs = 4000;

/** Sends requests to a target over HTTP/1.1. */
export abstract class HttpTargetClient extends TargetClient {
  private readonly pool: Pool;

  /**
   * @param name - Name of the target, used in errors.
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

  /** Selects the connection pool for a request. */
  protected connections(_req: TargetRequest): Dispatcher {
    return this.pool;
  }

  /** Sends one request over the given connection pool. */
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
 * Creates a connection pool for a target.
 *
 * @param address - Base URL of the target.
 * @param pipelining - 1 reuses connections, 0 opens a new connection for each request.
 * @returns The connection pool, which opens connections on demand.
 */
export function createPool(address: string, pipelining: 0 | 1): Pool {
  return new Pool(address, {
    connections: null,
    pipelining,
    connect: connectStrictly,
    keepAliveTimeout: keepAliveMs,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

const connector = buildConnector({timeout: connectTimeoutMs});

/** Opens a connection on which a reset ends a response without a length as incomplete; undici takes it for the end. */
const connectStrictly: buildConnector.connector = (options, callback) => {
  connector(options, (...result) => {
    const [, socket] = result;
    // undici recognizes the reset by this code. The listener is added first, so it runs before that of undici.
    socket?.on('error', (err: NodeJS.ErrnoException) => {
      if (err.code === 'ECONNRESET') err.code = 'ERR_CONNECTION_RESET';
    });
    callback(...result);
  });
};
