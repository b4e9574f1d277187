import type {GossipSection} from '../fleet/gossip-section.js';
import type {GatewaySettings} from '../gateway-settings.js';
import type {Logger} from '../logger.js';
import type {MetricRegistry} from '../metric-registry.js';
import {createZoneControl} from '../zones/zone-control.js';
import type {ZoneTransfers} from '../zones/zone-transfers.js';
import {createPaceControl} from './pace/pace-control.js';
import type {TargetPaces} from './pace/target-paces.js';

/** Parts of the choice of targets that a deployment asks for. */
export interface Placement {
  /** Parts of the target pool. */
  readonly parts: {
    readonly paces?: TargetPaces;
    readonly transfers?: ZoneTransfers;
  };
  readonly sections: readonly GossipSection[];
}

/**
 * Creates the parts of the choice of targets that the settings ask for.
 *
 * @param settings - Settings of the host.
 * @param logger - Logger of the process.
 * @param metrics - Registry for their metrics.
 */
export function createPlacement(
  {scheduling, zone}: GatewaySettings,
  logger: Logger,
  metrics: MetricRegistry,
): Placement {
  const {paces, sections} = createPaceControl(scheduling?.pace, metrics);
  const zones = createZoneControl(
    scheduling?.zoneTransfers,
    zone,
    logger,
    metrics,
  );
  return {
    parts: {paces, transfers: zones.transfers},
    sections: [...sections, ...zones.sections],
  };
}
