import type {Server} from 'node:http';
import type {GossipTask} from '../../process/fleet/gossip-task.js';
import type {GatewaySettings} from '../../process/gateway-settings.js';
import type {WireFormat} from '../../request/gateway/wire-format.js';
import {bindAddress, type BindParts} from '../http/listen.js';
import type {StateServer} from '../peer/state-server.js';
import type {GatewayServer} from './gateway-server.js';
import {serveReadiness} from './serve-readiness.js';

/** What a gateway host listens with. */
export interface AddressParts extends BindParts {
  readonly server: GatewayServer;
  /** Server for other hosts, if this one relays requests. */
  readonly relayServer?: GatewayServer;
  readonly stateServers: readonly StateServer[];
  readonly gossip: GossipTask;
  readonly wire: WireFormat;
  /** Returns whether the host accepts new connections. */
  readonly isReady: () => boolean;
}

/**
 * Binds all addresses of a gateway host. The readiness probe comes last, so that it does not report a
 * host as ready that accepts no connections of callers yet. Metrics are not waited for.
 *
 * @param settings - Settings of the host.
 * @param parts - Servers, clock, logger and limits.
 * @returns The server of the readiness probe, or `undefined` if the signal came first.
 * @throws {@link FailureError} of kind `address-unavailable`.
 */
export async function openAddresses(
  {callers, ready, ip, gossipPort, relayPort}: GatewaySettings,
  parts: AddressParts,
): Promise<Server | undefined> {
  const {server, relayServer, stateServers, gossip, wire, isReady, logger} =
    parts;
  for (const metrics of stateServers.filter(each => !each.forHosts)) {
    const forever = {...parts, timeoutMs: Infinity};
    bindAddress(metrics.endpoint, () => metrics.listen(), forever).catch(
      (err: Error) => logger.event('metricsNotServed', {reason: err.message}),
    );
  }
  const gossipEndpoint = {address: ip, port: gossipPort};
  const relayEndpoint = {address: ip, port: relayPort ?? 0};
  await Promise.all([
    relayServer &&
      bindAddress(relayEndpoint, () => relayServer.listen(), parts),
    bindAddress(callers, () => server.listen(), parts),
    bindAddress(gossipEndpoint, () => gossip.start(), parts),
    ...stateServers
      .filter(each => each.forHosts)
      .map(each => bindAddress(each.endpoint, () => each.listen(), parts)),
  ]);
  const serve = () => serveReadiness(ready, wire.readyPath, isReady);
  return bindAddress(ready, serve, parts);
}
