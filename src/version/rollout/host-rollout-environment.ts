import type {Clock} from '../../process/clock.js';
import {getResource, listResources, type ConfigState} from '../config-state.js';
import {versionKey, type InFlightTable} from '../evidence/in-flight-table.js';
import {RolloutEnvironment} from './ports.js';
import type {
  DeclaredRollout,
  RolloutEstimates,
  RolloutTarget,
} from './rollout-view.js';

/** Times that plans start from before any load was measured. */
const initialEstimates: RolloutEstimates = {
  loadMs: 60_000,
  parallelLoads: 4,
  drainMs: 10_000,
};

/** What a host knows of services and targets, from its configuration and its counters. */
export class HostRolloutEnvironment extends RolloutEnvironment {
  /**
   * @param config - Reads the current configuration.
   * @param flights - Requests in flight.
   * @param clock - Clock of the process.
   */
  constructor(
    private readonly config: () => ConfigState,
    private readonly flights: InFlightTable,
    private readonly clock: Clock,
  ) {
    super();
  }

  /**
   * Rollouts of strategy `in-place` are left out: schedulers go by the declared version of a
   * target, so requests to a target that loaded another one would be counted for the wrong version.
   */
  override declared(): readonly DeclaredRollout[] {
    return listResources(this.config(), 'rollout')
      .filter(({spec}) => spec.strategy === 'surge')
      .map(({name, spec, offset}) => ({name, spec, offset}))
      .sort((a, b) => a.offset - b.offset);
  }

  override serviceVersion(service: string): string {
    return getResource(this.config(), 'service', service)?.spec.version ?? '';
  }

  override targets(service: string): readonly RolloutTarget[] {
    const zonesIn = new Set(this.zonesIn());
    return listResources(this.config(), 'target')
      .filter(({spec}) => spec.service === service && spec.state !== 'leaving')
      .map(({name, spec}) => ({
        name,
        zone: spec.zone,
        zoneIn: zonesIn.has(spec.zone),
        version: spec.version,
        ready: true,
        capacity: spec.maxConcurrency,
      }));
  }

  override zonesIn(): readonly string[] {
    return listResources(this.config(), 'zone')
      .filter(({spec}) => spec.state === 'in')
      .map(({name}) => name);
  }

  override inFlight(service: string, version: string): number {
    return this.flights.sum(versionKey(service, version), this.clock.nowMs());
  }

  override utilisation(service: string): number {
    const targets = this.targets(service).filter(({zoneIn}) => zoneIn);
    const capacity = targets.reduce((sum, target) => sum + target.capacity, 0);
    if (capacity === 0) return 0;
    let used = 0;
    for (const version of new Set(targets.map(target => target.version)))
      used += this.inFlight(service, version);
    return Math.min(1, used / capacity);
  }

  override estimates(): RolloutEstimates {
    return initialEstimates;
  }
}
