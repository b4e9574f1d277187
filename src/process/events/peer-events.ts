/** Events between hosts. */
export const peerEvents = {
  linkOpened: {id: 3001, level: 'info', message: 'link to host opened'},
  linkClosed: {id: 3002, level: 'info', message: 'link to host closed'},
  linkRejected: {id: 3003, level: 'warn', message: 'link from host rejected'},
} as const;
