import {createHash} from 'node:crypto';
import type {CallerResult} from './load-sender.js';
import type {PlannedRequest} from './load-plan.js';

/** An execution as a target recorded it. */
export interface TargetExecution {
  readonly target: string;
  readonly method: string;
  readonly path: string;
  readonly bodySha256: string;
  /** Digest of the answer's bytes, if the answer was completed. */
  readonly answerSha256: string | undefined;
}

/** What became of a request, according to the callers and the targets' records. */
export type Verdict = 'whole' | 'refused' | 'lost';

/** Counted result of a run. */
export interface Tally {
  readonly requests: number;
  readonly whole: number;
  readonly refused: number;
  readonly lost: number;
  /** Executions of keyed requests beyond the first of each. */
  readonly duplicate: number;
  readonly verdicts: readonly {result: CallerResult; verdict: Verdict}[];
  /** Why requests were lost, with their numbers. */
  readonly losses: ReadonlyMap<string, number>;
}

/**
 * Compares what callers saw with what targets recorded.
 *
 * An answer is whole if its digest is that of a recorded answer to the same request. A refusal is
 * one only if it is true: `not-run` is checked against the records, and `unknown` is accepted only
 * for a repetition of a request that got its whole answer. Everything else is lost.
 *
 * @param results - What the callers saw.
 * @param executions - What the targets recorded.
 * @returns The counts.
 */
export function tally(
  results: readonly CallerResult[],
  executions: readonly TargetExecution[],
): Tally {
  const recorded = new Map<string, TargetExecution[]>();
  for (const execution of executions) {
    const {method, path, bodySha256} = execution;
    const id = `${method} ${path} ${bodySha256}`;
    recorded.set(id, [...(recorded.get(id) ?? []), execution]);
  }
  const senders = countBy(results, ({req}) => requestId(req));
  const losses = new Map<string, number>();
  const answers = new Set(
    results.flatMap(({req, outcome}) =>
      outcome.kind === 'answered'
        ? [`${requestId(req)} ${outcome.sha256}`]
        : [],
    ),
  );
  const verdicts = results.map(result => {
    const id = requestId(result.req);
    const executed = recorded.get(id) ?? [];
    const loss = findLoss(result, executed, {
      sentTwice: (senders.get(id) ?? 1) > 1,
      answered: executed.some(({answerSha256}) =>
        answers.has(`${id} ${answerSha256}`),
      ),
    });
    if (loss !== undefined) losses.set(loss, (losses.get(loss) ?? 0) + 1);
    const refused = result.outcome.kind === 'refused';
    const verdict: Verdict =
      loss !== undefined ? 'lost' : refused ? 'refused' : 'whole';
    return {result, verdict};
  });
  const keyed = new Set(
    results.flatMap(({req}) => (req.key ? [requestId(req)] : [])),
  );
  let duplicate = 0;
  for (const id of keyed) {
    duplicate += Math.max(0, (recorded.get(id)?.length ?? 0) - 1);
  }
  const count = (verdict: Verdict) =>
    verdicts.filter(entry => entry.verdict === verdict).length;
  return {
    requests: results.length,
    whole: count('whole'),
    refused: count('refused'),
    lost: count('lost'),
    duplicate,
    verdicts,
    losses,
  };
}

/** Why a request counts as lost, or `undefined` if it does not. */
function findLoss(
  {outcome}: CallerResult,
  recorded: readonly TargetExecution[],
  sendings: {readonly sentTwice: boolean; readonly answered: boolean},
): string | undefined {
  if (outcome.kind === 'broken') return `broken: ${outcome.reason}`;
  if (outcome.kind === 'answered') {
    if (outcome.status !== 200) return `status ${outcome.status}`;
    const {sha256} = outcome;
    return recorded.some(({answerSha256}) => answerSha256 === sha256)
      ? undefined
      : 'answer differs from the record';
  }
  const {reason, execution} = outcome;
  // The key's first request is still running; its caller gets the answer.
  if (reason === 'key-in-progress') return undefined;
  if (execution !== 'not-run') {
    // A host that knows only that the key was claimed has to say so; nothing is lost if the other
    // sending of the request got the whole answer.
    return sendings.sentTwice && sendings.answered
      ? undefined
      : `refused as unknown: ${reason}`;
  }
  // Of a request that was sent twice, the other sending may have been executed.
  return !sendings.sentTwice && recorded.length > 0
    ? `untrue refusal: ${reason}`
    : undefined;
}

function requestId(req: PlannedRequest): string {
  const digest = createHash('sha256').update(req.body).digest('hex');
  return `${req.method} ${req.targetPath} ${digest}`;
}

/**
 * Counts values by a name.
 *
 * @param values - Values to count.
 * @param name - Returns the name of a value.
 * @returns Counts by name, in the order of the first value of each.
 */
export function countBy<T>(
  values: Iterable<T>,
  name: (value: T) => string,
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const value of values) {
    counts.set(name(value), (counts.get(name(value)) ?? 0) + 1);
  }
  return counts;
}
