import {createHash} from 'node:crypto';
import type {Body} from '../../process/body-blocks.js';
import type {AdmittedRequest} from './admitted-request.js';

/**
 * Maximum number of prompt parts of one request that get a fingerprint. Further ones come first in the prompt and are
 * those that most other requests share.
 */
const maxParts = 16;
/** Length of the hash in a fingerprint, in characters of 6 bits; a collision among 10,000 has a chance of 2 in 10^7. */
const hashLength = 8;

/** What {@link requestFingerprints} uses of a request. */
export type FingerprintedRequest = Pick<
  AdmittedRequest,
  'head' | 'method' | 'url' | 'body' | 'service' | 'organisation'
>;

/**
 * Computes the fingerprints of a request: one of the whole request, independent of its id, and one of each prompt part
 * but the last, which belongs to the request or its session alone. Equal requests and parts have equal fingerprints on
 * every host.
 *
 * @param request - Request of a caller.
 * @returns Fingerprints, the most specific first: the whole request, then its parts from the last one to the first.
 */
export function requestFingerprints({
  head,
  method,
  url,
  body,
  service,
  organisation,
}: FingerprintedRequest): string[] {
  const {hosts, parts} = head;
  const caller = organisation?.name ?? '';
  const content = hash([service, hosts[0] ?? '', method, url, caller], body);
  const shared = parts.slice(0, -1).slice(-maxParts);
  return [
    `r${content}`,
    ...shared.reverse().map(({id}) => `p${hash([service, id])}`),
  ];
}

function hash(texts: readonly string[], body?: Body): string {
  // The separator cannot occur in headers, so different lists do not hash alike.
  const sha = createHash('sha1').update(texts.join('\n'));
  if (body) {
    sha.update('\n');
    if (Buffer.isBuffer(body)) sha.update(body);
    else for (const part of body.views()) sha.update(part);
  }
  return sha.digest('base64url').slice(0, hashLength);
}
