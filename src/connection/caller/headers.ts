import {
  validateHeaderName,
  validateHeaderValue,
  type IncomingHttpHeaders,
} from 'node:http';

/** Hop-by-hop header fields (RFC 9110, section 7.6.1), which are not forwarded. */
const hopByHop = [
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
];

/** Request header fields that the host consumes or sets itself. */
const requestOnly = [
  'authorization',
  'content-length',
  'expect',
  'host',
  'x-request-id',
];

const requestDrop = new Set([...hopByHop, ...requestOnly]);
const responseDrop = new Set(hopByHop);

/**
 * Selects the request headers that are forwarded to a target.
 *
 * @param headers - Headers as received, one value for each field line.
 * @returns End-to-end headers.
 */
export function requestHeaders(
  headers: NodeJS.Dict<string[]>,
): Record<string, string | string[]> {
  return select(headers, requestDrop, headers['connection']);
}

/**
 * Selects the response headers that are forwarded to the caller. Invalid fields, which Node.js
 * would refuse to send, are omitted.
 *
 * @param headers - Headers of the target's response.
 * @returns End-to-end headers.
 */
export function responseHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
  const connection = headers['connection'];
  const selected = select(
    headers,
    responseDrop,
    connection === undefined ? undefined : [String(connection)],
  );
  for (const [name, value] of Object.entries(selected)) {
    if (!isValid(name, value)) delete selected[name];
  }
  return selected;
}

function select(
  headers: NodeJS.Dict<string | string[]>,
  drop: ReadonlySet<string>,
  connection: readonly string[] | undefined,
): Record<string, string | string[]> {
  const named = connection?.flatMap(value =>
    value.split(',').map(name => name.trim().toLowerCase()),
  );
  const selected: Record<string, string | string[]> = {};
  for (const name in headers) {
    const value = headers[name];
    if (value === undefined || drop.has(name) || named?.includes(name)) {
      continue;
    }
    selected[name] =
      Array.isArray(value) && value.length === 1 ? value[0] : value;
  }
  return selected;
}

function isValid(name: string, value: string | string[]): boolean {
  try {
    validateHeaderName(name);
    for (const one of [value].flat()) validateHeaderValue(name, one);
    return true;
  } catch {
    return false;
  }
}
