import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Clock} from '../../process/clock.js';
import type {DecisionLog} from '../../process/decision-log.js';
import {limitEnds, type GatewayMetrics} from '../../process/gateway-metrics.js';
import type {GatewaySettings} from '../../process/gateway-settings.js';
import {maxCallerConnections} from '../http/connection-limit.js';
import {GatewayServer} from './gateway-server.js';

/** Receives the requests of callers. */
export interface RequestReceiver {
  handle(req: IncomingMessage, res: ServerResponse): void;
  discard(req: IncomingMessage): void;
}

/** Where a {@link GatewayServer} reports what it does. */
export interface ServerReporting {
  readonly clock: Clock;
  readonly metrics: GatewayMetrics;
  readonly decisions: DecisionLog;
}

/**
 * Creates the server for callers, with the limits of its host.
 *
 * @param settings - Endpoint and limits.
 * @param receiver - Receives the requests.
 * @param reporting - Clock, metrics and log of the host.
 * @returns The server, which does not listen yet.
 */
export function createGatewayServer(
  {callers, limits}: GatewaySettings,
  receiver: RequestReceiver,
  {clock, metrics, decisions}: ServerReporting,
): GatewayServer {
  return new GatewayServer(callers, {
    clock,
    maxConnections: maxCallerConnections(limits),
    onRequest: (req, res) => receiver.handle(req, res),
    onDiscarded: req => receiver.discard(req),
    onEnded: reason => {
      metrics.connectionEnded(reason);
      if (limitEnds.has(reason)) decisions.log('connectionLimited', {reason});
    },
  });
}
