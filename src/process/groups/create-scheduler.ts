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

/** Counts violations, so that one does not end a host that serves others. */
class CountingInvariantSink extends InvariantSink {
  constructor(private readonly metrics: Metrics) {
    super();
  }

  override violated(name: InvariantName): void {
    this.metrics.invariantViolation(name);
  }
}

/**
 * Creates the scheduler of a group that this host starts to own.
 *
 * @param group - Name of the group.
 * @param owner - Prefix of permit ids; must differ between owners and between starts.
 * @param state - Configuration, for the service's targets of latency and queue limits.
 * @param metrics - Counts violated invariants.
 * @returns A scheduler that grants within the cold limits until it is told that it recovered.
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
