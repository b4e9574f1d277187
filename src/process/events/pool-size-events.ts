/** Events of the orders of targets. */
export const poolSizeEvents = {
  poolSizeOrdered: {
    id: 7541,
    level: 'info',
    message: 'order for a number of targets recorded',
  },
  poolSizeKept: {
    id: 7542,
    level: 'info',
    message: 'why numbers of targets are kept changed',
  },
  poolSizeUnconfirmed: {
    id: 7543,
    level: 'warn',
    message: 'order for a number of targets not confirmed; it will be repeated',
  },
  poolSizeRefused: {
    id: 7544,
    level: 'warn',
    message: 'platform refused an order for a number of targets',
  },
  poolSizeConfirmed: {
    id: 7545,
    level: 'info',
    message: 'platform accepted an order for a number of targets',
  },
  poolSizeUnusable: {
    id: 7546,
    level: 'warn',
    message:
      'bounds of the number of targets cannot be used; the service is not sized',
  },
} as const;
