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
    message: 'configuration write lost a race',
  },
} as const;
