import type {GatewayServer} from '../../../connection/gateway/gateway-server.js';
import {RelayClient} from '../../../connection/peer/relay-client.js';
import {createRelayServer} from '../../../connection/peer/relay-server.js';
import type {GatewaySettings} from '../../../process/gateway-settings.js';
import type {MetricRegistry} from '../../../process/metric-registry.js';
import type {GatewayHandler, GatewayHandlerParts} from '../gateway-handler.js';
import type {WireFormat} from '../wire-format.js';
import type {RelayWay} from './relay-attempt.js';
import {RelayMetrics} from './relay-metrics.js';
import {RelayRefusals} from './relay-refusals.js';
import {RelayWireFormat} from './relay-wire-format.js';
import {RelayedHandler} from './relayed-handler.js';

/**
 * Creates the way on which a host sends requests through others.
 *
 * @param settings - Settings of the host.
 * @param wire - Wire format of targets.
 * @param metrics - Metrics of the host.
 * @returns The way; `undefined` if the hosts of the deployment relay no requests.
 */
export function createRelayWay(
  {host, relayPort}: GatewaySettings,
  wire: WireFormat,
  metrics: MetricRegistry,
): RelayWay | undefined {
  if (relayPort === undefined) return undefined;
  const client = new RelayClient(new RelayWireFormat(wire));
  return {host, client, metrics: new RelayMetrics(metrics)};
}

/**
 * Creates the server for the requests of other hosts.
 *
 * @param settings - Settings of the host.
 * @param parts - Dependencies of requests.
 * @param handler - Tracks the open requests.
 * @returns The server, which does not listen yet; `undefined` if the hosts of the deployment relay no requests.
 */
export function createRelayService(
  {ip, limits, relayPort}: GatewaySettings,
  parts: GatewayHandlerParts,
  handler: GatewayHandler,
): GatewayServer | undefined {
  const {clock, decisions, memory, relayWay} = parts;
  if (relayPort === undefined || !relayWay) return undefined;
  const closesAfter: GatewayHandlerParts['closesAfter'] = (res, isRequired) =>
    server.closesAfter(res, isRequired);
  const {metrics} = relayWay;
  const refusals = new RelayRefusals(metrics, decisions, closesAfter);
  const relayed = new RelayedHandler({
    ...parts,
    closesAfter,
    refusals,
    handler,
    // A relayed request is never relayed again.
    relays: undefined,
    relayWay: undefined,
  });
  const server = createRelayServer({
    ...{ip, limits, clock, decisions, memory},
    port: relayPort,
    onRequest: (req, res) => relayed.handle(req, res),
  });
  return server;
}
