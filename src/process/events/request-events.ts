/** Events of requests. */
export const requestEvents = {
  requestFinished: {id: 2001, level: 'debug', message: 'request finished'},
  requestRefused: {id: 2002, level: 'info', message: 'request refused'},
  attemptFailed: {id: 2003, level: 'warn', message: 'attempt failed'},
  answerBroken: {
    id: 2004,
    level: 'warn',
    message: 'answer broke off after part of it was relayed',
  },
} as const;
