/** Events of the usage reports; at most one per window of time. */
export const usageEvents = {
  usageFixed: {
    id: 7520,
    level: 'info',
    message: 'usage report recorded in the store; its counts do not change',
  },
  usageSent: {id: 7521, level: 'info', message: 'usage report accepted'},
  usageLate: {
    id: 7522,
    level: 'warn',
    message: 'usage report accepted after it was due',
  },
  usageMissed: {
    id: 7523,
    level: 'warn',
    message: 'windows of time without an accepted usage report',
  },
  usageRefused: {
    id: 7524,
    level: 'warn',
    message: 'usage report refused by the platform',
  },
} as const;
