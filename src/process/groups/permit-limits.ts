/**
 * Time without a received frame after which a link is closed, in milliseconds. Including the response
 * of the next host in rank, a hung owner is replaced within 2 s.
 */
export const linkTimeoutMs = 1500;

/** Interval of heartbeats on an idle link, in milliseconds: three per link timeout. */
export const heartbeatMs = 500;

/** Interval of the periodic checks, in milliseconds. */
export const tickMs = 100;

/**
 * Gap between two periodic checks from which the host counts as paused, in milliseconds. It is
 * shorter than the link timeout, so a host releases its groups no later than its followers leave.
 */
export const pauseThresholdMs = 1000;

/**
 * Time after which an owner uses the share of a follower whose former owner did not confirm its
 * release, in milliseconds: twice the time within which the former owner detects the closed link.
 */
export const shareHoldMs = 2 * linkTimeoutMs;

/**
 * Time for which permits of a host still count after its death was confirmed, in milliseconds. Within
 * it the engines detect the closed connections.
 */
export const deathGraceMs = 250;

/**
 * Time for which a dead host stays in the denominator of an owner that not all hosts follow, in
 * milliseconds. A host that is cut off sees the others die one after the other, not all at once.
 */
export const recentDeathMs = 10_000;

/**
 * Time that a new owner leaves to hosts of other zones to list their permits, in milliseconds. They
 * are not members of its zone, so it cannot tell which of them are still missing.
 */
export const remoteZoneSettleMs = 500;

/**
 * Time for which a host is first avoided as owner after its link failed, in milliseconds. It doubles
 * with each failure up to {@link maxAvoidMs}. After it, a crashed host is confirmed dead and is no
 * longer a candidate.
 */
export const initialAvoidMs = 2000;

/** Maximum time for which a host is avoided as owner, in milliseconds. */
export const maxAvoidMs = 10_000;

/** Maximum number of groups that one host owns; it ignores followers of further groups. */
export const maxOwnedGroups = 1024;

/** Interval at which an unchanged number of free slots is reported again, in milliseconds. */
export const freeSlotsIntervalMs = 5000;

/** Time without followers after which an owner drops a group, in milliseconds. */
export const idleGroupTimeoutMs = 5000;

/** Maximum number of permits and requests in one `Follow` message; longer lists are split. */
export const maxFollowEntries = 64;

/** Maximum number of prefix hashes per request; at 8 bytes each a permit stays below 300 bytes. */
export const maxWirePrefixes = 8;

/** Maximum size of an encoded message, in bytes. */
export const maxMessageBytes = 64 * 1024;

/** Maximum number of unsent bytes on a link; above it the peer is too slow and the link is closed. */
export const maxBufferedBytes = 1024 * 1024;

/** Minimum time to the deadline for sending a request to another zone, in milliseconds. */
export const minSpillMs = 50;
