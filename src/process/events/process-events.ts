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
  addressInUse: {
    id: 1007,
    level: 'warn',
    message: 'address cannot be bound yet; trying again',
  },
  addressBound: {
    id: 1008,
    level: 'info',
    message: 'address bound after failed attempts',
  },
  metricsNotServed: {
    id: 1009,
    level: 'error',
    message: 'metrics are not served because their address cannot be bound',
  },
} as const;
