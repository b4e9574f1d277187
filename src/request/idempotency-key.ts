import {FailureError} from '../process/errors/catalogue.js';

/** Maximum length of an idempotency key, in characters. */
export const maxKeyLength = 255;

/** Structured-field string (RFC 8941): printable ASCII, with `"` and `\` escaped. */
const quoted = /^"((?:[\x20-\x21\x23-\x5b\x5d-\x7e]|\\["\\])*)"$/;
/** Bare token: printable ASCII without space, quote, comma and semicolon. */
const bare = /^[\x21\x23-\x2b\x2d-\x3a\x3c-\x7e]+$/;
const uuidV7 =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/**
 * Parses the header `Idempotency-Key`.
 *
 * @param values - Values of the header, one for each header line.
 * @returns The key, or `undefined` if the header is absent.
 * @throws {@link FailureError} of kind `refused` with reason `malformed-request`.
 */
export function readIdempotencyKey(
  values: readonly string[] | undefined,
): string | undefined {
  if (values === undefined || values.length === 0) return undefined;
  if (values.length > 1) throw malformed('is given more than once');
  const value = values[0].trim();
  const quotedMatch = quoted.exec(value);
  const key = quotedMatch
    ? quotedMatch[1].replace(/\\(["\\])/g, '$1')
    : bare.test(value)
      ? value
      : undefined;
  if (key === undefined || key === '') {
    throw malformed('is neither a quoted string nor a token');
  }
  if (key.length > maxKeyLength) {
    throw malformed(`is longer than ${maxKeyLength} characters`);
  }
  return key;
}

/**
 * Extracts the creation time of a UUIDv7 (RFC 9562).
 *
 * @param key - Idempotency key.
 * @returns Milliseconds since the Unix epoch, or `undefined` for other keys.
 */
export function uuidV7TimeMs(key: string): number | undefined {
  const match = uuidV7.exec(key);
  return match ? parseInt(match[1] + match[2], 16) : undefined;
}

function malformed(problem: string): FailureError {
  return new FailureError({
    kind: 'refused',
    reason: 'malformed-request',
    detail: `Idempotency-Key ${problem}`,
  });
}
