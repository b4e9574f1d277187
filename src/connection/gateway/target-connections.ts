import {connect, type Socket} from 'node:net';
import Client from 'undici/lib/dispatcher/client.js';
import type {Dispatcher} from 'undici';
import type {ConnectionEvidence} from '../../process/reach/connection-evidence.js';

/** Timeout for opening a connection, in milliseconds; a running target accepts within a few. */
const connectTimeoutMs = 600;
/** Keep-alive timeout of an idle connection if the target states none, in milliseconds. */
const defaultKeepAliveMs = 3000;
/** Time before the keep-alive timeout stated by the target at which an idle connection is closed, in milliseconds. */
const keepAliveMarginMs = 900;
/** Idle time before the first TCP keep-alive probe on a connection, in milliseconds. */
const keepAliveProbeMs = 1000;

/** Errors of connections that the network or the other end causes, unlike those with which this host closes them. */
const lostCodes: ReadonlySet<string | undefined> = new Set([
  'ECONNRESET',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EPIPE',
  'ETIMEDOUT',
]);

/** One connection to a target. It carries one request at a time. */
export class TargetConnection {
  private readonly client: Client;
  private socket: Socket | undefined;
  /** Whether the connection was reset, so that a response without a length is incomplete. */
  private wasReset = false;
  /** Whether the connection is closed and must not be reused. */
  closed = false;
  /** Called each time bytes were received and parsed. */
  onReceived: () => void = () => {};

  /**
   * @param origin - Address of the target, `IP:PORT`.
   * @param onClose - Called once, when the connection is closed.
   * @param evidence - Receives what happens to the connection.
   */
  constructor(
    origin: string,
    private readonly onClose: (connection: TargetConnection) => void,
    readonly evidence?: ConnectionEvidence,
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

  /** Number of bytes received so far, parsed or not. */
  get receivedBytes(): number {
    return this.socket?.bytesRead ?? 0;
  }

  /**
   * Sends a request.
   *
   * @param options - Request in the form of undici.
   * @param handler - Receives the response.
   */
  dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): void {
    if (this.socket) this.evidence?.sent();
    this.client.dispatch(options, handler);
  }

  /**
   * Checks whether the target closed the connection without a reset, after all bytes were read. Node.js
   * reports a reset that arrives together with the last bytes as a normal end; an empty write detects it.
   *
   * @param onResult - Receives the result, possibly before this method returns.
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
   * Closes the connection immediately. Has no effect on a closed connection.
   *
   * @param reason - Message of the error that a request in progress fails with.
   */
  close(reason: string): void {
    if (this.closed) return;
    this.closed = true;
    this.onClose(this);
    // The connection is closed in any case, and no caller depends on errors of closing it.
    this.client.destroy(new Error(reason), () => {});
  }

  private open(
    host: string,
    port: number,
    callback: (...args: [Error, null] | [null, Socket]) => void,
  ): void {
    const {evidence} = this;
    evidence?.opening();
    const socket = connect({
      host,
      port,
      noDelay: true,
      // Keeps the connection writable after the target ended it, for verifyCleanClose().
      allowHalfOpen: true,
      keepAlive: true,
      keepAliveInitialDelay: keepAliveProbeMs,
    });
    // If the process did not run for a time, the timer expires before a connection that is open by then is seen.
    const timer = setTimeout(
      () =>
        setImmediate(() => {
          if (socket.connecting) socket.destroy(new Error('connect timed out'));
        }),
      connectTimeoutMs,
    );
    const onEarlyError = (err: Error) => {
      clearTimeout(timer);
      evidence?.failed();
      callback(err, null);
    };
    socket.once('error', onEarlyError);
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.removeListener('error', onEarlyError);
      socket.on('error', (err: NodeJS.ErrnoException) => {
        this.wasReset = true;
        if (lostCodes.has(err.code)) evidence?.reset();
      });
      this.socket = socket;
      evidence?.opened();
      evidence?.sent();
      callback(null, socket);
      let knownBytes = 0;
      // Added after the listener of undici, so it runs once the bytes were parsed.
      socket.on('readable', () => {
        // The end of the connection is readable as well.
        if (socket.bytesRead > knownBytes) evidence?.received();
        knownBytes = socket.bytesRead;
        this.onReceived();
      });
    });
  }
}

/** Pool of connections to one target. */
export class TargetConnectionPool {
  private readonly idle: TargetConnection[] = [];
  private readonly open = new Set<TargetConnection>();

  /**
   * @param origin - Address of the target, `IP:PORT`.
   * @param onOpened - Called for each connection that is opened.
   * @param watch - Creates what receives the evidence of a connection.
   */
  constructor(
    private readonly origin: string,
    private readonly onOpened: () => void,
    private readonly watch?: () => ConnectionEvidence,
  ) {}

  /** Number of connections, both idle and in use. */
  get size(): number {
    return this.open.size;
  }

  /** Number of idle connections. */
  get idleSize(): number {
    return this.idle.length;
  }

  /** @returns The idle connection that was used last, or a new one; {@link release} returns it to the pool. */
  acquire(): TargetConnection {
    for (;;) {
      const connection = this.idle.pop();
      if (!connection) break;
      if (connection.closed) continue;
      if (!connection.evidence?.isDoubtful) return connection;
      connection.close('opened before the targets were lost');
    }
    this.onOpened();
    const onClose = (closedConnection: TargetConnection) => {
      this.open.delete(closedConnection);
      const index = this.idle.indexOf(closedConnection);
      if (index >= 0) this.idle.splice(index, 1);
    };
    const connection = new TargetConnection(
      this.origin,
      onClose,
      this.watch?.(),
    );
    this.open.add(connection);
    return connection;
  }

  /**
   * Returns a connection to the pool after a complete response.
   *
   * @param connection - Connection from {@link acquire}; ignored if it is closed.
   */
  release(connection: TargetConnection): void {
    if (!connection.closed) this.idle.push(connection);
  }

  /** Closes the idle connections. One that is in use ends with its keep-alive timeout after it is released. */
  closeIdle(): void {
    for (const connection of [...this.idle]) connection.close('target removed');
  }
}
