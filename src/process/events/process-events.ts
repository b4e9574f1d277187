/** Events of the process: start, drain and failures. */
export const processEvents = {
  hostStarted: {id: 1001, level: 'info', message: 'host started'},
  drainStarted: {id: 1002, level: 'info', message: 'drain started'},
  drainFinished: {id: 1003, level: 'info', message: 'drain finished'},
  drainTimedOut: {
    id: 1004,
    level: 'warn',
    message: 'drain timed out with requests in flight',
  },
  invariantViolated: {id: 1005, level: 'error', message: 'invariant violated'},
  hostFailed: {
    id: 1006,
    level: 'error',
    message: 'host stopped after a failure',
  },
} as const;
