import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Clock} from '../../process/clock.js';
import type {DecisionLog} from '../../process/decision-log.js';
import {limitEnds} from '../../process/gateway-metrics.js';
import type {HostLimits} from '../../process/gateway-settings.js';
import {GatewayServer} from '../gateway/gateway-server.js';
import type {CallerMemory} from '../http/caller-memory.js';
import {maxCallerConnections} from '../http/connection-limit.js';

/** Part of the connections of callers that other hosts may open in addition. */
const connectionShare = 1 / 8;
/** Idle time before the first TCP keep-alive probe, in milliseconds; a host may vanish without closing its connections. */
const keepAliveProbeMs = 1000;

/** What a server for other hosts needs. */
export interface RelayServerParts {
  readonly ip: string;
  readonly port: number;
  readonly limits: HostLimits;
  readonly clock: Clock;
  readonly decisions: DecisionLog;
  /** Accounts of the callers; requests of other hosts are charged to the same budget. */
  readonly memory: CallerMemory;
  readonly onRequest: (req: IncomingMessage, res: ServerResponse) => void;
}

/**
 * Creates the HTTP server to which other hosts send the requests that this one relays.
 *
 * @param parts - Address, limits and the receiver of requests.
 * @returns The server, which does not listen yet.
 */
export function createRelayServer(parts: RelayServerParts): GatewayServer {
  const {ip, port, limits, clock, decisions, memory, onRequest} = parts;
  const maxConnections = maxCallerConnections(limits) * connectionShare;
  return new GatewayServer(
    {address: ip, port},
    {
      clock,
      memory,
      maxConnections: Math.max(1, Math.floor(maxConnections)),
      keepAliveProbeMs,
      onRequest,
      // The host that sent it finds its connection closed.
      onDiscarded: () => {},
      onEnded: reason => {
        if (limitEnds.has(reason)) decisions.log('connectionLimited', {reason});
      },
    },
  );
}
