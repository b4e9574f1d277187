import {EngineServer} from './engine-server.js';
import type {HttpStandIn} from './http-stand-in.js';
import {LogServer} from './log-server.js';
import {ServiceServer} from './service-server.js';

export {EngineServer, LogServer, ServiceServer};

/** Which stand-ins to start. */
export interface StandInPlan {
  readonly logPort?: number;
  readonly enginePorts: readonly number[];
  readonly servicePorts: readonly number[];
}

/** Starts stand-ins on loopback. */
export async function startStandIns(
  plan: StandInPlan,
): Promise<{addresses: string[]; stop(): Promise<void>}> {
  const servers: HttpStandIn[] = [];
  const open = async (server: HttpStandIn, port: number) => {
    await server.listen(port);
    servers.push(server);
  };
  if (plan.logPort !== undefined) await open(new LogServer(), plan.logPort);
  for (const port of plan.enginePorts) await open(new EngineServer(), port);
  for (const port of plan.servicePorts) await open(new ServiceServer(), port);
  return {
    addresses: servers.map(server => server.address),
    async stop() {
      await Promise.all(servers.map(server => server.close()));
    },
  };
}
