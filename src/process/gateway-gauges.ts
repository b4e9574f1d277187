import type {GatewayMetrics} from './gateway-metrics.js';

/** Present values of a gateway host. */
export interface GatewayGaugeValues {
  readonly openRequests: () => number;
  readonly waitingRequests: () => number;
  readonly configurationVersion: () => number;
  readonly storeUnavailableMs: () => number;
  readonly liveHosts: () => number;
}

/**
 * Declares the gauges of a gateway host.
 *
 * @param metrics - Metrics of the host.
 * @param values - Read when the metrics are rendered.
 */
export function declareGauges(
  metrics: GatewayMetrics,
  values: GatewayGaugeValues,
): void {
  metrics.gauge(
    'guavaseam_gateway_open_requests',
    'Requests that were admitted and have not ended',
    values.openRequests,
  );
  metrics.gauge(
    'guavaseam_gateway_waiting_requests',
    'Requests that wait for a slot',
    values.waitingRequests,
  );
  metrics.gauge(
    'guavaseam_gateway_configuration_version',
    'Version of the configuration in force; 0 if none is known',
    values.configurationVersion,
  );
  metrics.gauge(
    'guavaseam_gateway_store_away_seconds',
    'Time for which the store has not answered; 0 if it answers',
    () => values.storeUnavailableMs() / 1000,
  );
  metrics.gauge(
    'guavaseam_gateway_hosts_heard',
    'Other hosts that were heard lately',
    values.liveHosts,
  );
}
