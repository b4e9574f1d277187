/**
 * Intervals and timeouts of the failure detector. A ring predecessor confirms a crash in its zone
 * after at most ring interval + ack timeout + indirect timeout + suspicion timeout + 4 ticks
 * = 400 + 150 + 200 + 950 + 100 = 1800 ms; the update then takes one link delay per hop. A paused
 * host is confirmed dead no earlier than 150 + 200 + 950 = 1300 ms after its pause began.
 */
export const timing = {
  tickMs: 25,
  ringIntervalMs: 400,
  chordIntervalMs: 2000,
  crossIntervalMs: 1000,
  ackTimeoutMs: 150,
  indirectTimeoutMs: 200,
  suspicionTimeoutMs: 950,
  /** A longer gap between steps counts as a pause; below the earliest confirmed death, 1300 ms. */
  pauseThresholdMs: 1000,
  /** A longer gap between steps extends all deadlines, so a slow host does not suspect others. */
  slowStepMs: 100,
  /** A zone without gossip for this long becomes unknown; 4 probe intervals across zones. */
  zoneSilenceMs: 4000,
  zoneAgesIntervalMs: 1000,
  /** Mean interval between pings to addresses that belong to no live member. */
  retryIntervalMs: 5000,
  /** Replaces `retryIntervalMs` while this host knows no live member. */
  joinIntervalMs: 1000,
  /** Twice the longest expected partition between regions, so no old update revives a member. */
  tombstoneRetentionMs: 2 * 3600_000,
  silentZoneRetentionMs: 24 * 3600_000,
  /** A probed member of another zone is avoided for `avoidMs` after this many missed acks. */
  crossMisses: 3,
  avoidMs: 10_000,
  /** Minimum time between two transmissions of all members to the same host. */
  syncIntervalMs: 2000,
} as const;

/** Limits on links, messages and known members. */
export const bounds = {
  /** Alive members to probe on the ring. */
  ringSuccessors: 2,
  /** Maximum number of ring links, suspects included. */
  maxRingLinks: 6,
  chords: 2,
  crossLinks: 3,
  intermediates: 2,
  messageBytes: 400,
  summaryBytes: 32,
  /** Maximum number of known members; four times the largest fleet of the design. */
  members: 1440,
} as const;
