import {
  activeRollout,
  isActive,
  type RolloutEntry,
  type RolloutRecord,
  type RolloutState,
} from './rollout-state.js';

/**
 * Applies one record of log stream `rollouts`. A record that is not valid in the current state, or
 * that was written by a replaced leader, has no effect.
 *
 * Readers may see the records of two streams in different orders, so the fencing number of a new
 * leader takes effect with its `claim` record in this stream: after it, all hosts ignore records
 * with other fencing numbers.
 *
 * @param state - State before the record.
 * @param record - Record to apply.
 * @param offset - Log offset of the record.
 * @returns The state after it.
 */
export function foldRollout(
  state: RolloutState,
  record: RolloutRecord,
  offset: number,
): RolloutState {
  const next = {...state, offset: offset + 1};
  const epoch = state.epochs.get(record.rollout) ?? -1;
  if (record.type === 'claim') {
    if (record.fencing <= epoch) return next;
    const epochs = new Map(state.epochs).set(record.rollout, record.fencing);
    return {...next, epochs};
  }
  if (record.fencing !== epoch) return next;
  const before = state.entries.get(record.rollout);
  const after = changeEntry(state, before, record, offset);
  if (!after) return next;
  const entries = new Map(state.entries).set(record.rollout, after);
  return {...next, entries, ...changeVersions(state, before, after)};
}

/** Applies a record to an entry; returns `undefined` if it is not valid in its phase. */
function changeEntry(
  state: RolloutState,
  entry: RolloutEntry | undefined,
  record: RolloutRecord,
  offset: number,
): RolloutEntry | undefined {
  const changeInfo = {
    decidedBy: record.host,
    changedAtMs: record.atMs,
    offset,
  };
  switch (record.type) {
    case 'refuse':
    case 'queue':
    case 'start':
      return admit(state, entry, record, changeInfo);
    case 'step':
      if (entry?.phase !== 'progressing' || entry.paused) return undefined;
      if (record.step <= entry.step || record.step >= entry.steps.length)
        return undefined;
      return {
        ...entry,
        ...changeInfo,
        step: record.step,
        stepAtMs: record.atMs,
        evidence: record.evidence,
      };
    case 'pause':
    case 'resume': {
      const paused = record.type === 'pause';
      if (entry?.phase !== 'progressing' || entry.paused === paused)
        return undefined;
      return {...entry, ...changeInfo, paused};
    }
    case 'complete':
      if (entry?.phase !== 'progressing' || entry.paused) return undefined;
      if (entry.step !== entry.steps.length - 1) return undefined;
      return {
        ...entry,
        ...changeInfo,
        phase: 'completed',
        completedAtMs: record.atMs,
        evidence: record.evidence,
      };
    case 'done':
      if (entry?.phase !== 'completed') return undefined;
      return {...entry, ...changeInfo, phase: 'done'};
    case 'take-back':
      if (entry?.phase !== 'progressing' && entry?.phase !== 'completed')
        return undefined;
      return {
        ...entry,
        ...changeInfo,
        phase: 'taking-back',
        takeBackReason: record.reason,
        evidence: record.evidence,
      };
    case 'taken-back':
      if (entry?.phase !== 'taking-back') return undefined;
      return {
        ...entry,
        ...changeInfo,
        phase:
          entry.takeBackReason === 'superseded' ? 'superseded' : 'taken-back',
      };
    default:
      return undefined;
  }
}

/** Creates the entry of a new rollout, or of another version under the name of an ended rollout. */
function admit(
  state: RolloutState,
  entry: RolloutEntry | undefined,
  record: RolloutRecord & {type: 'refuse' | 'queue' | 'start'},
  stamp: {decidedBy: string; changedAtMs: number; offset: number},
): RolloutEntry | undefined {
  const {spec} = record;
  if (isActive(entry)) return undefined;
  const ended = entry !== undefined && entry.phase !== 'queued';
  if (ended && entry.spec.version === spec.version) return undefined;
  const newEntry = {
    name: record.rollout,
    spec,
    oldVersion: '',
    steps: [],
    step: -1,
    paused: false,
    startedAtMs: record.atMs,
    stepAtMs: record.atMs,
    evidence: '',
    ...stamp,
  };
  if (record.type === 'refuse') {
    return {...newEntry, phase: 'refused', refuseReason: record.reason};
  }
  if (record.type === 'queue') {
    if (entry?.phase === 'queued' && entry.behind === record.behind)
      return undefined;
    return {...newEntry, phase: 'queued', behind: record.behind};
  }
  const blocked =
    activeRollout(state, spec.service) !== undefined ||
    state.banned.has(`${spec.service}/${spec.version}`) ||
    record.steps.length === 0;
  if (blocked) return undefined;
  return {
    ...newEntry,
    phase: 'progressing',
    oldVersion: record.oldVersion,
    steps: record.steps,
  };
}

/** Updates the versions in effect and the rolled-back versions after one entry changed. */
function changeVersions(
  state: RolloutState,
  before: RolloutEntry | undefined,
  after: RolloutEntry,
): Pick<RolloutState, 'inEffect' | 'banned'> {
  const {service, version} = after.spec;
  let {inEffect, banned} = state;
  if (after.phase === before?.phase) return {inEffect, banned};
  if (after.phase === 'progressing' || after.phase === 'taking-back') {
    inEffect = new Map(inEffect).set(service, after.oldVersion);
  } else if (after.phase === 'completed') {
    inEffect = new Map(inEffect).set(service, version);
  }
  if (after.phase === 'taking-back' && after.takeBackReason !== 'superseded') {
    banned = new Set(banned).add(`${service}/${version}`);
  }
  return {inEffect, banned};
}
