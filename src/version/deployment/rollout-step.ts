import {canaryPhases, type CanaryPhase} from './canary-router.js';
import {verdicts, type Verdict} from './canary-evaluator.js';
import {rolloutStates, type RolloutState} from './types.js';

/** What the next step of a rollout depends on. */
export interface RolloutStepInput {
  /** Time since the order was seen, in milliseconds. */
  readonly ageMs: number;
  readonly durationMs: number;
  readonly verdict: Verdict;
  readonly phase: CanaryPhase;
  /** Recorded state of this rollout, if any. */
  readonly recorded?: RolloutState;
  /** Requests that still run on old versions, on all hosts. */
  readonly oldVersionRequests: number;
}

/** A step: what this host does with the versions, and which state should be recorded. */
export interface RolloutStep {
  readonly phase: CanaryPhase;
  readonly record?: RolloutState;
}

/** Part of the duration after which a version that is judged good gets all requests. */
const movePart = 0.55;
/** Part of the duration at which a rollout ends whatever is still running on the old version. */
const endPart = 0.85;

/**
 * Decides the next step of a rollout. Requests move to the new version before it is recorded as
 * completed, because the old targets stop at once when it is.
 *
 * @param view - State of the rollout.
 */
export function nextRolloutStep(view: RolloutStepInput): RolloutStep {
  const {
    ageMs,
    durationMs,
    oldVersionRequests: oldLoad,
    phase,
    recorded,
    verdict,
  } = view;
  if (recorded === rolloutStates.completed) return {phase: canaryPhases.moved};
  if (recorded === rolloutStates.rolledBack) {
    return {phase: canaryPhases.stopped};
  }
  if (verdict === verdicts.bad || phase === canaryPhases.stopped) {
    return {phase: canaryPhases.stopped, record: rolloutStates.rolledBack};
  }
  const mustEnd = ageMs >= durationMs * endPart;
  if (phase === canaryPhases.moved) {
    return mustEnd || oldLoad === 0
      ? {phase, record: rolloutStates.completed}
      : {phase};
  }
  if (verdict === verdicts.good && ageMs >= durationMs * movePart) {
    return {phase: canaryPhases.moved};
  }
  if (mustEnd) {
    return {phase: canaryPhases.stopped, record: rolloutStates.rolledBack};
  }
  return recorded === undefined
    ? {phase, record: rolloutStates.running}
    : {phase};
}
