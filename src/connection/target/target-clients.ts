import type {TargetView} from '../../request/scheduler/types.js';
import {HttpTargetClient} from './http-target-client.js';
import type {TargetClient} from './target-client.js';

/** Keeps one client for each target address in use. */
export class TargetClients {
  private readonly clients = new Map<string, TargetClient>();

  /**
   * Finds or creates the client of a target.
   *
   * @param target - Target to reach.
   * @returns Its client.
   */
  get(target: TargetView): TargetClient {
    let client = this.clients.get(target.address);
    if (!client) {
      client = new HttpTargetClient(target.name, target.address);
      this.clients.set(target.address, client);
    }
    return client;
  }

  /** Closes all clients. */
  async close(): Promise<void> {
    await Promise.all([...this.clients.values()].map(client => client.close()));
    this.clients.clear();
  }
}
