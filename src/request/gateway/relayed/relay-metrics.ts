import type {MetricRegistry} from '../../../process/metric-registry.js';
import type {RelayOutcome} from '../../../process/reach/relay-hosts.js';
import type {RelayRefusalReason} from './relay-refusals.js';

/** Counts the requests that hosts relay for each other. */
export class RelayMetrics {
  private readonly sentRequests;
  private readonly servedRequests;
  private readonly refusals;

  /** @param registry - Metrics of the host. */
  constructor(registry: MetricRegistry) {
    this.sentRequests = registry.counter(
      'guavaseam_gateway_relayed_requests_total',
      'Requests sent through another host, by outcome',
      ['outcome'],
    );
    this.servedRequests = registry.counter(
      'guavaseam_gateway_requests_of_hosts_total',
      'Requests of other hosts sent to a target, by outcome',
      ['outcome'],
    );
    this.refusals = registry.counter(
      'guavaseam_gateway_requests_of_hosts_refused_total',
      'Requests of other hosts refused, by reason',
      ['reason'],
    );
  }

  /** @param outcome - How a request that was sent through another host ended there. */
  sent(outcome: RelayOutcome): void {
    this.sentRequests.inc({outcome});
  }

  /** @param outcome - How a request of another host ended here. */
  served(outcome: RelayOutcome): void {
    this.servedRequests.inc({outcome});
  }

  /** @param reason - Why a request of another host was refused. */
  refused(reason: RelayRefusalReason): void {
    this.refusals.inc({reason});
  }
}
