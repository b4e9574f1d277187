import type {GatewayMetrics} from './gateway-metrics.js';

/** Functions that return the current gauge values of a gateway host. */
export interface GatewayGaugeValues {
  readonly openRequests: () => number;
  readonly waitingRequests: () => number;
  /** 0 before a configuration is known. */
  readonly configurationVersion: () => number;
  /** Time for which the store has not responded to reads, in milliseconds; 0 while it responds. */
  readonly storeUnavailableMs: () => number;
  /** Time since the view of the targets was last known to be up to date, in milliseconds. */
  readonly targetsViewAgeMs: () => number;
  /** Number of requests and prompt parts that are refused because targets crashed under them. */
  readonly blockedFingerprints: () => number;
  /** Number of targets that state how many rejections they endure. */
  readonly brittleTargets: () => number;
  /** Number of requests that wait for a slot of such targets. */
  readonly waitingForBrittle: () => number;
  /** Number of other hosts that sent gossip recently. */
  readonly liveHosts: () => number;
}

/**
 * Declares the gauges of a gateway host.
 *
 * @param metrics - Registry to declare them in.
 * @param values - Called each time the metrics are rendered.
 */
export function declareGauges(
  metrics: GatewayMetrics,
  values: GatewayGaugeValues,
): void {
  metrics.gauge(
    'guavaseam_gateway_open_requests',
    'Requests admitted and not yet finished',
    values.openRequests,
  );
  metrics.gauge(
    'guavaseam_gateway_waiting_requests',
    'Requests waiting for a slot of a target',
    values.waitingRequests,
  );
  metrics.gauge(
    'guavaseam_gateway_configuration_version',
    'Version of the configuration in force; 0 if none is known',
    values.configurationVersion,
  );
  metrics.gauge(
    'guavaseam_gateway_store_away_seconds',
    'Time for which the store has been unavailable; 0 while it responds',
    () => values.storeUnavailableMs() / 1000,
  );
  metrics.gauge(
    'guavaseam_gateway_targets_view_age_seconds',
    'Time since the view of the targets was last known to be up to date',
    () => values.targetsViewAgeMs() / 1000,
  );
  metrics.gauge(
    'guavaseam_gateway_blocked_fingerprints',
    'Requests and prompt parts that are refused because targets crashed under them',
    values.blockedFingerprints,
  );
  metrics.gauge(
    'guavaseam_gateway_brittle_targets',
    'Targets that fail if they turn too many requests away in a second',
    values.brittleTargets,
  );
  metrics.gauge(
    'guavaseam_gateway_brittle_waiting_requests',
    'Requests held back at this host that wait for a slot of a brittle target',
    values.waitingForBrittle,
  );
  metrics.gauge(
    'guavaseam_gateway_hosts_heard',
    'Other hosts from which gossip was received recently',
    values.liveHosts,
  );
}
