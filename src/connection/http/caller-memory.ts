import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {BlockPool} from '../../process/body-blocks.js';
import type {Clock} from '../../process/clock.js';
import {
  MemoryBudget,
  type EvictableKind,
  type HeldKind,
  type MemoryAccount,
} from '../../process/memory-budget.js';
import type {MetricRegistry} from '../../process/metric-registry.js';
import {UnreadResponse} from './unread-response.js';

/** What a {@link CallerMemory} needs. */
export interface CallerMemoryParts {
  readonly clock: Clock;
  readonly metrics: MetricRegistry;
  /** Called for each eviction, with the number of bytes evicted. */
  readonly onEvicted: (kind: EvictableKind, bytes: number) => void;
}

/** Accounts of the connections of callers, and the blocks for their bodies. */
export class CallerMemory {
  readonly pool = new BlockPool();
  private readonly responses = new WeakMap<ServerResponse, UnreadResponse>();
  private readonly connections = new WeakMap<Socket, ConnectionMemory>();

  private readonly budget: MemoryBudget;
  private readonly onEvicted: (kind: EvictableKind, bytes: number) => void;

  /**
   * @param limitBytes - Maximum of what all connections hold, in bytes.
   * @param parts - Clock, and receivers of metrics and events.
   */
  constructor(
    limitBytes: number,
    private readonly parts: CallerMemoryParts,
  ) {
    this.budget = new MemoryBudget(limitBytes);
    const {metrics, onEvicted} = parts;
    metrics.gauge(
      'guavaseam_caller_memory_held_bytes',
      'Bytes of requests and responses that are held for callers',
      () => this.budget.heldBytes,
    );
    metrics.gauge(
      'guavaseam_caller_memory_limit_bytes',
      'Maximum of the bytes that are held for callers',
      () => limitBytes,
    );
    const evictions = metrics.counter(
      'guavaseam_caller_memory_evictions_total',
      'Bodies and responses of callers that were evicted to make room for others, by kind',
      ['kind'],
    );
    this.onEvicted = (kind, bytes) => {
      evictions.inc({kind});
      onEvicted(kind, bytes);
    };
  }

  /**
   * Returns the account of a connection, and opens it if there is none.
   *
   * @param socket - Connection of a caller.
   * @returns The account, which is closed with the connection.
   */
  of(socket: Socket): ConnectionMemory {
    let memory = this.connections.get(socket);
    if (!memory) {
      memory = new ConnectionMemory(
        this.budget,
        this.parts.clock,
        socket,
        this.onEvicted,
      );
      const {account} = memory;
      if (socket.destroyed) {
        account.close();
        return memory;
      }
      this.connections.set(socket, memory);
      socket.once('close', () => account.close());
    }
    return memory;
  }

  /**
   * Charges the part of a response that its caller has not read.
   *
   * @param res - Response to which bytes were written.
   */
  chargeUnread(res: ServerResponse): void {
    let unread = this.responses.get(res);
    if (!unread) {
      unread = new UnreadResponse(res, this.of(res.req.socket));
      this.responses.set(res, unread);
    }
    unread.update();
  }
}

/** What one connection holds. */
export class ConnectionMemory {
  readonly account: MemoryAccount;
  /** Called when the body that is being read is evicted. */
  onBodyEvicted: () => void = () => {};

  /**
   * @param budget - Bound of what all connections hold.
   * @param clock - Clock of the process.
   * @param socket - The connection.
   * @param onEvicted - Called for each eviction, before its effect.
   */
  constructor(
    budget: MemoryBudget,
    private readonly clock: Clock,
    socket: Socket,
    onEvicted: (kind: EvictableKind, bytes: number) => void,
  ) {
    this.account = budget.open((kind, bytes) => {
      onEvicted(kind, bytes);
      if (kind === 'receiving') this.onBodyEvicted();
      else socket.destroy();
    });
  }

  /**
   * Holds more bytes if they fit.
   *
   * @param bytes - Number of bytes.
   * @param kind - What they are held for.
   * @returns Whether they are held.
   */
  hold(bytes: number, kind: HeldKind): boolean {
    return this.account.hold(bytes, this.clock.nowMs(), kind);
  }

  /**
   * Releases bytes, at most those that are held.
   *
   * @param bytes - Number of bytes.
   * @param kind - What they were held for.
   */
  release(bytes: number, kind: HeldKind): void {
    this.account.release(bytes, this.clock.nowMs(), kind);
  }

  /**
   * Keeps the bytes of a body that has arrived in full until they are released.
   *
   * @param bytes - Number of bytes that are held for it.
   */
  completeBody(bytes: number): void {
    this.account.completeBody(this.clock.nowMs(), bytes);
  }
}
