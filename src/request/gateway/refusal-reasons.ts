/** Reasons for which a host refuses a request itself, each with the status and message of the response. */
export const refusalReasons = {
  notConfigured: {status: 503, text: 'the host has no configuration yet'},
  badHost: {status: 400, text: 'exactly one Host header is required'},
  headersTooLarge: {status: 431, text: 'the headers are too large'},
  bodyTooLarge: {status: 413, text: 'the body is too large'},
  noRoute: {status: 404, text: 'no route matches the host and path'},
  unknownKey: {status: 401, text: 'the API key is unknown'},
  overQuota: {status: 429, text: 'the quota of the organisation is used up'},
  noSlot: {status: 503, text: 'no target has a free slot in time'},
  targetsRefuse: {status: 503, text: 'the targets refused the request'},
  expiredWaiting: {
    status: 503,
    text: 'the deadline passed before a target had a free slot',
  },
  expiredRunning: {
    status: 504,
    text: 'the deadline passed while a target processed the request',
  },
  targetFailed: {status: 502, text: 'the target sent no complete response'},
} as const satisfies Record<string, {status: number; text: string}>;

/** Name of one of {@link refusalReasons}. */
export type RefusalName = keyof typeof refusalReasons;
