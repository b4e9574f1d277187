import {EngineServer} from './engine-server.js';
import {HostListServer} from './host-list-server.js';
import type {HttpStandIn} from './http-stand-in.js';
import {LogServer} from './log-server.js';
import {ServiceServer} from './service-server.js';
import {WeightStoreServer} from './weight-store-server.js';

export {LogStore} from './log-store.js';
export {MemoryLogClient} from './memory-log-client.js';
export {
  EngineServer,
  HostListServer,
  LogServer,
  ServiceServer,
  WeightStoreServer,
};

/** Which stand-ins to start. */
export interface StandInPlan {
  readonly logPort?: number;
  readonly hostListPort?: number;
  readonly weightStorePort?: number;
  readonly enginePorts: readonly number[];
  readonly servicePorts: readonly number[];
}

/** Starts stand-ins on loopback. */
export async function startStandIns(
  plan: StandInPlan,
): Promise<{addresses: string[]; stop(): Promise<void>}> {
  const servers: HttpStandIn[] = [];
  const stop = async () => {
    await Promise.all(servers.map(server => server.close()));
  };
  const open = async (server: HttpStandIn, port: number | undefined) => {
    if (port === undefined) return;
    await server.listen(port);
    servers.push(server);
  };
  try {
    await open(new LogServer(), plan.logPort);
    await open(new HostListServer(), plan.hostListPort);
    await open(new WeightStoreServer(), plan.weightStorePort);
    for (const port of plan.enginePorts) await open(new EngineServer(), port);
    for (const port of plan.servicePorts) await open(new ServiceServer(), port);
  } catch (err) {
    await stop();
    throw err;
  }
  return {addresses: servers.map(server => server.address), stop};
}
