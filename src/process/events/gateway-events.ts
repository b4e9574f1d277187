/** Events of a gateway host. */
export const gatewayEvents = {
  gatewayStarted: {id: 7001, level: 'info', message: 'gateway started'},
  gatewayStopping: {id: 7002, level: 'info', message: 'gateway stopping'},
  gatewayStopped: {id: 7003, level: 'info', message: 'gateway stopped'},
  settingsReloaded: {id: 7004, level: 'info', message: 'settings read again'},
  linesDropped: {
    id: 7005,
    level: 'warn',
    message: 'lines about requests were left out to keep the log bounded',
  },
  gatewayReady: {id: 7006, level: 'info', message: 'readiness changed'},
  storeLost: {id: 7101, level: 'warn', message: 'store does not answer'},
  storeRegained: {id: 7102, level: 'info', message: 'store answers again'},
  feedTruncated: {
    id: 7103,
    level: 'warn',
    message: 'store no longer holds the wanted records; reading the newest',
  },
  recordUnreadable: {
    id: 7104,
    level: 'warn',
    message: 'record of the store left out because it cannot be decoded',
  },
  stateCopied: {
    id: 7105,
    level: 'info',
    message: 'state taken over from another host',
  },
  stateNotCopied: {
    id: 7106,
    level: 'warn',
    message: 'state of another host could not be read',
  },
  newsMissed: {
    id: 7112,
    level: 'info',
    message: 'targets differ from those of a host that has read further',
  },
  registrationFailed: {
    id: 7107,
    level: 'warn',
    message: 'host could not register itself in the store',
  },
  configurationInForce: {
    id: 7108,
    level: 'info',
    message: 'configuration in force',
  },
  evacuationChanged: {
    id: 7109,
    level: 'info',
    message: 'evacuated zones changed',
  },
  gossipRejected: {
    id: 7110,
    level: 'warn',
    message: 'datagram of another host could not be decoded',
  },
  peersChanged: {id: 7111, level: 'info', message: 'hosts heard changed'},
  targetKnown: {id: 7201, level: 'info', message: 'target known'},
  targetGone: {id: 7202, level: 'info', message: 'target gone'},
  targetDraining: {id: 7203, level: 'info', message: 'target is leaving'},
  targetSuspended: {
    id: 7204,
    level: 'warn',
    message: 'target gets nothing for a while after failures',
  },
  targetStalled: {
    id: 7205,
    level: 'warn',
    message: 'target does not answer a request',
  },
  gatewayRefused: {
    id: 7301,
    level: 'info',
    message: 'request answered by the host itself',
  },
  exchangeFailed: {
    id: 7302,
    level: 'warn',
    message: 'target gave no whole answer',
  },
  requestResent: {
    id: 7303,
    level: 'info',
    message: 'request goes to another target',
  },
  answerBrokenOff: {
    id: 7304,
    level: 'warn',
    message: 'answer broken off after a part was delivered',
  },
  trialBegun: {id: 7401, level: 'info', message: 'new version on trial'},
  trialPhase: {
    id: 7402,
    level: 'info',
    message: 'use of a new version changed',
  },
  statusRecorded: {
    id: 7403,
    level: 'info',
    message: 'status of a rollout appended',
  },
  statusNotRecorded: {
    id: 7404,
    level: 'warn',
    message: 'status of a rollout could not be appended',
  },
} as const;
