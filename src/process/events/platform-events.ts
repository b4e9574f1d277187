/** Events of the clients of the platform's services. */
export const platformEvents = {
  logUnavailable: {id: 4001, level: 'warn', message: 'log service unavailable'},
  logRecovered: {
    id: 4002,
    level: 'info',
    message: 'log service available again',
  },
  logTruncated: {
    id: 4003,
    level: 'warn',
    message:
      'log no longer holds the requested records; starting from a snapshot',
  },
} as const;
