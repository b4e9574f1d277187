/** Why numbers of targets are ordered. */
export const poolSizeReasons = {
  /** The load exceeds the share of the slots up to which targets serve well. */
  load: 'load',
  /** The load rises so fast that it will exceed all slots before new targets serve. */
  rise: 'rise',
  /** Requests are refused for lack of slots. */
  refusals: 'refusals',
  /** Without one zone, the others could not hold the load. */
  zoneLoss: 'zone-loss',
  /** The load has been lower for long enough. */
  lower: 'lower',
  /** The configuration changed the bounds. */
  bounds: 'bounds',
} as const;

/** One of {@link poolSizeReasons}. */
export type PoolSizeReason =
  (typeof poolSizeReasons)[keyof typeof poolSizeReasons];

/** Why numbers of targets are kept. */
export const keepReasons = {
  /** They match the load. */
  enough: 'enough',
  /** More targets are needed than may be ordered. */
  atMaximum: 'at-maximum',
  /** Too few hosts have reported their demand since this host took over. */
  starting: 'starting',
  /** Some hosts do not report their demand. */
  viewIncomplete: 'view-incomplete',
  /** A zone is cut off. */
  zoneCutOff: 'zone-cut-off',
  /** A zone is evacuated. */
  zoneEvacuated: 'zone-evacuated',
  /** A rollout of the service runs. */
  rollout: 'rollout',
  /** Targets are cold after a start. */
  cold: 'cold',
  /** Ordered targets do not serve yet. */
  onTheWay: 'on-the-way',
  /** Nothing is known of the slots of a target. */
  slotsUnknown: 'slots-unknown',
} as const;

/** One of {@link keepReasons}. */
export type KeepReason = (typeof keepReasons)[keyof typeof keepReasons];
