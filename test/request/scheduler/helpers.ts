import {GroupScheduler} from '../../../src/request/scheduler/group-scheduler.js';
import type {SchedulerConfig} from '../../../src/request/scheduler/scheduler-config.js';
import type {
  AttemptOutcome,
  Decision,
  QueuedRequest,
  TargetView,
} from '../../../src/request/scheduler/types.js';

/** Creates a target whose limit starts at its maximum, unless `other` has a lower cold limit. */
export function view(
  name: string,
  other: Partial<TargetView> = {},
): TargetView {
  const maxConcurrency = other.maxConcurrency ?? 1;
  return {
    name,
    service: 's',
    zone: 'z',
    address: name,
    version: 'v1',
    hardware: 'x',
    maxConcurrency,
    coldConcurrency: maxConcurrency,
    usable: true,
    ...other,
  };
}

/** Creates an idempotent request of tier 1 with a long deadline; `other` replaces fields. */
export function request(
  id: string,
  other: Partial<QueuedRequest> = {},
): QueuedRequest {
  return {
    id,
    host: 'h',
    service: 's',
    route: '/r',
    organisation: 'o',
    weight: 1,
    tier: 1,
    idempotent: true,
    timeoutMs: 60_000,
    promptTokens: 100,
    maxTokens: 10,
    prefixes: [],
    attempt: 0,
    avoid: [],
    ...other,
  };
}

/** Creates a scheduler with the given targets, at time 0. */
export function schedulerWith(
  targets: readonly TargetView[],
  cfg: Partial<SchedulerConfig> = {},
): GroupScheduler {
  const scheduler = new GroupScheduler(cfg);
  scheduler.setTargets(targets, 0);
  return scheduler;
}

/** Creates the outcome of an attempt; `other` replaces fields. */
export function outcome(
  result: AttemptOutcome['result'],
  other: Partial<AttemptOutcome> = {},
): AttemptOutcome {
  return {result, firstTokenMs: 50, totalMs: 100, tokens: 10, ...other};
}

/** Picks the grants among decisions. */
export function grants(decisions: readonly Decision[]) {
  return decisions.flatMap(one => (one.kind === 'grant' ? [one] : []));
}

/** Picks the preemptions among decisions. */
export function preemptions(decisions: readonly Decision[]) {
  return decisions.flatMap(one => (one.kind === 'preempt' ? [one] : []));
}

/** Lists refusals as `request reason`. */
export function refusals(decisions: readonly Decision[]): string[] {
  return decisions.flatMap(one =>
    one.kind === 'refuse' ? [`${one.requestId} ${one.reason}`] : [],
  );
}

/** Completes a permit and then each one granted in turn; returns the request ids in that order. */
export function grantOrder(
  scheduler: GroupScheduler,
  first: string,
  nowMs: number,
): string[] {
  const order: string[] = [];
  const open = [first];
  for (let permitId = open.shift(); permitId; permitId = open.shift()) {
    for (const grant of grants(
      scheduler.complete(permitId, outcome('ok'), nowMs),
    )) {
      order.push(grant.requestId);
      open.push(grant.permitId);
    }
  }
  return order;
}
