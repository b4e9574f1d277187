/**
 * A link on which nothing was received for this time is closed, in milliseconds. Together with the
 * next rank's answer this keeps the takeover from a hung owner within 2 s.
 */
export const linkTimeoutMs = 1500;

/** An idle link carries a heartbeat after this time, in milliseconds: three per timeout. */
export const heartbeatMs = 500;

/** Interval of the periodic checks, in milliseconds. */
export const tickMs = 100;

/**
 * A gap between two periodic checks from which the host counts as paused, in milliseconds. It is
 * shorter than the link timeout, so a host gives up its groups no later than its followers leave.
 */
export const pauseThresholdMs = 1000;

/**
 * Time after which an owner counts the share of a follower whose former owner did not confirm that
 * it gave the share up, in milliseconds: twice the time in which the former owner notices the
 * closed link.
 */
export const shareHoldMs = 2 * linkTimeoutMs;

/**
 * Permits of a host stay counted for this time after its death was confirmed, in milliseconds; in
 * it the engines notice the closed connections.
 */
export const deathGraceMs = 250;

/**
 * Deaths within this time stay in the denominator of an owner that is not followed by all hosts, in
 * milliseconds. A host that is cut off sees the others die one after the other, not at once.
 */
export const recentDeathMs = 10_000;

/**
 * Time in which hosts of other zones list their permits to a new owner, in milliseconds. They are
 * not part of the zone's member list, so the owner cannot know which are still missing.
 */
export const remoteZoneSettleMs = 500;

/**
 * A host whose link failed is passed over for this time at first, in milliseconds; it doubles up to
 * the maximum. By then a crashed host is confirmed dead and is not tried again.
 */
export const initialAvoidMs = 2000;

/** Greatest time for which a host is passed over, in milliseconds. */
export const maxAvoidMs = 10_000;

/** Greatest number of groups that one host owns; followers of others are not served. */
export const maxOwnedGroups = 1024;

/** The number of free slots is sent again after this time without a change, in milliseconds. */
export const freeSlotsIntervalMs = 5000;

/** A group without followers is dropped after this time, in milliseconds. */
export const idleGroupTimeoutMs = 5000;

/** Greatest number of permits and requests in one `Follow` message; longer lists are split. */
export const maxFollowEntries = 64;

/** Greatest number of prefix hashes sent with a request; 8 bytes each keep a permit below 300 bytes. */
export const maxWirePrefixes = 8;

/** Greatest size of an encoded message, in bytes. */
export const maxMessageBytes = 64 * 1024;

/** A link with more unsent bytes than this is closed, in bytes; the peer does not keep up. */
export const maxBufferedBytes = 1024 * 1024;

/** A request is sent to another zone only if at least this much of its deadline is left, in milliseconds. */
export const minSpillMs = 50;
