/** Asks the load process for one cycle of load. */
export interface CycleOrder {
  readonly kind: 'cycle';
  readonly seed: number;
  readonly seconds: number;
  readonly requestsPerSecond: number;
  readonly abnormalPerSecond: number;
  readonly faults: boolean;
  /** Base URLs of the hosts. */
  readonly origins: readonly string[];
}

/** What happened in a cycle. All counts are by name. */
export interface CycleReport {
  readonly kind: 'cycle';
  readonly outcomes: Readonly<Record<string, number>>;
  readonly abnormal: Readonly<Record<string, number>>;
  readonly faults: Readonly<Record<string, number>>;
  /** Keyed requests executed more than once since the start. */
  readonly duplicates: number;
}

/** Sent by the load process when its stand-ins listen. */
export interface LoadReady {
  readonly kind: 'ready';
  readonly platform: Readonly<Record<string, string>>;
}
