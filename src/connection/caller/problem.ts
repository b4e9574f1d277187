import type {ServerResponse} from 'node:http';
import {refusals, type RefusalReason} from '../../request/refusals.js';

/**
 * Answers with a problem document (RFC 9457).
 *
 * @param res - Response whose head was not sent yet.
 * @param reason - Why the request was refused.
 * @param options - `detail` of this case, and `retryAfterMs`, in milliseconds.
 */
export function sendProblem(
  res: ServerResponse,
  reason: RefusalReason,
  options: {detail?: string; retryAfterMs?: number} = {},
): void {
  const {status, title, retryable, execution} = refusals[reason];
  const body = JSON.stringify({
    type: `urn:guavaseam:refusal:${reason}`,
    title,
    status,
    detail: options.detail,
    reason,
    retryable,
    execution,
  });
  res.statusCode = status;
  res.setHeader('content-type', 'application/problem+json');
  res.setHeader('content-length', Buffer.byteLength(body));
  if (retryable && options.retryAfterMs !== undefined) {
    const seconds = Math.max(1, Math.ceil(options.retryAfterMs / 1000));
    res.setHeader('retry-after', seconds);
  }
  res.end(body);
}
