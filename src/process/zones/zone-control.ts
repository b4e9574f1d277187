import type {GossipSection} from '../fleet/gossip-section.js';
import type {Logger} from '../logger.js';
import type {MetricRegistry} from '../metric-registry.js';
import {ZoneDemand} from './zone-demand.js';
import {ZoneSection} from './zone-section.js';
import {ZoneTransfers} from './zone-transfers.js';

/** Parts of the transfers between zones. */
export interface ZoneControl {
  /** Absent if the deployment does not ask for it. */
  readonly transfers?: ZoneTransfers;
  readonly sections: readonly GossipSection[];
}

/**
 * Creates what decides when requests leave their zone.
 *
 * @param isOn - Whether the deployment asks for it.
 * @param zone - Zone of this host.
 * @param logger - Logger of the process.
 * @param metrics - Registry for the requests that leave.
 */
export function createZoneControl(
  isOn: boolean | undefined,
  zone: string,
  logger: Logger,
  metrics: MetricRegistry,
): ZoneControl {
  if (!isOn) return {sections: []};
  const requests = metrics.counter(
    'guavaseam_gateway_zone_requests_left_total',
    'Requests sent to targets of other zones, by reason',
    ['reason'],
  );
  const bytes = metrics.counter(
    'guavaseam_gateway_zone_bytes_left_total',
    'Bytes of the bodies of requests sent to targets of other zones, by reason',
    ['reason'],
  );
  const demand = new ZoneDemand(zone);
  const transfers = new ZoneTransfers(zone, demand, logger, (reason, size) => {
    requests.inc({reason});
    bytes.inc({reason}, size);
  });
  return {transfers, sections: [new ZoneSection(demand)]};
}
