import type {RolloutSpec} from '../resources/kinds.js';

/** Log stream that holds the records of all rollouts. */
export const rolloutStream = 'rollouts';

/** Phases of a rollout. */
export const rolloutPhases = {
  queued: 'queued',
  progressing: 'progressing',
  completed: 'completed',
  takingBack: 'taking-back',
  done: 'done',
  takenBack: 'taken-back',
  refused: 'refused',
  superseded: 'superseded',
} as const;

/** Value of {@link rolloutPhases}. A rollout without any record is pending and has no phase. */
export type RolloutPhase = (typeof rolloutPhases)[keyof typeof rolloutPhases];

/** Reason for which a rollout is rolled back. */
export type RollbackReason =
  'evidence' | 'late-fault' | 'deadline' | 'operator' | 'superseded';

/** Reason for which a rollout is refused. */
export type RefuseReason =
  'conflict' | 'deadline-too-near' | 'version-taken-back' | 'already-in-effect';

/** Payload of a rollout record, by record type, without the fields that all records share. */
export type RolloutChange =
  | {readonly type: 'claim'}
  | {
      readonly type: 'start';
      readonly spec: RolloutSpec;
      readonly oldVersion: string;
      /** Traffic share of each step, ascending; the last is 1. */
      readonly steps: readonly number[];
    }
  | {readonly type: 'step'; readonly step: number; readonly evidence: string}
  | {readonly type: 'pause' | 'resume'}
  | {readonly type: 'complete'; readonly evidence: string}
  | {readonly type: 'done'}
  | {
      readonly type: 'take-back';
      readonly reason: RollbackReason;
      readonly evidence: string;
    }
  | {readonly type: 'taken-back'}
  | {
      readonly type: 'refuse';
      readonly spec: RolloutSpec;
      readonly reason: RefuseReason;
    }
  | {
      readonly type: 'queue';
      readonly spec: RolloutSpec;
      readonly behind: string;
    };

/** Record of log stream `rollouts`. */
export type RolloutRecord = RolloutChange & {
  /** Unique id, by which the writer finds its record in the log if the response was lost. */
  readonly writeId: string;
  readonly rollout: string;
  /** Fencing number of the writer: the offset of the lease record under which it acts. */
  readonly fencing: number;
  readonly host: string;
  /** Wall-clock time of the writer, in milliseconds since the Unix epoch. */
  readonly atMs: number;
};

/** State of one rollout, folded from its records. */
export interface RolloutEntry {
  readonly name: string;
  readonly spec: RolloutSpec;
  readonly phase: RolloutPhase;
  /** Version that the rollout replaces; empty before the start. */
  readonly oldVersion: string;
  readonly steps: readonly number[];
  /** Index of the current step in `steps`; -1 before the first. */
  readonly step: number;
  readonly paused: boolean;
  readonly startedAtMs: number;
  /** Time at which the current step began, in milliseconds since the Unix epoch. */
  readonly stepAtMs: number;
  readonly completedAtMs?: number;
  readonly takeBackReason?: RollbackReason;
  readonly refuseReason?: RefuseReason;
  readonly behind?: string;
  /** Host that wrote the last change, with the evidence that it recorded. */
  readonly decidedBy: string;
  readonly evidence: string;
  readonly changedAtMs: number;
  /** Log offset of the last change. */
  readonly offset: number;
}

/** State of all rollouts after all records with an offset below `offset`. */
export interface RolloutState {
  readonly offset: number;
  readonly entries: ReadonlyMap<string, RolloutEntry>;
  /** Highest fencing number that has claimed each rollout. */
  readonly epochs: ReadonlyMap<string, number>;
  /** Version in effect, by service; only services that had a rollout. */
  readonly inEffect: ReadonlyMap<string, string>;
  /** Rolled-back versions as `SERVICE/VERSION`; they never receive requests again. */
  readonly banned: ReadonlySet<string>;
}

/** State before any record. */
export const emptyRollouts: RolloutState = {
  offset: 0,
  entries: new Map(),
  epochs: new Map(),
  inEffect: new Map(),
  banned: new Set(),
};

/** Phases in which a rollout still affects the traffic of its service. */
const activePhases: readonly RolloutPhase[] = [
  'progressing',
  'completed',
  'taking-back',
];

/**
 * Checks whether a rollout is in progress, including its watch period and its rollback.
 *
 * @param entry - Rollout; `undefined` if it has no record yet.
 * @returns Whether it is in progress.
 */
export function isActive(entry: RolloutEntry | undefined): boolean {
  return entry !== undefined && activePhases.includes(entry.phase);
}

/**
 * Finds the rollout in progress of a service; there is at most one.
 *
 * @param state - State of all rollouts.
 * @param service - Name of the service.
 * @returns The rollout, `undefined` if there is none.
 */
export function activeRollout(
  state: RolloutState,
  service: string,
): RolloutEntry | undefined {
  for (const entry of state.entries.values()) {
    if (entry.spec.service === service && isActive(entry)) return entry;
  }
  return undefined;
}

/**
 * Computes the maximum share of requests that the new version may receive at the current step.
 *
 * @param entry - Rollout.
 * @returns Share of all requests, 0 to 1.
 */
export function allowedShare(entry: RolloutEntry): number {
  if (entry.phase === 'completed' || entry.phase === 'done') return 1;
  if (entry.phase !== 'progressing') return 0;
  return entry.step < 0 ? 0 : entry.steps[entry.step];
}

/**
 * Checks whether a rollout is still within its canary share. Only then does the limit on
 * requests in flight (`canaryInFlight`) apply.
 *
 * @param entry - Rollout.
 * @returns Whether it is in its canary stage.
 */
export function isCanary(entry: RolloutEntry): boolean {
  return (
    entry.phase === 'progressing' &&
    allowedShare(entry) <= entry.spec.canaryShare
  );
}
