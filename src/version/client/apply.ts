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

/** Result of one planned change. */
export interface AppliedChange {
  readonly change: PlannedChange;
  /** `unknown` if the host could not determine whether the write was accepted. */
  readonly result: 'applied' | 'not-applied' | 'unknown';
  readonly writeId?: string;
  /** Offset of the record, if applied. */
  readonly offset?: number;
  readonly warnings: readonly string[];
  /** Why it was not applied or not attempted. */
  readonly reason?: string;
  readonly problem?: Problem;
}

/** Outcome of {@link waitUntilInEffect}. */
export type WaitResult =
  | {kind: 'reached'; rollouts: readonly FinishedRollout[]}
  | {kind: 'timed-out'; missing: readonly string[]};

/** A finished rollout. */
export interface FinishedRollout {
  readonly name: string;
  /** `Done`, `Refused` or `Reversed`. */
  readonly reason: string;
}

/** Clock and sleep of the commands; tests replace them. */
export interface WaitTimer {
  readonly nowMs: () => number;
  readonly sleep: (ms: number) => Promise<void>;
}

/** Maximum attempts of a write, including retries while its outcome is unknown. */
const maxAttempts = 5;
/** Delay between two attempts of a write and between two polls of the status, in milliseconds. */
const pollMs = 500;

/**
 * Reads all resources of the fleet.
 *
 * @param client - Client of one host.
 * @returns The resources, or the problem that the host returned.
 */
export async function readAll(
  client: ResourceClient,
): Promise<ApiResponse<readonly Resource[]>> {
  const all: Resource[] = [];
  for (const kind of applyOrder) {
    const response = await client.list(kind);
    if (response.kind === 'problem') return response;
    all.push(...response.body.items);
  }
  return {kind: 'ok', body: all};
}

/**
 * Applies changes in order and stops at the first that is not applied, because later ones may
 * depend on it.
 *
 * @param client - Client of one host.
 * @param changes - Changes of {@link planChanges}.
 * @param waiting - Clock and sleep between attempts.
 * @returns One result for each change, in the same order.
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
  for (let attempt = 0; attempt < maxAttempts; attempt++) {
    if (attempt > 0) await waiting.sleep(pollMs);
    try {
      // The same write id is never applied twice, so the write can be retried.
      const {base} = change;
      const response = await client.write(change, {base, writeId});
      if (response.kind === 'ok')
        return applied(change, writeId, response.body);
      const {problem} = response;
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
 * Waits until applied changes are in effect in every zone and rollouts among them have finished.
 *
 * @param client - Client of one host.
 * @param results - Results of {@link applyChanges}.
 * @param options - `timeoutMs`: maximum time to wait, in milliseconds; `waiting`: clock and sleep.
 * @returns The finished rollouts, or what is still missing after the timeout.
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

/** Lists what is still missing; finished rollouts are added to `finished`. */
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
        missing.push(`zone ${zone.zone} is unreachable`);
      } else if (zone.configOffset <= offset) {
        missing.push(`zone ${zone.zone} is at offset ${zone.configOffset}`);
      }
    }
    for (const name of rollouts) {
      const response = await client.get('rollout', name);
      const conditions =
        response.kind === 'ok' ? response.body.status.conditions : [];
      const end = conditions.find(({type}) => type === 'Finished');
      if (end?.status === 'True') finished.push({name, reason: end.reason});
      else missing.push(`rollout ${name} has not finished`);
    }
    return missing;
  } catch (err) {
    if (!(err instanceof FailureError)) throw err;
    return [err.message];
  }
}
