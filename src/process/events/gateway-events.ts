/** Events of a gateway host. */
export const gatewayEvents = {
  gatewayStarted: {id: 7001, level: 'info', message: 'gateway started'},
  gatewayStopping: {id: 7002, level: 'info', message: 'gateway stopping'},
  gatewayStopped: {id: 7003, level: 'info', message: 'gateway stopped'},
  settingsReloaded: {id: 7004, level: 'info', message: 'settings reloaded'},
  linesDropped: {
    id: 7005,
    level: 'warn',
    message: 'log lines about requests dropped by the rate limit',
  },
  gatewayReady: {id: 7006, level: 'info', message: 'readiness changed'},
  settingsIgnored: {
    id: 7007,
    level: 'warn',
    message: 'optional settings are invalid and not used',
  },
  storeLost: {id: 7101, level: 'warn', message: 'store does not respond'},
  storeRegained: {id: 7102, level: 'info', message: 'store responds again'},
  feedTruncated: {
    id: 7103,
    level: 'warn',
    message:
      'store no longer holds the requested records; reading the newest of each key',
  },
  storeRestored: {
    id: 7117,
    level: 'warn',
    message: 'store was restored from a copy; reading the log again',
  },
  recordUnreadable: {
    id: 7104,
    level: 'warn',
    message: 'store record skipped because it cannot be decoded',
  },
  stateCopied: {
    id: 7105,
    level: 'info',
    message: 'state copied from another host',
  },
  stateNotCopied: {
    id: 7106,
    level: 'warn',
    message: 'state could not be copied from another host',
  },
  targetsDiffer: {
    id: 7112,
    level: 'info',
    message: 'known targets differ from those of a host that has read further',
  },
  targetsViewChanged: {
    id: 7113,
    level: 'info',
    message: 'view of the targets changed',
  },
  viewTooOld: {
    id: 7114,
    level: 'warn',
    message: 'requests wait because the view of the targets is too old',
  },
  viewCurrent: {
    id: 7115,
    level: 'info',
    message: 'view of the targets is recent enough again',
  },
  sentByOldView: {
    id: 7116,
    level: 'warn',
    message: 'request sent although the view of the targets is too old',
  },
  registrationFailed: {
    id: 7107,
    level: 'warn',
    message: 'host could not be registered in the store',
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
    message: 'datagram from another host could not be decoded',
  },
  peersChanged: {
    id: 7111,
    level: 'info',
    message: 'number of hosts sending gossip changed',
  },
  targetKnown: {id: 7201, level: 'info', message: 'target added'},
  targetGone: {id: 7202, level: 'info', message: 'target removed'},
  targetDraining: {id: 7203, level: 'info', message: 'target is draining'},
  targetSuspended: {
    id: 7204,
    level: 'warn',
    message: 'target temporarily excluded after failures',
  },
  targetStalled: {
    id: 7205,
    level: 'warn',
    message: 'target does not respond to a request',
  },
  blockedContentChanged: {
    id: 7206,
    level: 'warn',
    message: 'requests and prompt parts that are refused because targets crash',
  },
  targetLimitChanged: {
    id: 7207,
    level: 'info',
    message: 'request rate that a target accepts changed',
  },
  targetLimitUse: {
    id: 7208,
    level: 'info',
    message: 'requests of this host to a target that states a limit',
  },
  targetBackoff: {
    id: 7209,
    level: 'info',
    message: 'target accepts nothing from this host for a time',
  },
  targetCold: {id: 7210, level: 'info', message: 'target is cold'},
  targetWarm: {
    id: 7211,
    level: 'info',
    message: 'target is no longer taken for cold before the time it stated',
  },
  targetColdUse: {
    id: 7212,
    level: 'info',
    message: 'requests of this host to a cold target',
  },
  targetsBrittle: {
    id: 7213,
    level: 'info',
    message: 'targets of a service fail if they turn too many requests away',
  },
  targetsBrittleEnded: {
    id: 7214,
    level: 'info',
    message: 'targets of a service are no longer brittle',
  },
  brittleTargetFell: {
    id: 7215,
    level: 'warn',
    message: 'brittle target cannot be reached, probably because it failed',
  },
  targetBrittleUnreadable: {
    id: 7216,
    level: 'warn',
    message:
      'number of rejections that a target states cannot be used; it changes nothing',
  },
  gatewayRefused: {
    id: 7301,
    level: 'info',
    message: 'request refused by the gateway',
  },
  exchangeFailed: {
    id: 7302,
    level: 'warn',
    message: 'target returned no complete response',
  },
  requestResent: {
    id: 7303,
    level: 'info',
    message: 'request retried on another target',
  },
  responseAborted: {
    id: 7304,
    level: 'warn',
    message: 'response aborted after a part was delivered',
  },
  requestBlocked: {
    id: 7305,
    level: 'info',
    message: 'request not sent because targets crashed under its like',
  },
  callerLeft: {
    id: 7306,
    level: 'info',
    message: 'connection of an open request closed',
  },
  requestDiscarded: {
    id: 7307,
    level: 'info',
    message: 'request not run because its connection was ended before',
  },
  requestOverdue: {
    id: 7308,
    level: 'error',
    message: 'response to a request has not ended when it should have',
  },
  connectionLimited: {
    id: 7309,
    level: 'info',
    message: 'connection of a caller ended at a limit',
  },
  callerMemoryEvicted: {
    id: 7310,
    level: 'warn',
    message: 'bytes that a caller held were evicted to make room for others',
  },
  responseEndChecked: {
    id: 7311,
    level: 'info',
    message:
      'response without a length ended and its target accepts no connections',
  },
  trialBegun: {
    id: 7401,
    level: 'info',
    message: 'canary of a new version started',
  },
  trialPhase: {
    id: 7402,
    level: 'info',
    message: 'canary phase of a new version changed',
  },
  statusRecorded: {
    id: 7403,
    level: 'info',
    message: 'rollout status appended',
  },
  statusNotRecorded: {
    id: 7404,
    level: 'warn',
    message: 'rollout status could not be appended',
  },
  organisationOverShare: {
    id: 7601,
    level: 'info',
    message: 'organisation uses more than its share of scarce slots',
  },
  organisationWithinShare: {
    id: 7602,
    level: 'info',
    message: 'organisation is back within its share of the slots',
  },
  overloadBegan: {
    id: 7603,
    level: 'warn',
    message:
      'requests to a service are refused because they could not start in time',
  },
  overloadEnded: {
    id: 7604,
    level: 'info',
    message: 'requests to a service are no longer refused for overload',
  },
  zoneTransfersBegun: {
    id: 7701,
    level: 'info',
    message: 'requests of a service begin to leave the zone',
  },
  zoneTransfersEnded: {
    id: 7702,
    level: 'info',
    message: 'requests of a service no longer leave the zone by plan',
  },
  targetsLost: {
    id: 7801,
    level: 'warn',
    message: 'this host reaches no target of a service',
  },
  targetsRegained: {
    id: 7802,
    level: 'info',
    message: 'this host reaches targets of a service again',
  },
  requestRelayed: {
    id: 7811,
    level: 'info',
    message: 'request sent through another host',
  },
  relayRefused: {
    id: 7812,
    level: 'info',
    message: 'request of another host refused',
  },
} as const;
