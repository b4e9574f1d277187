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
    title: 'Log records no longer available',
    message: f =>
      `log stream "${f.stream}" starts at offset ${f.first}, offset ${f.from} was requested`,
    hint: 'The reader restarts from the newest snapshot.',
  },
  'weight-store-unavailable': {
    title: 'Weight store unavailable',
    message: f => `weight store is unavailable: ${f.reason}`,
    hint: 'Loads stay queued until the store responds again.',
  },
  'host-list-unavailable': {
    title: 'Host list unavailable',
    message: f => `host list is unavailable: ${f.reason}`,
    hint: 'Membership continues between the hosts that already know each other.',
  },
  'order-rejected': {
    title: 'Engine order rejected',
    message: f =>
      `target "${f.target}" rejected fencing number ${f.fencing}; the newest it has seen is ${f.newest}`,
    hint: 'Another host holds a newer lease; this host relinquishes its own.',
  },
  'order-failed': {
    title: 'Engine order failed',
    message: f => `order to target "${f.target}" failed: ${f.reason}`,
    hint: 'The state of the target is read again before the order is retried.',
  },
  'store-silent': {
    title: 'Store does not respond',
    message: f => `the store did not respond within ${f.timeoutMs} ms`,
    hint: 'A write may have been executed or may be executed later; its condition decides whether it takes effect.',
  },
  'store-unreachable': {
    title: 'Store unreachable',
    message: f => `the store cannot be reached: ${f.reason}`,
    hint: 'Hosts serve with their last known state and updates from other hosts until the store is available again.',
  },
  'store-refused': {
    title: 'Store rejected a call',
    message: f => `the store rejected a ${f.call} call with status ${f.status}`,
    hint: 'Status 429 and 503 mean that nothing was executed; the call is retried later.',
  },
};
