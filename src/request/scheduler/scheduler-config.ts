/** Settings of a group scheduler that come from its service and its owner. */
export interface SchedulerConfig {
  /** Prefix of permit ids; must differ between owners and between restarts of an owner. */
  readonly owner: string;
  /** Objective for the time to first token, or to the response of a plain HTTP service, in ms. */
  readonly firstTokenTargetMs: number;
  /** Objective for the time between tokens, in milliseconds. */
  readonly tokenTargetMs: number;
  /** Maximum number of waiting requests of each tier. */
  readonly queueLimits: readonly number[];
  /** Maximum number of waiting requests over all tiers. */
  readonly queueTotal: number;
  /** Whether outstanding permits of an earlier owner may still be unknown. */
  readonly recovering: boolean;
}

/** Defaults for settings that a service does not specify. */
export const defaultSchedulerConfig: SchedulerConfig = {
  owner: 'owner',
  firstTokenTargetMs: 500,
  tokenTargetMs: 60,
  queueLimits: [512, 512, 512, 512],
  queueTotal: 1024,
  recovering: false,
};
