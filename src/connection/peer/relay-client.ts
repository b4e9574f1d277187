import type {RelayHost} from '../../process/reach/relay-hosts.js';
import type {WireFormat} from '../../request/gateway/wire-format.js';
import {
  Exchange,
  type ExchangeHandler,
  type TargetRequest,
} from '../gateway/exchange.js';
import {TargetConnectionPool} from '../gateway/target-connections.js';

/** Sends requests to the hosts that relay them. */
export class RelayClient {
  private readonly pools = new Map<string, TargetConnectionPool>();

  /** @param wire - Wire format between hosts. */
  constructor(private readonly wire: WireFormat) {}

  /**
   * Prepares to send a request.
   *
   * @param host - Host that relays it.
   * @param request - Request with the headers for that host.
   * @param handler - Receives the response.
   * @returns The exchange, not yet started.
   */
  exchange(
    {address}: RelayHost,
    request: TargetRequest,
    handler: ExchangeHandler,
  ): Exchange {
    return new Exchange(this.connections(address), this.wire, request, handler);
  }

  private connections(address: string): TargetConnectionPool {
    let pool = this.pools.get(address);
    if (!pool) {
      // Addresses of hosts that were replaced would otherwise stay forever.
      for (const [other, {size}] of this.pools) {
        if (size === 0) this.pools.delete(other);
      }
      pool = new TargetConnectionPool(address, () => {});
      this.pools.set(address, pool);
    }
    return pool;
  }
}
