import {connect, type Socket} from 'node:net';
import Client from 'undici/lib/dispatcher/client.js';
import type {Dispatcher} from 'undici';

/** Time to open a connection, in milliseconds; a target that is up answers within a few. */
const connectTimeoutMs = 600;
/** Time for which an idle connection is kept if the target states none, in milliseconds. */
const defaultKeepAliveMs = 3000;
/** Time before the stated end of an idle connection at which it is closed, in milliseconds. */
const keepAliveMarginMs = 900;
/** Interval of TCP keep-alive probes on connections, in milliseconds. */
const keepAliveProbeMs = 1000;

/** One connection to a target. It is used for one request at a time. */
export class TargetConnection {
  private readonly client: Client;
  private socket: Socket | undefined;
  /** Whether the connection ended by a reset, so that an answer without a length is not whole. */
  private wasReset = false;
  /** Whether the connection must not be used again. */
  closed = false;

  /**
   * @param origin - Address of the target.
   * @param onClose - Called once the connection is gone.
   */
  constructor(
    origin: string,
    private readonly onClose: (connection: TargetConnection) => void,
  ) {
    this.client = new Client(`http://${origin}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: defaultKeepAliveMs,
      keepAliveTimeoutThreshold: keepAliveMarginMs,
      connect: (options, callback) =>
        this.open(options.hostname, Number(options.port), callback),
    });
    this.client.once('disconnect', () => this.close('disconnected'));
    this.client.once('connectionError', () => this.close('connect failed'));
  }

  /**
   * Sends a request.
   *
   * @param options - Request.
   * @param handler - Receives the answer.
   */
  dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): void {
    this.client.dispatch(options, handler);
  }

  /**
   * Tells whether the target closed the connection in order, after all bytes were read. Node.js reports
   * a reset that arrives together with the last bytes as an orderly end; writing finds it.
   *
   * @param onResult - Receives the answer.
   */
  verifyCleanClose(onResult: (isClean: boolean) => void): void {
    const {socket} = this;
    if (this.wasReset || !socket) {
      onResult(false);
      return;
    }
    socket.write(Buffer.alloc(0), err => onResult(!err && !this.wasReset));
  }

  /**
   * Closes the connection at once.
   *
   * @param reason - Why, for the error of a request in progress.
   */
  close(reason: string): void {
    if (this.closed) return;
    this.closed = true;
    this.onClose(this);
    // The connection is gone in any case; there is nobody to tell about a failed close.
    this.client.destroy(new Error(reason), () => {});
  }

  private open(
    host: string,
    port: number,
    callback: (...args: [Error, null] | [null, Socket]) => void,
  ): void {
    const socket = connect({
      host,
      port,
      noDelay: true,
      // The connection stays open for writing after its end, for checkEnd().
      allowHalfOpen: true,
      keepAlive: true,
      keepAliveInitialDelay: keepAliveProbeMs,
    });
    const timer = setTimeout(
      () => socket.destroy(new Error('connect timed out')),
      connectTimeoutMs,
    );
    const onEarlyError = (err: Error) => {
      clearTimeout(timer);
      callback(err, null);
    };
    socket.once('error', onEarlyError);
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.removeListener('error', onEarlyError);
      socket.on('error', () => {
        this.wasReset = true;
      });
      this.socket = socket;
      callback(null, socket);
    });
  }
}

/** Connections to one target. */
export class TargetConnectionPool {
  private readonly idle: TargetConnection[] = [];
  private readonly open = new Set<TargetConnection>();

  /**
   * @param origin - Address of the target.
   * @param onOpened - Called for each new connection.
   */
  constructor(
    private readonly origin: string,
    private readonly onOpened: () => void,
  ) {}

  /** Number of connections, idle ones included. */
  get size(): number {
    return this.open.size;
  }

  /** Number of idle connections. */
  get idleSize(): number {
    return this.idle.length;
  }

  /** @returns The connection that was used last, or a new one. */
  acquire(): TargetConnection {
    for (;;) {
      const connection = this.idle.pop();
      if (!connection) break;
      if (!connection.closed) return connection;
    }
    this.onOpened();
    const connection = new TargetConnection(this.origin, closedConnection => {
      this.open.delete(closedConnection);
      const index = this.idle.indexOf(closedConnection);
      if (index >= 0) this.idle.splice(index, 1);
    });
    this.open.add(connection);
    return connection;
  }

  /**
   * Returns a connection after a whole answer.
   *
   * @param connection - Connection to keep.
   */
  release(connection: TargetConnection): void {
    if (!connection.closed) this.idle.push(connection);
  }

  /** Closes the idle connections; those in use are closed when they are returned. */
  closeIdle(): void {
    for (const connection of [...this.idle]) connection.close('target gone');
  }
}
