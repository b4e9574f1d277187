import type {RolloutSpec} from '../resources/kinds.js';

/** Stream of the log that holds the rollouts. */
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

/** Value of {@link rolloutPhases}. A rollout without any record is pending. */
export type RolloutPhase = (typeof rolloutPhases)[keyof typeof rolloutPhases];

/** Why a rollout is taken back. */
export type RollbackReason =
  'evidence' | 'late-fault' | 'deadline' | 'operator' | 'superseded';

/** Why a rollout is refused. */
export type RefuseReason =
  'conflict' | 'deadline-too-near' | 'version-taken-back' | 'already-in-effect';

/** Change of a rollout, without the fields that all records have. */
export type RolloutChange =
  | {readonly type: 'claim'}
  | {
      readonly type: 'start';
      readonly spec: RolloutSpec;
      readonly oldVersion: string;
      /** Shares of the steps, ascending; the last is 1. */
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

/** Record of stream `rollouts`. */
export type RolloutRecord = RolloutChange & {
  /** Unique id; an append with a lost answer is found by it. */
  readonly writeId: string;
  readonly rollout: string;
  /** Offset of the lease record under which the writer acts. */
  readonly fencing: number;
  readonly host: string;
  /** Wall time of the writer, in milliseconds since the epoch. */
  readonly atMs: number;
};

/** Folded state of one rollout. */
export interface RolloutEntry {
  readonly name: string;
  readonly spec: RolloutSpec;
  readonly phase: RolloutPhase;
  /** Version that is replaced; empty before the start. */
  readonly oldVersion: string;
  readonly steps: readonly number[];
  /** Index into `steps`; -1 before the first. */
  readonly step: number;
  readonly paused: boolean;
  readonly startedAtMs: number;
  /** Time of the last step. */
  readonly stepAtMs: number;
  readonly completedAtMs?: number;
  readonly takeBackReason?: RollbackReason;
  readonly refuseReason?: RefuseReason;
  readonly behind?: string;
  /** Host that wrote the last change, and the evidence that it gave. */
  readonly decidedBy: string;
  readonly evidence: string;
  readonly changedAtMs: number;
  /** Offset of the last change. */
  readonly offset: number;
}

/** All rollouts, after all records below `offset`. */
export interface RolloutState {
  readonly offset: number;
  readonly entries: ReadonlyMap<string, RolloutEntry>;
  /** Newest fencing number that claimed each rollout. */
  readonly epochs: ReadonlyMap<string, number>;
  /** Version in effect of each service that had a rollout. */
  readonly inEffect: ReadonlyMap<string, string>;
  /** `SERVICE/VERSION` of the versions that were taken back; they never get work again. */
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

/** Phases in which a rollout still has influence on its service. */
const activePhases: readonly RolloutPhase[] = [
  'progressing',
  'completed',
  'taking-back',
];

/**
 * Tells whether a rollout is in progress, its watch period included.
 *
 * @param entry - Rollout.
 * @returns Whether it is in progress.
 */
export function isActive(entry: RolloutEntry | undefined): boolean {
  return entry !== undefined && activePhases.includes(entry.phase);
}

/**
 * Finds the rollout that is in progress for a service.
 *
 * @param state - Folded state.
 * @param service - Service.
 * @returns The rollout, if there is one.
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
 * Share that the current step allows.
 *
 * @param entry - Rollout.
 * @returns Share of the new version, 0 to 1.
 */
export function allowedShare(entry: RolloutEntry): number {
  if (entry.phase === 'completed' || entry.phase === 'done') return 1;
  if (entry.phase !== 'progressing') return 0;
  return entry.step < 0 ? 0 : entry.steps[entry.step];
}

/**
 * Tells whether a rollout has not grown beyond its canary share, so that the bound on requests in
 * flight holds.
 *
 * @param entry - Rollout.
 * @returns Whether it is a canary.
 */
export function isCanary(entry: RolloutEntry): boolean {
  return (
    entry.phase === 'progressing' &&
    allowedShare(entry) <= entry.spec.canaryShare
  );
}
