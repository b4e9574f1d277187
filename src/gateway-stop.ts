import type {GatewayServer} from './connection/gateway/gateway-server.js';
import type {Clock} from './process/clock.js';
import type {GossipTask} from './process/fleet/gossip-task.js';
import type {HostRegistration} from './process/fleet/host-registration.js';
import type {Logger} from './process/logger.js';
import type {GatewayHandler} from './request/gateway/gateway-handler.js';

/** Time from the stop signal until the load balancer opens no new connections, in milliseconds. */
const loadBalancerNoticeMs = 2600;
/** Time reserved for the end of the process after open requests are closed, in milliseconds. */
const stopMarginMs = 600;

/** What the stop of a gateway host involves. */
export interface GatewayStopParts {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Maximum time between the stop signal and the end of the process, in milliseconds. */
  readonly stopMs: number;
  /** Servers for callers and for other hosts. */
  readonly servers: readonly GatewayServer[];
  readonly handler: GatewayHandler;
  readonly gossip: GossipTask;
  readonly registration: HostRegistration;
  /** Called when only requests that end before a time on the process's clock are still accepted. */
  readonly onLastRequests: (endMs: number) => void;
  /** Called before the last message to other hosts. */
  readonly onLeaving: () => void;
  /** Stops all tasks and closes all sockets. */
  readonly closeAll: () => Promise<void>;
}

/**
 * Completes the open requests of a gateway host, tells the other hosts that it leaves, and closes everything.
 *
 * @param parts - What is stopped; new connections are no longer announced as welcome when it is called.
 */
export async function stopGateway(parts: GatewayStopParts): Promise<void> {
  const {clock, logger, stopMs, servers, handler, gossip, registration} = parts;
  const wait = (ms: number) =>
    new Promise<void>(resolve => clock.after(ms, resolve));
  const endMs = clock.nowMs() + stopMs - stopMarginMs;
  logger.event('gatewayStopping', {open: handler.openRequests});
  const drain = (untilMs: number) =>
    Promise.all(servers.map(server => server.drain(untilMs)));
  for (const server of servers) server.closeAfterResponses();
  await wait(loadBalancerNoticeMs);
  // Later requests come on connections that were kept for other ones; other hosts take them as well.
  parts.onLastRequests(endMs);
  await drain(endMs);
  handler.endOpenRequests();
  await drain(endMs + stopMarginMs / 4);
  parts.onLeaving();
  gossip.send();
  // Without this, others would count this host for some time, but an unreachable store loses nothing.
  await Promise.race([registration.remove(), wait(stopMarginMs / 2)]);
  await parts.closeAll();
  logger.event('gatewayStopped', {open: handler.openRequests});
}
