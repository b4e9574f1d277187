import {
  activeRollout,
  isActive,
  type RolloutEntry,
  type RolloutRecord,
  type RolloutState,
} from './rollout-state.js';

/**
 * Applies one record of stream `rollouts`. Records that are not possible in the current state, and
 * records of a leader that another one has replaced, have no effect.
 *
 * The order of two streams differs between readers, so a leader's fencing number takes effect by
 * its `claim` record in this stream: from there on all hosts ignore older numbers alike.
 *
 * @param state - State before the record.
 * @param record - Record to apply.
 * @param offset - Offset of the record.
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

function changeEntry(
  state: RolloutState,
  entry: RolloutEntry | undefined,
  record: RolloutRecord,
  offset: number,
): RolloutEntry | undefined {
  const stamp = {
    decidedBy: record.host,
    changedAtMs: record.atMs,
    offset,
  };
  switch (record.type) {
    case 'refuse':
    case 'queue':
    case 'start':
      return admit(state, entry, record, stamp);
    case 'step':
      if (entry?.phase !== 'progressing' || entry.paused) return undefined;
      if (record.step <= entry.step || record.step >= entry.steps.length)
        return undefined;
      return {
        ...entry,
        ...stamp,
        step: record.step,
        stepAtMs: record.atMs,
        evidence: record.evidence,
      };
    case 'pause':
    case 'resume': {
      const paused = record.type === 'pause';
      if (entry?.phase !== 'progressing' || entry.paused === paused)
        return undefined;
      return {...entry, ...stamp, paused};
    }
    case 'complete':
      if (entry?.phase !== 'progressing' || entry.paused) return undefined;
      if (entry.step !== entry.steps.length - 1) return undefined;
      return {
        ...entry,
        ...stamp,
        phase: 'completed',
        completedAtMs: record.atMs,
        evidence: record.evidence,
      };
    case 'done':
      if (entry?.phase !== 'completed') return undefined;
      return {...entry, ...stamp, phase: 'done'};
    case 'take-back':
      if (entry?.phase !== 'progressing' && entry?.phase !== 'completed')
        return undefined;
      return {
        ...entry,
        ...stamp,
        phase: 'taking-back',
        takeBackReason: record.reason,
        evidence: record.evidence,
      };
    case 'taken-back':
      if (entry?.phase !== 'taking-back') return undefined;
      return {
        ...entry,
        ...stamp,
        phase:
          entry.takeBackReason === 'superseded' ? 'superseded' : 'taken-back',
      };
    default:
      return undefined;
  }
}

/** A new rollout, or another version under the name of one that has ended. */
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
  const fresh = {
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
    return {...fresh, phase: 'refused', refuseReason: record.reason};
  }
  if (record.type === 'queue') {
    if (entry?.phase === 'queued' && entry.behind === record.behind)
      return undefined;
    return {...fresh, phase: 'queued', behind: record.behind};
  }
  const blocked =
    activeRollout(state, spec.service) !== undefined ||
    state.banned.has(`${spec.service}/${spec.version}`) ||
    record.steps.length === 0;
  if (blocked) return undefined;
  return {
    ...fresh,
    phase: 'progressing',
    oldVersion: record.oldVersion,
    steps: record.steps,
  };
}

/** Versions in effect and versions that were taken back, after one entry changed. */
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
