import type {FailureTexts} from './catalogue.js';

/** Failures of the platform's services. */
export type PlatformFailure =
  | {kind: 'log-unavailable'; stream: string; reason: string}
  | {kind: 'log-rate-limited'; stream: string; retryAfterMs: number}
  | {kind: 'log-truncated'; stream: string; from: number; first: number}
  | {kind: 'weight-store-unavailable'; reason: string}
  | {kind: 'host-list-unavailable'; reason: string}
  | {kind: 'order-rejected'; target: string; fencing: number; newest: number}
  | {kind: 'order-failed'; target: string; reason: string}
  | {kind: 'store-silent'; timeoutMs: number}
  | {kind: 'store-unreachable'; reason: string}
  | {kind: 'store-refused'; call: string; status: number};

/** Texts of the platform failures. */
export const platformFailures: FailureTexts<PlatformFailure> = {
  'log-unavailable': {
    title: 'Log service unavailable',
    message: f => `log stream "${f.stream}" is unavailable: ${f.reason}`,
    hint: 'Serving continues with the last configuration; writes can be retried later.',
  },
  'log-rate-limited': {
    title: 'Log append rate exceeded',
    message: f =>
      `log stream "${f.stream}" accepts the next append in ${f.retryAfterMs} ms`,
    hint: 'Retry after the stated time.',
  },
  'log-truncated': {
    title: 'Log records no longer kept',
    message: f =>
      `log stream "${f.stream}" starts at offset ${f.first}, offset ${f.from} was wanted`,
    hint: 'The reader starts again from the newest snapshot.',
  },
  'weight-store-unavailable': {
    title: 'Weight store unavailable',
    message: f => `weight store is unavailable: ${f.reason}`,
    hint: 'Loads stay queued until the store answers again.',
  },
  'host-list-unavailable': {
    title: 'Host list unavailable',
    message: f => `host list is unavailable: ${f.reason}`,
    hint: 'Membership goes on between the hosts that already know each other.',
  },
  'order-rejected': {
    title: 'Engine order rejected',
    message: f =>
      `target "${f.target}" rejected fencing number ${f.fencing}; it has seen ${f.newest}`,
    hint: 'Another host has taken over; this host gives up its lease.',
  },
  'order-failed': {
    title: 'Engine order failed',
    message: f => `order to target "${f.target}" failed: ${f.reason}`,
    hint: 'The state of the target is read again before the order is repeated.',
  },
  'store-silent': {
    title: 'Store does not answer',
    message: f => `the store did not answer within ${f.timeoutMs} ms`,
    hint: 'A write may have been executed or may be executed later; its condition decides.',
  },
  'store-unreachable': {
    title: 'Store cannot be reached',
    message: f => `the store cannot be reached: ${f.reason}`,
    hint: 'Hosts serve with what they know and ask other hosts until the store returns.',
  },
  'store-refused': {
    title: 'Store refused a call',
    message: f => `the store refused a ${f.call} call with status ${f.status}`,
    hint: 'Status 429 and 503 mean that nothing was done; the call is repeated later.',
  },
};
