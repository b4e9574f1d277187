import {GroupScheduler} from '../../request/scheduler/group-scheduler.js';
import {
  InvariantSink,
  type InvariantName,
} from '../../request/scheduler/invariants.js';
import {
  defaultSchedulerConfig,
  type SchedulerConfig,
} from '../../request/scheduler/scheduler-config.js';
import {getResource, type ConfigState} from '../../version/config-state.js';
import type {Metrics} from '../metrics.js';
import {parseGroup} from './group-names.js';

/** Counts invariant violations instead of throwing, so that a violation doesn't stop the host. */
class CountingInvariantSink extends InvariantSink {
  constructor(private readonly metrics: Metrics) {
    super();
  }

  override violated(name: InvariantName): void {
    this.metrics.invariantViolation(name);
  }
}

/**
 * Creates the scheduler for a group that this host becomes the owner of.
 *
 * @param group - Name of the group.
 * @param owner - Prefix of permit ids; must be unique across owners and restarts.
 * @param state - Configuration; supplies the service's latency objectives and queue limits.
 * @param metrics - Receives the count of violated invariants.
 * @returns A scheduler that grants only up to the cold limits until `recovered` is called.
 */
export function createScheduler(
  group: string,
  owner: string,
  state: ConfigState,
  metrics: Metrics,
): GroupScheduler {
  const service = parseGroup(group)?.service ?? '';
  const spec = getResource(state, 'service', service)?.spec;
  const cfg: Partial<SchedulerConfig> = {
    owner,
    recovering: true,
    firstTokenTargetMs:
      spec?.firstTokenTargetMs ?? defaultSchedulerConfig.firstTokenTargetMs,
    tokenTargetMs: spec?.tokenTargetMs ?? defaultSchedulerConfig.tokenTargetMs,
    queueLimits: spec?.queueLimits ?? defaultSchedulerConfig.queueLimits,
  };
  return new GroupScheduler(cfg, new CountingInvariantSink(metrics));
}
