import {FailureError} from '../../process/errors/catalogue.js';
import {
  isNonNegativeInteger,
  PlatformHttp,
  type PlatformResponse,
} from './platform-http.js';

/** Timeout of a call to an engine, in milliseconds. */
const callTimeoutMs = 3000;

/** Kinds of orders that engines accept. */
export const engineOrderKinds = {
  loadModel: 'load-model',
  loadAdapter: 'load-adapter',
  loadVersion: 'load-version',
  setRole: 'set-role',
} as const;

/** One order for an engine, such as loading a version. */
export interface EngineOrder {
  readonly order: (typeof engineOrderKinds)[keyof typeof engineOrderKinds];
  /** Name of the model, adapter, version or role. */
  readonly value: string;
}

/** State of an engine that orders read and change. */
export interface EngineState {
  /** Highest fencing number that the engine has received. */
  readonly fencing: number;
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly role: string;
  /** Order that the engine is executing, if any. */
  readonly loading?: EngineOrder;
}

/** Engine that an order is sent to. */
export interface OrderTarget {
  readonly name: string;
  /** Base URL of the engine. */
  readonly address: string;
}

/** Outcome of an order. */
export type OrderResult =
  /** The engine executes the order. */
  | {kind: 'accepted'; state: EngineState}
  /** The order was already in effect or being executed, so nothing was sent. */
  | {kind: 'in-effect'; state: EngineState}
  /** The engine is executing another order. */
  | {kind: 'busy'; retryAfterMs: number};

/** Sends orders to engines. */
export abstract class EngineOrderClient {
  /**
   * Reads the state of an engine.
   *
   * @param target - Engine to read from.
   * @param signal - Aborts the call.
   * @returns State of the engine.
   * @throws {@link FailureError} of kind `order-failed`.
   */
  abstract state(
    target: OrderTarget,
    signal?: AbortSignal,
  ): Promise<EngineState>;

  /**
   * Sends one order without retries. After a rejection of kind `order-failed`, it is unknown whether
   * the engine accepted the order.
   *
   * @param target - Engine that receives the order.
   * @param fencing - Fencing number of the lease under which the order is sent.
   * @param order - Order to execute.
   * @param signal - Aborts the call.
   * @returns Outcome of the order.
   * @throws {@link FailureError} of kind `order-failed` or `order-rejected`.
   */
  abstract send(
    target: OrderTarget,
    fencing: number,
    order: EngineOrder,
    signal?: AbortSignal,
  ): Promise<OrderResult>;

  /**
   * Sends an order that may have been sent before: the state is read first, and the order is sent
   * only if it is neither in effect nor being executed.
   *
   * The check and the order are two separate calls, so only the fencing number protects against a
   * second holder of the lease. For engines that ignore the number, the calling code has to wait for
   * the old lease to expire.
   *
   * @param target - Engine that receives the order.
   * @param fencing - Fencing number of the lease under which the order is sent.
   * @param order - Order to execute.
   * @param signal - Aborts the calls.
   * @returns Outcome of the order.
   * @throws {@link FailureError} of kind `order-failed` or `order-rejected`.
   */
  async ensure(
    target: OrderTarget,
    fencing: number,
    order: EngineOrder,
    signal?: AbortSignal,
  ): Promise<OrderResult> {
    const state = await this.state(target, signal);
    if (state.fencing > fencing) {
      throw rejected(target, fencing, state.fencing);
    }
    const {loading} = state;
    if (loading?.order === order.order && loading.value === order.value) {
      return {kind: 'in-effect', state};
    }
    if (!loading && isInEffect(state, order)) {
      return {kind: 'in-effect', state};
    }
    return this.send(target, fencing, order, signal);
  }
}

/** Sends orders over HTTP with JSON bodies. */
export class HttpEngineOrderClient extends EngineOrderClient {
  private readonly connections = new Map<string, PlatformHttp>();

  override async state(
    target: OrderTarget,
    signal?: AbortSignal,
  ): Promise<EngineState> {
    const {status, body} = await this.call(target, 'GET', undefined, signal);
    if (status !== 200) throw failed(target, `HTTP status ${status}`);
    return checkState(target, body);
  }

  override async send(
    target: OrderTarget,
    fencing: number,
    order: EngineOrder,
    signal?: AbortSignal,
  ): Promise<OrderResult> {
    const sent = {fencing, order: order.order, value: order.value};
    const {status, body} = await this.call(target, 'POST', sent, signal);
    if (status === 409 && isNonNegativeInteger(body['newest'])) {
      throw rejected(target, fencing, body['newest']);
    }
    if (status === 503 && isNonNegativeInteger(body['retryAfterMs'])) {
      return {kind: 'busy', retryAfterMs: body['retryAfterMs']};
    }
    if (status !== 202 && status !== 200) {
      throw failed(target, `HTTP status ${status}`);
    }
    return {kind: 'accepted', state: checkState(target, body)};
  }

  /** Closes the connections to all engines. */
  async close(): Promise<void> {
    const open = [...this.connections.values()];
    this.connections.clear();
    await Promise.all(open.map(http => http.close()));
  }

  private async call(
    target: OrderTarget,
    method: 'GET' | 'POST',
    body: unknown,
    signal?: AbortSignal,
  ): Promise<PlatformResponse> {
    let http = this.connections.get(target.address);
    if (!http) {
      http = new PlatformHttp(target.address);
      this.connections.set(target.address, http);
    }
    const path = '/orders';
    try {
      const timeoutMs = callTimeoutMs;
      return await http.call({method, path, body, timeoutMs, signal});
    } catch (err) {
      throw failed(target, (err as Error).message, err);
    }
  }
}

function isInEffect(state: EngineState, {order, value}: EngineOrder): boolean {
  if (order === 'load-model') return state.model === value;
  if (order === 'load-version') return state.version === value;
  if (order === 'set-role') return state.role === value;
  return state.adapters.includes(value);
}

function checkState(target: OrderTarget, body: object): EngineState {
  const state = body as Partial<EngineState>;
  if (
    isNonNegativeInteger(state.fencing) &&
    typeof state.model === 'string' &&
    typeof state.version === 'string' &&
    Array.isArray(state.adapters) &&
    typeof state.role === 'string'
  ) {
    return state as EngineState;
  }
  throw failed(target, 'response is malformed');
}

function failed(
  target: OrderTarget,
  reason: string,
  cause?: unknown,
): FailureError {
  return new FailureError(
    {kind: 'order-failed', target: target.name, reason},
    {cause},
  );
}

function rejected(
  target: OrderTarget,
  fencing: number,
  newest: number,
): FailureError {
  return new FailureError({
    kind: 'order-rejected',
    target: target.name,
    fencing,
    newest,
  });
}
