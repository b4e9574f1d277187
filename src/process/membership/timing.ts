/**
 * Times and bounds of the membership. A crash in the zone is confirmed by a ring predecessor after
 * at most ring interval + ack timeout + indirect timeout + suspicion timeout + 4 ticks
 * = 400 + 150 + 200 + 950 + 100 = 1800 ms, and the update then takes one link delay per hop. A
 * paused host is confirmed dead no earlier than 150 + 200 + 950 = 1300 ms after its pause began.
 */
export const timing = {
  tickMs: 25,
  ringIntervalMs: 400,
  chordIntervalMs: 2000,
  crossIntervalMs: 1000,
  ackTimeoutMs: 150,
  indirectTimeoutMs: 200,
  suspicionMs: 950,
  /** A gap between steps longer than this is a pause; below the earliest confirmed death, 1300 ms. */
  pauseMs: 1000,
  /** Gaps longer than this move the deadlines, so that a slow host does not blame others. */
  slowStepMs: 100,
  /** A zone that was not heard for this long is unknown: 4 probe intervals across zones. */
  zoneSilenceMs: 4000,
  zoneAgesIntervalMs: 1000,
  /** Interval at which addresses outside the live members are tried. */
  retryIntervalMs: 5000,
  joinIntervalMs: 1000,
  /** Twice the longest expected partition between regions, so that old updates cannot resurrect. */
  tombstoneMs: 2 * 3600_000,
  silentZoneMemoryMs: 24 * 3600_000,
  /** A target across zones that missed this many probes is passed over for `avoidMs`. */
  crossMisses: 3,
  avoidMs: 10_000,
  syncIntervalMs: 2000,
} as const;

/** Bounds on links and messages. */
export const bounds = {
  ringSuccessors: 2,
  /** Ring links including suspects. */
  maxRing: 6,
  chords: 2,
  crossLinks: 3,
  intermediates: 2,
  messageBytes: 400,
  summaryBytes: 32,
  /** Members that one host remembers; four times the design scale. */
  members: 1440,
} as const;
