/** Events between hosts. */
export const peerEvents = {
  linkOpened: {id: 3001, level: 'info', message: 'link to host opened'},
  linkClosed: {id: 3002, level: 'info', message: 'link to host closed'},
  linkRejected: {id: 3003, level: 'warn', message: 'link from host rejected'},
  memberChanged: {id: 3004, level: 'debug', message: 'member changed'},
  selfPaused: {
    id: 3005,
    level: 'warn',
    message: 'this host was paused or declared dead and releases what it owns',
  },
  hostListUnavailable: {
    id: 3006,
    level: 'warn',
    message: 'host list unavailable; the last known list stays in use',
  },
  groupOwned: {id: 3010, level: 'info', message: 'group is owned by this host'},
  groupGivenUp: {
    id: 3011,
    level: 'info',
    message: 'group is owned by another host',
  },
  hostPaused: {
    id: 3012,
    level: 'warn',
    message: 'this host was paused and released its groups',
  },
  permitLinkEnded: {id: 3013, level: 'info', message: 'permit link ended'},
  requestSpilled: {
    id: 3014,
    level: 'debug',
    message: 'request sent to another zone',
  },
} as const;
