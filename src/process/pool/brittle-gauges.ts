import type {Dispatcher} from '../../request/gateway/dispatcher.js';
import type {DeploymentState} from '../../version/deployment/deployment-state.js';
import type {GatewayGaugeValues} from '../gateway-gauges.js';
import type {TargetPool} from './target-pool.js';

/**
 * Creates the gauges of brittle targets.
 *
 * @param pool - Targets.
 * @param state - Deployment with the entries of all targets.
 * @param dispatcher - Holds the requests that wait.
 */
export function createBrittleGauges(
  pool: TargetPool,
  state: DeploymentState,
  dispatcher: Dispatcher,
): Pick<GatewayGaugeValues, 'brittleTargets' | 'waitingForBrittle'> {
  return {
    brittleTargets: () => {
      let count = 0;
      for (const {entry} of state.targets.values()) {
        if (pool.brittle.isBrittle(entry.service)) count++;
      }
      return count;
    },
    waitingForBrittle: () => {
      let count = 0;
      for (const {service} of dispatcher.waitingRequests()) {
        if (pool.brittle.isBrittle(service)) count++;
      }
      return count;
    },
  };
}
