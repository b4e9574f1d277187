/** Events between hosts. */
export const peerEvents = {
  linkOpened: {id: 3001, level: 'info', message: 'link to host opened'},
  linkClosed: {id: 3002, level: 'info', message: 'link to host closed'},
  linkRejected: {id: 3003, level: 'warn', message: 'link from host rejected'},
  memberChanged: {id: 3004, level: 'debug', message: 'member changed'},
  selfPaused: {
    id: 3005,
    level: 'warn',
    message:
      'this host was paused or taken for dead and gives up what it holds',
  },
  hostListUnavailable: {
    id: 3006,
    level: 'warn',
    message: 'host list unavailable; the last one stays in use',
  },
  groupOwned: {id: 3010, level: 'info', message: 'group is owned here'},
  groupGivenUp: {id: 3011, level: 'info', message: 'group is owned elsewhere'},
  hostPaused: {
    id: 3012,
    level: 'warn',
    message: 'this host was paused and gave up its groups',
  },
  permitLinkEnded: {id: 3013, level: 'info', message: 'permit link ended'},
  requestSpilled: {
    id: 3014,
    level: 'debug',
    message: 'request sent to another zone',
  },
} as const;
