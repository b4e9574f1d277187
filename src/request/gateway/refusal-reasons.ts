/**
 * Reasons for which a host refuses a request itself, each with the status and message of the response.
 * Callers receive the name and the message in the body, so both must stay stable.
 */
export const refusalReasons = {
  notConfigured: {status: 503, text: 'the host knows no configuration yet'},
  stopping: {status: 503, text: 'the host stops before it could respond'},
  badHost: {status: 400, text: 'exactly one Host header is required'},
  tooManyTokens: {
    status: 400,
    text: 'a header states more tokens than any target could process',
  },
  headersTooLarge: {status: 431, text: 'the headers are too large'},
  bodyTooLarge: {status: 413, text: 'the body is too large'},
  noMemory: {status: 503, text: 'the host has no memory left for the body'},
  noRoute: {status: 404, text: 'no route matches the host and path'},
  unknownKey: {status: 401, text: 'the API key is not known'},
  overQuota: {status: 429, text: 'the quota of the organisation is used up'},
  noSlot: {status: 503, text: 'no target has room in time'},
  overloaded: {status: 503, text: 'the targets have no room in time now'},
  targetsRefuse: {status: 503, text: 'the targets refuse the request'},
  unreachable: {
    status: 503,
    text: 'the host reaches no target of the service',
  },
  expiredWaiting: {
    status: 503,
    text: 'the time ended before a target was free',
  },
  expiredRunning: {
    status: 504,
    text: 'the time ended while a target worked',
  },
  stoppedRunning: {
    status: 504,
    text: 'the host stopped while a target worked',
  },
  crashesTargets: {
    status: 503,
    text: 'targets crashed each time they ran such a request',
  },
  targetFailed: {status: 502, text: 'the target gave no whole answer'},
} as const satisfies Record<string, {status: number; text: string}>;

/** Name of one of {@link refusalReasons}. */
export type RefusalName = keyof typeof refusalReasons;
