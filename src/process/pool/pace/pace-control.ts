import {Gauge} from 'prom-client';
import type {GossipSection} from '../../fleet/gossip-section.js';
import type {MetricRegistry} from '../../metric-registry.js';
import {PaceSection} from './pace-section.js';
import {TargetPaces} from './target-paces.js';

/** Maximum number of targets with a gauge of their own. */
const maxGauges = 200;

/** Parts of the use of paces. */
export interface PaceControl {
  /** Paces of all targets; absent if they are not used. */
  readonly paces?: TargetPaces;
  readonly sections: readonly GossipSection[];
}

/**
 * Creates what is needed to use the paces that targets state.
 *
 * @param isOn - Whether the deployment asks for it.
 * @param metrics - Registry for the paces.
 * @returns The parts; without paces and sections if it is off.
 */
export function createPaceControl(
  isOn: boolean | undefined,
  metrics: MetricRegistry,
): PaceControl {
  if (!isOn) return {sections: []};
  const paces = new TargetPaces();
  new Gauge({
    name: 'guavaseam_gateway_target_pace_ratio',
    help: 'Time that work took on the machine of a target by its newest response, as a ratio to the usual time',
    labelNames: ['target'],
    registers: [metrics.registry],
    collect() {
      this.reset();
      for (const [target, {percent}] of paces.newest(maxGauges)) {
        this.set({target}, percent / 100);
      }
    },
  });
  return {paces, sections: [new PaceSection(paces)]};
}
