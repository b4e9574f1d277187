import type {ServerResponse} from 'node:http';

/** Why a gateway answers a request itself, with the status of the answer. */
export const refusalReasons = {
  notConfigured: {status: 503, text: 'the host knows no configuration yet'},
  badHost: {status: 400, text: 'exactly one Host header is required'},
  headersTooLarge: {status: 431, text: 'the headers are too large'},
  bodyTooLarge: {status: 413, text: 'the body is too large'},
  noRoute: {status: 404, text: 'no route matches the host and path'},
  unknownKey: {status: 401, text: 'the API key is not known'},
  overQuota: {status: 429, text: 'the quota of the organisation is used up'},
  noSlot: {status: 503, text: 'no target has room in time'},
  targetsRefuse: {status: 503, text: 'the targets refuse the request'},
  expiredWaiting: {
    status: 503,
    text: 'the time ended before a target was free',
  },
  expiredRunning: {status: 504, text: 'the time ended while a target worked'},
  targetFailed: {status: 502, text: 'the target gave no whole answer'},
} as const satisfies Record<string, {status: number; text: string}>;

/** Name of one of {@link refusalReasons}. */
export type RefusalName = keyof typeof refusalReasons;

/**
 * Answers a request that is not sent to a target.
 *
 * @param res - Answer to the caller.
 * @param name - Why.
 * @param returnMs - Time after which the caller should come back, in milliseconds.
 * @param closes - Whether the connection is closed after the answer.
 */
export function sendRefusal(
  res: ServerResponse,
  name: RefusalName,
  returnMs: number | undefined,
  closes: boolean,
): void {
  const {status, text} = refusalReasons[name];
  const body = JSON.stringify({error: name, message: text});
  const headers: Record<string, string | number> = {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  };
  if (returnMs !== undefined) {
    headers['retry-after'] = (returnMs / 1000).toFixed(3);
  }
  if (closes) headers.connection = 'close';
  res.writeHead(status, headers);
  res.end(body);
}
