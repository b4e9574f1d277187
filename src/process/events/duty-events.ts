/** Events of the duties towards the platform. */
export const dutyEvents = {
  dutiesTaken: {
    id: 7501,
    level: 'info',
    message: 'this host holds the duties towards the platform now',
  },
  dutiesLost: {
    id: 7502,
    level: 'warn',
    message: 'this host no longer holds the duties',
  },
  dutyRightEnded: {
    id: 7503,
    level: 'warn',
    message:
      'the right to perform duties ran out while the log could not be written',
  },
  dutyLogFailed: {
    id: 7504,
    level: 'warn',
    message: 'log of duties not read or not written',
  },
  dutyLogRecovered: {
    id: 7505,
    level: 'info',
    message: 'log of duties read and written again',
  },
  dutySettingsInvalid: {
    id: 7506,
    level: 'error',
    message:
      'settings of duties are missing or invalid; the duties that need them are off',
  },
  dutyCallFailed: {
    id: 7507,
    level: 'warn',
    message: 'call of a duty not accepted by the platform',
  },
  dutyTaskFailed: {
    id: 7508,
    level: 'error',
    message: 'a duty failed unexpectedly; it is performed again later',
  },
} as const;
