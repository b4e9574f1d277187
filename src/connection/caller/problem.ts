import type {ServerResponse} from 'node:http';
import {
  execution,
  refusals,
  type Execution,
  type RefusalReason,
} from '../../request/refusals.js';

/** Details of one refusal that its reason does not determine. */
export interface ProblemOptions {
  /** Explanation of this occurrence. */
  readonly detail?: string;
  /** Delay after which a retry may succeed, in milliseconds. */
  readonly retryAfterMs?: number;
  /** Overrides the execution state that the reason implies. */
  readonly execution?: Execution;
}

/** Default retry delay for callers, in milliseconds. */
const defaultRetryAfterMs = 1000;
/** Statuses that get a Retry-After header by default. */
const retryAfterStatuses = new Set<number>([409, 429, 503]);

/**
 * Completes the details of a refusal that precedes the decision on the request's idempotency key.
 * Callers apply `not-run` to every attempt with the key, so it must not be reported when it is known
 * of one attempt only.
 *
 * @param options - Details of this refusal.
 * @returns The details, with the execution state `unknown`.
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
 * Creates a problem document (RFC 9457).
 *
 * @param reason - Why the request was refused.
 * @param options - Details of this refusal.
 * @returns Status, headers and body of the response.
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
 * Responds with a problem document.
 *
 * @param res - Response whose head was not sent yet.
 * @param reason - Why the request was refused.
 * @param options - Details of this refusal.
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
  // The rest of an unread body may be long; closing the connection is cheaper than reading it.
  if (!res.req.complete) res.setHeader('connection', 'close');
  res.end(body);
}
