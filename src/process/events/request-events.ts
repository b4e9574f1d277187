/** Events of requests. */
export const requestEvents = {
  requestFinished: {id: 2001, level: 'debug', message: 'request finished'},
  requestRefused: {id: 2002, level: 'info', message: 'request refused'},
  attemptFailed: {id: 2003, level: 'warn', message: 'attempt failed'},
  answerBroken: {
    id: 2004,
    level: 'warn',
    message: 'response aborted after part of it was relayed',
  },
  callerLeft: {
    id: 2005,
    level: 'debug',
    message: 'caller closed the connection before the response ended',
  },
  requestFaulted: {
    id: 2006,
    level: 'error',
    message: 'request ended with an unexpected error',
  },
  targetCrashed: {
    id: 2007,
    level: 'warn',
    message: 'target crashed while it ran requests',
  },
  connectionRejected: {
    id: 2008,
    level: 'debug',
    message: 'connection of a caller closed because of a protocol error',
  },
} as const;
