/** Bounds of the number of targets that may be ordered of a service; they apply to each zone. */
export interface PoolScaling {
  readonly minTargets: number;
  readonly maxTargets: number;
  /** Time from an order until new targets serve, in milliseconds. */
  readonly bootMs: number;
}

/** A service as far as the size of its pool depends on its configuration. */
export interface ScalableService {
  readonly name: string;
  /** Absent if its number of targets cannot be ordered. */
  readonly scaling?: PoolScaling;
  /** Why the stated bounds cannot be used, with the name of the key. */
  readonly scalingError?: string;
  readonly engine?: {
    /** Maximum number of requests that one target runs at the same time. */
    readonly slots: number;
  };
}

/** A target as far as the size of its pool depends on it. */
export interface SizedTarget {
  readonly id: string;
  readonly zone: string;
  readonly slots: number;
  /** Open requests of all hosts at the target. */
  readonly load: number;
  /** Whether it is about to stop. */
  readonly isLeaving: boolean;
  /** Whether it takes requests: it is not suspended after failures. */
  readonly isServing: boolean;
  /** Whether it started recently, so that it takes few requests. */
  readonly isCold: boolean;
}

/**
 * Holds a number of targets within its bounds.
 *
 * @param count - Number of targets.
 * @param scaling - Bounds.
 */
export function withinBounds(
  count: number,
  {maxTargets, minTargets}: PoolScaling,
): number {
  return Math.min(maxTargets, Math.max(minTargets, count));
}
