import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Clock} from '../../process/clock.js';
import type {DecisionLog} from '../../process/decision-log.js';
import {limitEnds, type GatewayMetrics} from '../../process/gateway-metrics.js';
import type {GatewaySettings} from '../../process/gateway-settings.js';
import type {CallerMemory} from '../http/caller-memory.js';
import {maxCallerConnections} from '../http/connection-limit.js';
import {GatewayServer} from './gateway-server.js';

/** Receives the requests of callers. */
export interface RequestReceiver {
  handle(req: IncomingMessage, res: ServerResponse): void;
  discard(req: IncomingMessage): void;
}

/** What a {@link GatewayServer} shares with its host. */
export interface ServerReporting {
  readonly clock: Clock;
  readonly memory: CallerMemory;
  readonly metrics: GatewayMetrics;
  readonly decisions: DecisionLog;
}

/**
 * Creates the server for callers, with the limits of its host.
 *
 * @param settings - Endpoint and limits.
 * @param receiver - Receives the requests.
 * @param reporting - Clock, memory for callers, metrics and log of the host.
 * @returns The server, which does not listen yet.
 */
export function createGatewayServer(
  {callers, limits}: GatewaySettings,
  receiver: RequestReceiver,
  {clock, memory, metrics, decisions}: ServerReporting,
): GatewayServer {
  return new GatewayServer(callers, {
    clock,
    memory,
    maxConnections: maxCallerConnections(limits),
    onRequest: (req, res) => receiver.handle(req, res),
    onDiscarded: req => receiver.discard(req),
    onEnded: reason => {
      metrics.connectionEnded(reason);
      if (limitEnds.has(reason)) decisions.log('connectionLimited', {reason});
    },
  });
}
