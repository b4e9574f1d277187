/** Events of rollouts. */
export const rolloutEvents = {
  rolloutLeading: {
    id: 6001,
    level: 'info',
    message: 'this host leads the rollout',
  },
  rolloutLeaseLost: {
    id: 6002,
    level: 'warn',
    message: 'this host no longer leads the rollout',
  },
  rolloutChanged: {
    id: 6003,
    level: 'info',
    message: 'rollout changed',
  },
  rolloutStopped: {
    id: 6004,
    level: 'warn',
    message: 'evidence of harm; this host sends no new requests to the version',
  },
  rolloutOrderSent: {
    id: 6005,
    level: 'info',
    message: 'target ordered to load a version',
  },
  rolloutOrderFailed: {
    id: 6006,
    level: 'warn',
    message: 'order to a target failed',
  },
  rolloutWriteUnconfirmed: {
    id: 6007,
    level: 'warn',
    message: 'outcome of a log append is still unknown',
  },
} as const;
