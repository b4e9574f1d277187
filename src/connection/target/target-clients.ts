import type {TargetView} from '../../request/scheduler/types.js';
import type {ServiceSpec} from '../../version/resources/kinds.js';
import {ModelEngineClient} from './model-engine-client.js';
import {PlainServiceClient} from './plain-service-client.js';
import type {TargetClient} from './target-client.js';

/** Caches one client per service type and target address in use. */
export class TargetClients {
  private readonly clients = new Map<string, TargetClient>();

  /**
   * Returns the client of a target and creates it on first use.
   *
   * @param target - Target that requests are sent to.
   * @param type - Type of the target's service.
   * @returns The client, shared by all requests to this target.
   */
  get(target: TargetView, type: ServiceSpec['type'] = 'model'): TargetClient {
    const key = `${type} ${target.address}`;
    let client = this.clients.get(key);
    if (!client) {
      client =
        type === 'model'
          ? new ModelEngineClient(target.name, target.address)
          : new PlainServiceClient(target.name, target.address);
      this.clients.set(key, client);
    }
    return client;
  }

  /**
   * Drops the clients of targets that are no longer declared. Their requests in flight continue,
   * and their idle connections close at the keep-alive timeout.
   *
   * @param addresses - Base URLs that are still in use.
   */
  retain(addresses: ReadonlySet<string>): void {
    for (const key of this.clients.keys()) {
      if (!addresses.has(key.slice(key.indexOf(' ') + 1))) {
        this.clients.delete(key);
      }
    }
  }

  /** Closes all clients. */
  async close(): Promise<void> {
    await Promise.all([...this.clients.values()].map(client => client.close()));
    this.clients.clear();
  }
}
