/** Events of configuration and rollouts. */
export const versionEvents = {
  configApplied: {
    id: 5001,
    level: 'info',
    message: 'configuration record applied',
  },
  configConflict: {
    id: 5002,
    level: 'info',
    message: 'configuration write rejected because of a concurrent write',
  },
  configInvalid: {
    id: 5003,
    level: 'warn',
    message: 'configuration record is invalid and was ignored',
  },
  configSnapshotLoaded: {
    id: 5004,
    level: 'info',
    message: 'configuration loaded from a snapshot',
  },
  configSnapshotWritten: {
    id: 5005,
    level: 'info',
    message: 'configuration snapshot written',
  },
  operatorWrite: {
    id: 5006,
    level: 'info',
    message: 'operator write completed',
  },
  operatorRefused: {
    id: 5007,
    level: 'warn',
    message: 'resource API rejected a credential',
  },
  claimsNotReleased: {
    id: 5008,
    level: 'warn',
    message: 'host stopped before the log confirmed the release of its claims',
  },
} as const;
