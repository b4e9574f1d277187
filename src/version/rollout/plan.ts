import type {RolloutSpec} from '../resources/kinds.js';
import type {RolloutEstimates, RolloutTarget} from './rollout-view.js';

/** Time from a rollback decision to its first action if the leader dies, in milliseconds. */
export const failoverMs = 20_000;
/** Minimum time at one step, in milliseconds: counter buckets must close and gossip must arrive. */
export const minStepMs = 10_000;
/** Maximum fraction of a zone's targets that load at the same time; at least one target may. */
export const maxUnavailableFraction = 0.34;

/**
 * Traffic shares of the steps, as presets from the least risky to the fastest. The first begins
 * below the canary share, because a version that fails from the start is usually detected by its
 * first few dozen requests.
 */
const stepPresets: readonly (readonly number[])[] = [
  [0.01, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1],
  [0.1, 0.2, 0.35, 0.5, 0.75, 1],
  [0.1, 0.25, 0.5, 1],
  [0.25, 1],
  [1],
];
/** Fraction of the available time that a plan may use; the rest is reserved for faults. */
const maxPlannedFraction = 0.6;

/** Input of {@link planRollout}. */
export interface PlanInput {
  readonly spec: RolloutSpec;
  readonly targets: readonly RolloutTarget[];
  readonly estimates: RolloutEstimates;
  readonly requestsPerSecond: number;
  readonly nowMs: number;
}

/** Planned steps of a rollout. */
export interface RolloutPlan {
  /** Traffic share of each step, ascending; the last is 1. */
  readonly steps: readonly number[];
  /** Estimated time until the rollout is completed, in milliseconds. */
  readonly estimatedMs: number;
}

/**
 * Estimates how long a number of loads takes, given the concurrency limit of the weight store and
 * the limit on unavailable targets in each zone.
 *
 * @param zones - Number of targets to load and number of all targets of each zone.
 * @param estimates - Load and drain times.
 * @returns Estimated time, in milliseconds.
 */
export function loadTimeMs(
  zones: readonly {loads: number; size: number}[],
  estimates: RolloutEstimates,
): number {
  let loads = 0;
  let rounds = 0;
  for (const zone of zones) {
    loads += zone.loads;
    rounds = Math.max(
      rounds,
      Math.ceil(zone.loads / maxUnavailableTargets(zone.size)),
    );
  }
  rounds = Math.max(rounds, Math.ceil(loads / estimates.parallelLoads));
  return rounds * (estimates.loadMs + estimates.drainMs);
}

/**
 * Computes the maximum number of targets of a zone that may load at the same time.
 *
 * @param size - Number of targets in the zone.
 * @returns Number of targets, at least 1.
 */
export function maxUnavailableTargets(size: number): number {
  return Math.max(1, Math.floor(size * maxUnavailableFraction));
}

/**
 * Counts the targets to load in each zone that is in service.
 *
 * @param targets - Targets of the service.
 * @param loads - Whether a target has to load.
 * @returns Number of loads and number of all targets of each zone.
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
 * Estimates how long a rollback from the current state takes.
 *
 * @param spec - Declaration of the rollout.
 * @param targets - Targets of the service.
 * @param estimates - Load and drain times.
 * @returns Estimated time, in milliseconds.
 */
export function rollbackTimeMs(
  spec: RolloutSpec,
  targets: readonly RolloutTarget[],
  estimates: RolloutEstimates,
): number {
  const drain = estimates.drainMs + failoverMs;
  if (spec.strategy === 'surge') return drain;
  const newVersionLoads = countLoads(
    targets,
    target =>
      target.version === spec.version || target.loading === spec.version,
  );
  return drain + loadTimeMs(newVersionLoads, estimates);
}

/**
 * Chooses the steps by the time that is left before the deadline: the least risky preset whose
 * estimated time leaves a reserve for faults.
 *
 * @param input - Rollout, targets, estimates and current load.
 * @returns The plan, `undefined` if no preset can be finished before the deadline.
 */
export function planRollout(input: PlanInput): RolloutPlan | undefined {
  const {spec, targets, estimates, nowMs} = input;
  const loadAllMs =
    spec.strategy === 'in-place'
      ? loadTimeMs(
          countLoads(targets, () => true),
          estimates,
        )
      : 0;
  const availableMs =
    Date.parse(spec.deadline) -
    nowMs -
    estimates.drainMs -
    failoverMs -
    loadAllMs;
  const canary = Math.min(spec.canaryShare, 0.05);
  let fastest: RolloutPlan | undefined;
  for (const preset of stepPresets) {
    const probeSteps = preset.filter(share => share < canary / 2);
    const rest = preset.filter(share => share > canary);
    const steps = [...probeSteps, canary, ...rest];
    fastest = {steps, estimatedMs: loadAllMs + evidenceTimeMs(steps, input)};
    if (fastest.estimatedMs <= availableMs * maxPlannedFraction) return fastest;
  }
  return fastest && fastest.estimatedMs <= availableMs ? fastest : undefined;
}

/** Number of requests to the new version that growth to a share requires; see the growth test. */
function requestsNeeded(share: number): number {
  return Math.max(60, 400 * share);
}

/** Estimates how long the new version needs to receive the requests that all steps require. */
function evidenceTimeMs(
  steps: readonly number[],
  {requestsPerSecond}: PlanInput,
): number {
  let sum = 0;
  steps.forEach((share, i) => {
    const next = steps[i + 1] ?? 1;
    const rate = Math.max(0.01, requestsPerSecond * share);
    sum += Math.max(minStepMs, (requestsNeeded(next) / rate) * 1000);
  });
  return sum;
}
