import {randomUUID} from 'node:crypto';
import {FailureError} from '../../process/errors/catalogue.js';
import type {Resource} from '../resources/kinds.js';
import {applyOrder, type PlannedChange} from './difference.js';
import type {
  ApiResponse,
  Problem,
  ResourceClient,
  WriteResponse,
} from './resource-client.js';

/** What became of one planned change. */
export interface AppliedChange {
  readonly change: PlannedChange;
  /** `unknown` if the host could not tell whether the write was accepted. */
  readonly result: 'applied' | 'not-applied' | 'unknown';
  readonly writeId?: string;
  /** Offset of the record, if applied. */
  readonly offset?: number;
  readonly warnings: readonly string[];
  /** Why it was not applied, or not tried. */
  readonly reason?: string;
  readonly problem?: Problem;
}

/** Outcome of waiting. */
export type WaitResult =
  | {kind: 'reached'; rollouts: readonly FinishedRollout[]}
  | {kind: 'timed-out'; missing: readonly string[]};

/** A rollout that has come to its end. */
export interface FinishedRollout {
  readonly name: string;
  /** `Done`, `Refused` or `Reversed`. */
  readonly reason: string;
}

/** Time for the commands; tests replace it. */
export interface WaitTimer {
  readonly nowMs: () => number;
  readonly sleep: (ms: number) => Promise<void>;
}

/** Times that a write without a known outcome is looked up or repeated. */
const outcomeTries = 5;
/** Delay between two such tries, and between two polls of the status, in milliseconds. */
const pollMs = 500;

/**
 * Reads all resources of the fleet.
 *
 * @param client - Client of one host.
 * @returns The resources, or the problem that the host answered.
 */
export async function readAll(
  client: ResourceClient,
): Promise<ApiResponse<readonly Resource[]>> {
  const all: Resource[] = [];
  for (const kind of applyOrder) {
    const answer = await client.list(kind);
    if (answer.kind === 'problem') return answer;
    all.push(...answer.body.items);
  }
  return {kind: 'ok', body: all};
}

/**
 * Applies changes in order and stops at the first that is not applied, because later ones may
 * depend on it.
 *
 * @param client - Client of one host.
 * @param changes - Changes of {@link planChanges}.
 * @param waiting - Time for repetitions.
 * @returns One entry for each change.
 */
export async function applyChanges(
  client: ResourceClient,
  changes: readonly PlannedChange[],
  waiting: WaitTimer,
): Promise<AppliedChange[]> {
  const results: AppliedChange[] = [];
  for (const change of changes) {
    const failed = results.find(({result}) => result !== 'applied');
    if (failed) {
      const {kind, name} = failed.change;
      const reason = `not tried after ${kind}/${name} failed`;
      results.push({change, result: 'not-applied', warnings: [], reason});
      continue;
    }
    results.push(await applyOne(client, change, waiting));
  }
  return results;
}

async function applyOne(
  client: ResourceClient,
  change: PlannedChange,
  waiting: WaitTimer,
): Promise<AppliedChange> {
  const writeId = randomUUID();
  let maybeSent = false;
  let last: {reason: string; problem?: Problem} = {reason: ''};
  for (let attempt = 0; attempt < outcomeTries; attempt++) {
    if (attempt > 0) await waiting.sleep(pollMs);
    try {
      // The same write id is never applied twice, so the write itself is repeated.
      const {base} = change;
      const answer = await client.write(change, {base, writeId});
      if (answer.kind === 'ok') return applied(change, writeId, answer.body);
      const {problem} = answer;
      last = {reason: problem.detail, problem};
      if (problem.reason !== 'log-unavailable') {
        return {change, result: 'not-applied', writeId, warnings: [], ...last};
      }
      if (problem.accepted !== 'no') maybeSent = true;
    } catch (err) {
      if (!(err instanceof FailureError)) throw err;
      maybeSent = true;
      last = {reason: err.message};
    }
  }
  const result = maybeSent ? 'unknown' : 'not-applied';
  return {change, result, writeId, warnings: [], ...last};
}

function applied(
  change: PlannedChange,
  writeId: string,
  {offset, warnings}: WriteResponse,
): AppliedChange {
  return {change, result: 'applied', writeId, offset, warnings};
}

/**
 * Waits until applied changes are in effect in every zone, and rollouts among them have ended.
 *
 * @param client - Client of one host.
 * @param results - Results of {@link applyChanges}.
 * @param options - `timeoutMs`: greatest time to wait; `waiting`: time.
 * @returns Whether the state was reached, and what is missing otherwise.
 */
export async function waitUntilInEffect(
  client: ResourceClient,
  results: readonly AppliedChange[],
  options: {timeoutMs: number; waiting: WaitTimer},
): Promise<WaitResult> {
  const {timeoutMs, waiting} = options;
  const offset = Math.max(-1, ...results.map(result => result.offset ?? -1));
  const rollouts = results
    .filter(({result}) => result === 'applied')
    .map(({change}) => change)
    .filter(({kind, change}) => kind === 'rollout' && change !== 'delete')
    .map(({name}) => name);
  const endMs = waiting.nowMs() + timeoutMs;
  for (;;) {
    const finished: FinishedRollout[] = [];
    const missing = await findMissing(client, offset, rollouts, finished);
    if (missing.length === 0) return {kind: 'reached', rollouts: finished};
    if (waiting.nowMs() >= endMs) return {kind: 'timed-out', missing};
    await waiting.sleep(pollMs);
  }
}

async function findMissing(
  client: ResourceClient,
  offset: number,
  rollouts: readonly string[],
  finished: FinishedRollout[],
): Promise<string[]> {
  const missing: string[] = [];
  try {
    const status = await client.status();
    if (status.kind === 'problem') return [status.problem.detail];
    for (const zone of status.body.zones) {
      if (zone.configOffset === 'Unknown') {
        missing.push(`zone ${zone.zone} cannot be heard`);
      } else if (zone.configOffset <= offset) {
        missing.push(`zone ${zone.zone} is at offset ${zone.configOffset}`);
      }
    }
    for (const name of rollouts) {
      const answer = await client.get('rollout', name);
      const conditions =
        answer.kind === 'ok' ? answer.body.status.conditions : [];
      const end = conditions.find(({type}) => type === 'Finished');
      if (end?.status === 'True') finished.push({name, reason: end.reason});
      else missing.push(`rollout ${name} has not ended`);
    }
    return missing;
  } catch (err) {
    if (!(err instanceof FailureError)) throw err;
    return [err.message];
  }
}
