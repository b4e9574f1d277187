import {createHash} from 'node:crypto';
import {countBy} from '../../src/demo/tally.js';
import type {CallerRequest} from './fleet-callers.js';
import type {SeenExecution} from './fleet-messages.js';

/** What became of a request, by its callers' side and the targets' records. */
export type Verdict =
  | 'whole'
  | 'refused'
  /** No answer, and the caller was told so: a broken connection or an unknown outcome. */
  | 'lost told'
  /** No answer or a wrong one, without a sign. */
  | 'lost untold'
  /** Refused as not run, but a target ran it. */
  | 'false not-run';

/** A request with its verdict. */
export interface Judged {
  readonly request: CallerRequest;
  readonly verdict: Verdict;
  readonly reason: string;
}

/** Counted result of a run. */
export interface FleetTally {
  readonly judged: readonly Judged[];
  /** Executions of keyed requests beyond the first of each. */
  readonly duplicates: number;
}

/**
 * Compares what callers saw with what the targets recorded.
 *
 * @param requests - Requests of the callers.
 * @param executions - Records of the targets.
 * @returns Verdicts and duplicates.
 */
export function tallyFleet(
  requests: readonly CallerRequest[],
  executions: readonly SeenExecution[],
): FleetTally {
  const recorded = new Map<string, SeenExecution[]>();
  for (const execution of executions) {
    const {method, path, bodySha256} = execution;
    const id = `${method} ${path} ${bodySha256}`;
    const same = recorded.get(id);
    if (same) same.push(execution);
    else recorded.set(id, [execution]);
  }
  const callers = countBy(requests, requestId);
  const judged = requests.map(request => {
    const id = requestId(request);
    const own = recorded.get(id) ?? [];
    return {request, ...judge(request, own, callers.get(id) ?? 1)};
  });
  const keyed = new Set(
    requests.filter(({req}) => req.key !== undefined).map(requestId),
  );
  let duplicates = 0;
  for (const id of keyed) {
    duplicates += Math.max(0, (recorded.get(id)?.length ?? 0) - 1);
  }
  return {judged, duplicates};
}

function judge(
  {sendings}: CallerRequest,
  recorded: readonly SeenExecution[],
  callers: number,
): {verdict: Verdict; reason: string} {
  const last = sendings[sendings.length - 1].outcome;
  switch (last.kind) {
    case 'silent':
      return {verdict: 'lost untold', reason: 'no end in time'};
    case 'broken':
      return {verdict: 'lost told', reason: `broken: ${last.reason}`};
    case 'answered': {
      if (last.status !== 200) {
        return {verdict: 'lost told', reason: `status ${last.status}`};
      }
      const known = recorded.some(
        ({answerSha256}) => answerSha256 === last.sha256,
      );
      return known
        ? {verdict: 'whole', reason: ''}
        : {verdict: 'lost untold', reason: 'answer differs from the record'};
    }
    case 'refused': {
      const {reason, execution} = last;
      // The caller of the first sending gets the answer.
      if (reason === 'key-in-progress') return {verdict: 'refused', reason};
      if (execution !== 'not-run') return {verdict: 'lost told', reason};
      // Of a request with several sendings, an other one may have been run.
      const only = callers === 1 && sendings.length === 1;
      return only && recorded.length > 0
        ? {verdict: 'false not-run', reason}
        : {verdict: 'refused', reason};
    }
  }
}

function requestId({req}: CallerRequest): string {
  const digest = createHash('sha256').update(req.body).digest('hex');
  return `${req.method} ${req.targetPath} ${digest}`;
}

/**
 * Finds the longest time without a new execution in each group of targets.
 *
 * @param executions - Records of the targets.
 * @param fromMs - Start of the time, wall clock.
 * @param toMs - End of the time, wall clock.
 * @returns Gap in milliseconds by `service/zone`.
 */
export function findGaps(
  executions: readonly SeenExecution[],
  fromMs: number,
  toMs: number,
): Map<string, number> {
  const times = new Map<string, number[]>();
  for (const {service, zone, seenMs} of executions) {
    const group = `${service}/${zone}`;
    const own = times.get(group) ?? [];
    if (seenMs >= fromMs && seenMs <= toMs) own.push(seenMs);
    times.set(group, own);
  }
  return new Map(
    [...times].map(([group, own]) => {
      const all = [fromMs, ...own.sort((a, b) => a - b), toMs];
      const gaps = all.slice(1).map((time, i) => time - all[i]);
      return [group, Math.max(...gaps)];
    }),
  );
}
