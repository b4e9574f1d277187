import type {IncomingMessage} from 'node:http';
import {ByteBuffer} from '../../process/byte-buffer.js';
import {FailureError} from '../../process/errors/catalogue.js';
import {isObject} from '../../version/merge-patch.js';
import {
  resourceKinds,
  type ResourceKind,
} from '../../version/resources/kinds.js';
import {namePattern} from '../../version/resources/schemas.js';

/** Path prefix of the resource API. */
export const apiPrefix = '/api/v1/';

const nameCheck = new RegExp(namePattern);
const mediaTypes = new Set([
  '',
  'application/json',
  'application/merge-patch+json',
]);

/** Precondition of a write, from the If-Match and If-None-Match headers. */
export type Precondition =
  | {kind: 'none'}
  | {kind: 'exists'}
  | {kind: 'absent'}
  | {kind: 'generation'; generations: readonly number[]};

/**
 * Parses a resource kind from a path.
 *
 * @param text - Segment of the path.
 * @returns The kind.
 * @throws {@link FailureError} of kind `resource-kind-unknown`.
 */
export function parseKind(text: string): ResourceKind {
  if (Object.hasOwn(resourceKinds, text)) return text as ResourceKind;
  const known = Object.values(resourceKinds);
  throw new FailureError({kind: 'resource-kind-unknown', name: text, known});
}

/**
 * Validates a resource name from a path.
 *
 * @param text - Segment of the path.
 * @returns The name.
 * @throws {@link FailureError} of kind `resource-name-invalid`.
 */
export function parseName(text: string): string {
  if (nameCheck.test(text)) return text;
  throw new FailureError({kind: 'resource-name-invalid', name: text});
}

/**
 * Parses the conditional headers of a write.
 *
 * @param req - Request with its headers.
 * @returns The precondition.
 * @throws {@link FailureError} of kind `resource-etag-malformed`.
 */
export function parsePrecondition(req: IncomingMessage): Precondition {
  const ifMatch = req.headers['if-match'];
  const ifNoneMatch = req.headers['if-none-match'];
  if (ifNoneMatch !== undefined) {
    if (ifNoneMatch.trim() === '*') return {kind: 'absent'};
    throw malformed('If-None-Match', ifNoneMatch);
  }
  if (ifMatch === undefined) return {kind: 'none'};
  if (ifMatch.trim() === '*') return {kind: 'exists'};
  const generations = parseTags('If-Match', ifMatch);
  return {kind: 'generation', generations};
}

/**
 * Parses a list of entity tags, which are generations of a resource.
 *
 * @param header - Name of the header, used in the failure.
 * @param value - Value of the header, for example `"3", "4"`.
 * @returns Generations.
 * @throws {@link FailureError} of kind `resource-etag-malformed`.
 */
export function parseTags(header: string, value: string): number[] {
  return value.split(',').map(part => {
    const match = /^\s*"(\d{1,15})"\s*$/.exec(part);
    if (!match) throw malformed(header, value);
    return Number(match[1]);
  });
}

/**
 * Reads the JSON body of a write.
 *
 * @param req - Request whose body was not read yet.
 * @param maxBytes - Maximum size of the body, in bytes.
 * @returns The parsed JSON object.
 * @throws {@link FailureError} of a resource kind.
 */
export async function readObject(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Record<string, unknown>> {
  const mediaType = (req.headers['content-type'] ?? '')
    .split(';')[0]
    .trim()
    .toLowerCase();
  if (!mediaTypes.has(mediaType)) {
    throw new FailureError({kind: 'resource-media-type', mediaType});
  }
  const body = new ByteBuffer();
  for await (const chunk of req as AsyncIterable<Buffer>) {
    if (body.length + chunk.length > maxBytes) {
      throw new FailureError({kind: 'resource-body-too-large', maxBytes});
    }
    body.append(chunk);
  }
  let value: unknown;
  try {
    value = JSON.parse(body.take().toString('utf8'));
  } catch (err) {
    const reason = (err as Error).message;
    throw new FailureError({kind: 'resource-body-malformed', reason});
  }
  if (isObject(value)) return value;
  const reason = 'it is not a JSON object';
  throw new FailureError({kind: 'resource-body-malformed', reason});
}

function malformed(header: string, value: string): FailureError {
  return new FailureError({kind: 'resource-etag-malformed', header, value});
}
