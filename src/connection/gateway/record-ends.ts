import type {DecisionLog} from '../../process/decision-log.js';
import {
  limitEnds,
  type ConnectionEnd,
  type GatewayMetrics,
} from '../../process/gateway-metrics.js';

/**
 * Creates the receiver of the ends of callers' connections.
 *
 * @param parts - Counters, and log of decisions.
 * @returns A function that counts an end, and logs it if it is due to a limit.
 */
export function recordEnds({
  metrics,
  decisions,
}: {
  readonly metrics: GatewayMetrics;
  readonly decisions: DecisionLog;
}): (reason: ConnectionEnd) => void {
  return reason => {
    metrics.connectionEnded(reason);
    if (limitEnds.has(reason)) decisions.log('connectionLimited', {reason});
  };
}
