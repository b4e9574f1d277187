import type {ServerResponse} from 'node:http';
import {
  execution,
  refusals,
  type Execution,
  type RefusalReason,
} from '../../request/refusals.js';

/** Details of one refusal. */
export interface ProblemOptions {
  /** What is wrong in this case. */
  readonly detail?: string;
  /** Time after which the request may succeed, in milliseconds. */
  readonly retryAfterMs?: number;
  /** Overrides what the reason says about the execution. */
  readonly execution?: Execution;
}

/** Time for callers to wait if nothing better is known, in milliseconds. */
const defaultRetryAfterMs = 1000;
/** Statuses for which Retry-After is given by default. */
const retryAfterStatuses = new Set<number>([409, 429, 503]);

/**
 * Details of a refusal before the claim of the request's idempotency key was decided. Callers take
 * `not-run` to hold for every sending with the key, so it must not be said of one of them alone.
 *
 * @param options - Details of this case.
 * @returns The details, with unknown execution.
 */
export function withUnknownExecution(
  options: ProblemOptions = {},
): ProblemOptions {
  return {
    ...options,
    execution: execution.unknown,
    detail:
      options.detail ??
      'this sending was not run; whether an earlier one with its key was run is not known',
  };
}

/**
 * Makes a problem document (RFC 9457).
 *
 * @param reason - Why the request was refused.
 * @param options - Details of this case.
 * @returns Status, headers and body of the answer.
 */
export function createProblem(
  reason: RefusalReason,
  options: ProblemOptions = {},
): {status: number; headers: Record<string, string>; body: string} {
  const {status, title, retryable, execution: known} = refusals[reason];
  const body = JSON.stringify({
    type: `urn:guavaseam:refusal:${reason}`,
    title,
    status,
    detail: options.detail,
    reason,
    retryable,
    execution: options.execution ?? known,
  });
  const headers: Record<string, string> = {
    'content-type': 'application/problem+json',
    'content-length': String(Buffer.byteLength(body)),
  };
  const waitMs =
    options.retryAfterMs ??
    (retryAfterStatuses.has(status) ? defaultRetryAfterMs : undefined);
  if (retryable && waitMs !== undefined) {
    headers['retry-after'] = String(Math.max(1, Math.ceil(waitMs / 1000)));
  }
  if (reason === 'unauthenticated') headers['www-authenticate'] = 'Bearer';
  if (reason === 'method-not-allowed') headers['allow'] = 'POST';
  return {status, headers, body};
}

/**
 * Answers with a problem document.
 *
 * @param res - Response whose head was not sent yet.
 * @param reason - Why the request was refused.
 * @param options - Details of this case.
 */
export function sendProblem(
  res: ServerResponse,
  reason: RefusalReason,
  options: ProblemOptions = {},
): void {
  const {status, headers, body} = createProblem(reason, options);
  res.statusCode = status;
  for (const [name, value] of Object.entries(headers)) {
    res.setHeader(name, value);
  }
  // The rest of an unread body could be long; closing the connection is cheaper than reading it.
  if (!res.req.complete) res.setHeader('connection', 'close');
  res.end(body);
}
