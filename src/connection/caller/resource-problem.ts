import type {ServerResponse} from 'node:http';
import {describeFailure, type Failure} from '../../process/errors/catalogue.js';
import type {ResourceFailure} from '../../process/errors/resource-failures.js';
import type {FieldError} from '../../version/resources/check-spec.js';

const statuses: {readonly [K in ResourceFailure['kind']]?: number} = {
  'resource-not-found': 404,
  'resource-kind-unknown': 404,
  'resource-name-invalid': 422,
  'resource-invalid': 422,
  'resource-body-malformed': 400,
  'resource-body-too-large': 413,
  'resource-media-type': 415,
  'resource-method': 405,
  'resource-conflict': 409,
  'resource-precondition': 412,
  'resource-etag-malformed': 400,
  'watch-too-old': 410,
  'watch-limit': 503,
  'write-unavailable': 503,
  'write-not-found': 404,
  'operator-unauthenticated': 401,
  'operator-forbidden': 403,
};

/**
 * Responds to a request of the resource API with a problem document (RFC 9457). The document has
 * the members of the failure, so that programs need not parse its texts.
 *
 * @param res - Response whose head was not sent yet.
 * @param failure - Failure to report.
 * @param options - `status` overrides the default of the failure's kind; `errors` lists invalid
 *   fields.
 */
export function sendFailure(
  res: ServerResponse,
  failure: Failure,
  options: {status?: number; errors?: readonly FieldError[]} = {},
): void {
  const {kind, ...members} = failure;
  const {title, message, hint} = describeFailure(failure);
  const reason = kind === 'write-unavailable' ? 'log-unavailable' : kind;
  const status =
    options.status ?? statuses[kind as ResourceFailure['kind']] ?? 500;
  const body = JSON.stringify({
    ...members,
    type: `urn:guavaseam:resource:${reason}`,
    title,
    status,
    detail: message,
    hint,
    reason,
    errors: options.errors,
  });
  res.statusCode = status;
  res.setHeader('content-type', 'application/problem+json');
  if (kind === 'operator-unauthenticated') {
    res.setHeader('www-authenticate', 'Bearer realm="guavaseam"');
  }
  if (status === 503) res.setHeader('retry-after', 1);
  res.end(body);
}
