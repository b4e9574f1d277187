import type {Clock} from '../../process/clock.js';
import {getResource, listResources, type ConfigState} from '../config-state.js';
import {versionKey, type InFlightTable} from '../evidence/in-flight-table.js';
import {RolloutEnvironment} from './ports.js';
import type {
  DeclaredRollout,
  RolloutEstimates,
  RolloutTarget,
} from './rollout-view.js';

/** Estimates that apply before any load was measured. */
const initialEstimates: RolloutEstimates = {
  loadMs: 60_000,
  parallelLoads: 4,
  drainMs: 10_000,
};

/** Provides the configured services and targets and the counters of requests in flight. */
export class HostRolloutEnvironment extends RolloutEnvironment {
  /**
   * @param config - Returns the current configuration.
   * @param flights - Requests in flight by version, of all hosts.
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
   * Excludes rollouts of strategy `in-place`: schedulers use the declared version of a target, so
   * requests to a target that has loaded another one would be counted for the wrong version.
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
