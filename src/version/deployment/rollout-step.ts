import {canaryPhases, type CanaryPhase} from './canary-router.js';
import {verdicts, type Verdict} from './canary-evaluator.js';
import {rolloutStates, type RolloutState} from './types.js';

/** Input of {@link nextRolloutStep}. */
export interface RolloutStepInput {
  /** Time since this host learnt of the order, in milliseconds. */
  readonly ageMs: number;
  /** Time that the order gives the rollout, in milliseconds. */
  readonly durationMs: number;
  readonly verdict: Verdict;
  readonly phase: CanaryPhase;
  /** Recorded state of this rollout, if any. */
  readonly recorded?: RolloutState;
  /** Number of requests of all hosts that still run on old versions. */
  readonly oldVersionRequests: number;
}

/** The phase to set at this host, and the state that has to be recorded, if any. */
export interface RolloutStep {
  readonly phase: CanaryPhase;
  readonly record?: RolloutState;
}

/** Fraction of the duration after which a version with verdict `good` gets all requests. */
const moveShare = 0.55;
/** Fraction of the duration at which a rollout ends even if requests still run on the old version. */
const endShare = 0.85;

/**
 * Decides the next step of a rollout. All requests move to the new version before the rollout is recorded
 * as completed, because the old targets stop as soon as it is.
 *
 * @param input - State of the rollout.
 * @returns The step; unchanged phase and no record if nothing is to be done.
 */
export function nextRolloutStep(input: RolloutStepInput): RolloutStep {
  const {ageMs, durationMs, oldVersionRequests, phase, recorded, verdict} =
    input;
  if (recorded === rolloutStates.completed) return {phase: canaryPhases.moved};
  if (recorded === rolloutStates.rolledBack) {
    return {phase: canaryPhases.stopped};
  }
  if (verdict === verdicts.bad || phase === canaryPhases.stopped) {
    return {phase: canaryPhases.stopped, record: rolloutStates.rolledBack};
  }
  const mustEnd = ageMs >= durationMs * endShare;
  if (phase === canaryPhases.moved) {
    return mustEnd || oldVersionRequests === 0
      ? {phase, record: rolloutStates.completed}
      : {phase};
  }
  if (verdict === verdicts.good && ageMs >= durationMs * moveShare) {
    return {phase: canaryPhases.moved};
  }
  if (mustEnd) {
    return {phase: canaryPhases.stopped, record: rolloutStates.rolledBack};
  }
  return recorded === undefined
    ? {phase, record: rolloutStates.running}
    : {phase};
}
