import type {Dispatcher} from 'undici';
import type {
  TargetConnection,
  TargetConnectionPool,
} from '../../../src/connection/gateway/target-connections.js';

type Handler = Required<Dispatcher.DispatchHandler>;

/** State of a connection as its target sees it. */
export type ConnectionPhase =
  'new' | 'idle' | 'connecting' | 'sent' | 'body' | 'closed';

/** Connection to a target whose side the test plays. */
export class FakeConnection {
  phase: ConnectionPhase = 'new';
  receivedBytes = 0;
  onReceived = () => {};
  requestId = '';
  path = '';
  /** Number of events of the present response. */
  events = 0;
  isClean = true;
  private handler: Handler | undefined;
  private readonly controller = {
    pause: () => {},
    resume: () => {},
    abort: (err: Error) => this.fail(err),
  } as unknown as Dispatcher.DispatchController;

  /**
   * @param later - Runs a function in a later turn of the event loop.
   * @param onClose - Called once, when the connection is closed.
   */
  constructor(
    private readonly later: (fn: () => void) => void,
    private readonly onClose: () => void,
  ) {}

  get closed(): boolean {
    return this.phase === 'closed';
  }

  dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): void {
    const headers = options.headers as string[];
    const index = headers.findIndex(name => /^x-request-id$/i.test(name));
    this.requestId = headers[index + 1];
    this.handler = handler as Handler;
    this.events = 0;
    this.path = options.path;
    if (this.phase === 'new') this.phase = 'connecting';
    else if (this.phase === 'idle') this.open();
    else this.fail(new Error('connection closed'));
  }

  /** The connection is open, and the request is sent. */
  open(): void {
    this.phase = 'sent';
    this.handler?.onRequestStart(this.controller, undefined);
  }

  head(status: number, headers: Record<string, string>): void {
    this.phase = 'body';
    this.receivedBytes += 100;
    this.handler?.onResponseStart(this.controller, status, headers, 'OK');
  }

  data(text: string): void {
    this.receivedBytes += text.length;
    this.handler?.onResponseData(this.controller, Buffer.from(text));
  }

  end(): void {
    const {handler} = this;
    this.handler = undefined;
    if (this.phase === 'body') this.phase = 'idle';
    handler?.onResponseEnd(this.controller, {});
  }

  fail(err: Error): void {
    const {handler} = this;
    this.handler = undefined;
    handler?.onResponseError(this.controller, err);
  }

  verifyCleanClose(onResult: (isClean: boolean) => void): void {
    if (this.events % 2 === 0) onResult(this.isClean);
    else this.later(() => onResult(this.isClean));
  }

  close(reason: string): void {
    if (this.phase === 'closed') return;
    this.phase = 'closed';
    this.onClose();
    this.later(() => this.fail(new Error(reason)));
  }
}

/** Connections to the targets of a test. */
export class FakeConnections {
  /** Connections that carry a request. */
  readonly active = new Set<FakeConnection>();
  private readonly pools = new Map<string, TargetConnectionPool>();

  /** @param later - Runs a function in a later turn of the event loop. */
  constructor(private readonly later: (fn: () => void) => void) {}

  /** Returns the pool of a target's address. */
  pool(address: string): TargetConnectionPool {
    const known = this.pools.get(address);
    if (known) return known;
    const idle: FakeConnection[] = [];
    const pool = {
      acquire: () => {
        let connection = idle.pop();
        while (connection?.closed) connection = idle.pop();
        connection ??= this.create();
        this.active.add(connection);
        return connection as unknown as TargetConnection;
      },
      release: (released: unknown) => {
        const connection = released as FakeConnection;
        this.active.delete(connection);
        if (!connection.closed) idle.push(connection);
      },
      closeIdle: () => {
        for (const connection of idle.splice(0)) connection.close('removed');
      },
    } as unknown as TargetConnectionPool;
    this.pools.set(address, pool);
    return pool;
  }

  private create(): FakeConnection {
    const connection: FakeConnection = new FakeConnection(this.later, () =>
      this.active.delete(connection),
    );
    return connection;
  }
}
