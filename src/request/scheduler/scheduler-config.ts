/** Settings of a group scheduler that come from its service and its owner. */
export interface SchedulerConfig {
  /** Prefix of permit ids; must differ between owners and between starts of an owner. */
  readonly owner: string;
  /** Wanted time to first token (or whole answer of a plain service), in milliseconds. */
  readonly firstTokenTargetMs: number;
  /** Wanted time between tokens, in milliseconds. */
  readonly tokenTargetMs: number;
  /** Greatest number of waiting requests of each tier. */
  readonly queueLimits: readonly number[];
  /** Greatest number of waiting requests over all tiers. */
  readonly queueTotal: number;
  /** Whether outstanding permits of an earlier owner may still be unknown. */
  readonly recovering: boolean;
}

/** Values for settings that a service does not state. */
export const defaultSchedulerConfig: SchedulerConfig = {
  owner: 'owner',
  firstTokenTargetMs: 500,
  tokenTargetMs: 60,
  queueLimits: [512, 512, 512, 512],
  queueTotal: 1024,
  recovering: false,
};
