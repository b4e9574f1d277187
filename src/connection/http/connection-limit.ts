import type {HostLimits} from '../../process/gateway-settings.js';

/** Descriptors for files. */
const fileDescriptors = 200;
/** Part of the other descriptors for connections to targets, other hosts and the store. */
const ownShare = 1 / 4;
/** Memory that a connection takes before its first request, in bytes. */
const connectionBytes = 32 * 1024;
/** Part of the process's memory for such connections. */
const memoryShare = 1 / 4;

/**
 * Computes how many connections of callers may be open.
 *
 * @param limits - What the host gives to the process.
 * @returns Maximum number of connections.
 */
export function maxCallerConnections({
  maxDescriptors,
  memoryBytes,
}: HostLimits): number {
  const byDescriptors = (maxDescriptors - fileDescriptors) * (1 - ownShare);
  const byMemory = (memoryBytes * memoryShare) / connectionBytes;
  return Math.max(1, Math.floor(Math.min(byDescriptors, byMemory)));
}

/**
 * Chooses the connection that is closed for a new one: the one that has been without a complete request for longest.
 *
 * @param connections - Open connections and the times since which they have no complete request, in milliseconds;
 *   `undefined` if a complete request is in progress.
 * @returns The connection, or `undefined` if there is none.
 */
export function longestIdle<T>(
  connections: Iterable<readonly [T, number | undefined]>,
): T | undefined {
  let found: T | undefined;
  let earliestMs = Infinity;
  for (const [connection, sinceMs] of connections) {
    if (sinceMs === undefined || sinceMs >= earliestMs) continue;
    found = connection;
    earliestMs = sinceMs;
  }
  return found;
}
