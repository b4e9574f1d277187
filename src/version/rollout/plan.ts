import type {RolloutSpec} from '../resources/kinds.js';
import type {RolloutEstimates, RolloutTarget} from './rollout-view.js';

/** Time between the decision to take back and the first deed if the leader dies, in milliseconds. */
export const failoverMs = 20_000;
/** Least time at one step, in milliseconds: buckets close and gossip arrives. */
export const minStepMs = 10_000;
/** Greatest part of a zone's capacity that loads at the same time; at least one target. */
export const maxZoneLoss = 0.34;

/**
 * Sets of steps, the one with the least risk first. The first begins below the canary share,
 * because a version that is bad at once is mostly found by its first few dozen requests.
 */
const ladders: readonly (readonly number[])[] = [
  [0.01, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1],
  [0.1, 0.2, 0.35, 0.5, 0.75, 1],
  [0.1, 0.25, 0.5, 1],
  [0.25, 1],
  [1],
];
/** Part of the available time that a plan may fill; the rest is for faults. */
const plannedPart = 0.6;

/** What a plan needs to know. */
export interface PlanInput {
  readonly spec: RolloutSpec;
  readonly targets: readonly RolloutTarget[];
  readonly estimates: RolloutEstimates;
  readonly requestsPerSecond: number;
  readonly nowMs: number;
}

/** Steps of a rollout. */
export interface RolloutPlan {
  readonly steps: readonly number[];
  /** Estimated time until it is completed, in milliseconds. */
  readonly estimatedMs: number;
}

/**
 * Time that a number of loads takes, by the rate of the weight store and the bound on the loss of
 * capacity in a zone.
 *
 * @param zones - Number of targets to load, by zone, with the size of the zone.
 * @param estimates - Times.
 * @returns Milliseconds.
 */
export function loadTimeMs(
  zones: readonly {loads: number; size: number}[],
  estimates: RolloutEstimates,
): number {
  let loads = 0;
  let rounds = 0;
  for (const zone of zones) {
    loads += zone.loads;
    rounds = Math.max(rounds, Math.ceil(zone.loads / zoneLimit(zone.size)));
  }
  rounds = Math.max(rounds, Math.ceil(loads / estimates.parallelLoads));
  return rounds * (estimates.loadMs + estimates.drainMs);
}

/**
 * Greatest number of targets of a zone that load at the same time.
 *
 * @param size - Number of targets in the zone.
 * @returns At least 1.
 */
export function zoneLimit(size: number): number {
  return Math.max(1, Math.floor(size * maxZoneLoss));
}

/**
 * Counts the targets to load in each zone that is in.
 *
 * @param targets - Targets of the service.
 * @param loads - Whether a target has to load.
 * @returns Number of loads and targets by zone.
 */
export function countLoads(
  targets: readonly RolloutTarget[],
  loads: (target: RolloutTarget) => boolean,
): {loads: number; size: number}[] {
  const zones = new Map<string, {loads: number; size: number}>();
  for (const target of targets) {
    if (!target.zoneIn) continue;
    const zone = zones.get(target.zone) ?? {loads: 0, size: 0};
    zones.set(target.zone, zone);
    zone.size++;
    if (loads(target)) zone.loads++;
  }
  return [...zones.values()];
}

/**
 * Time in which a rollout can be taken back from the current state.
 *
 * @param spec - Rollout.
 * @param targets - Targets of the service.
 * @param estimates - Times.
 * @returns Milliseconds.
 */
export function rollbackTimeMs(
  spec: RolloutSpec,
  targets: readonly RolloutTarget[],
  estimates: RolloutEstimates,
): number {
  const drain = estimates.drainMs + failoverMs;
  if (spec.strategy === 'surge') return drain;
  const fresh = countLoads(
    targets,
    target =>
      target.version === spec.version || target.loading === spec.version,
  );
  return drain + loadTimeMs(fresh, estimates);
}

/**
 * Chooses the steps backward from the deadline: the set with the least risk whose estimated time
 * leaves room for faults.
 *
 * @param input - What the plan depends on.
 * @returns The plan, or `undefined` if no set can be finished before the deadline.
 */
export function planRollout(input: PlanInput): RolloutPlan | undefined {
  const {spec, targets, estimates, nowMs} = input;
  const all =
    spec.strategy === 'in-place'
      ? loadTimeMs(
          countLoads(targets, () => true),
          estimates,
        )
      : 0;
  const availableMs =
    Date.parse(spec.deadline) - nowMs - estimates.drainMs - failoverMs - all;
  const canary = Math.min(spec.canaryShare, 0.05);
  let last: RolloutPlan | undefined;
  for (const ladder of ladders) {
    const probe = ladder.filter(share => share < canary / 2);
    const rest = ladder.filter(share => share > canary);
    const steps = [...probe, canary, ...rest];
    last = {steps, estimatedMs: all + evidenceTimeMs(steps, input)};
    if (last.estimatedMs <= availableMs * plannedPart) return last;
  }
  return last && last.estimatedMs <= availableMs ? last : undefined;
}

/** Requests of the new version that a step to a share needs; see the growth test. */
function requestsFor(share: number): number {
  return Math.max(60, 400 * share);
}

function evidenceTimeMs(
  steps: readonly number[],
  {requestsPerSecond}: PlanInput,
): number {
  let sum = 0;
  steps.forEach((share, i) => {
    const next = steps[i + 1] ?? 1;
    const rate = Math.max(0.01, requestsPerSecond * share);
    sum += Math.max(minStepMs, (requestsFor(next) / rate) * 1000);
  });
  return sum;
}
