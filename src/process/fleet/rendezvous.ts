/** Offset basis and prime of the 32-bit FNV-1a hash. */
const fnvBasis = 0x811c9dc5;
const fnvPrime = 0x01000193;

/**
 * Hashes a string. The result is the same on every host.
 *
 * @param text - String to hash.
 * @returns Unsigned 32-bit integer.
 */
export function hash32(text: string): number {
  let hash = fnvBasis;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), fnvPrime);
  }
  // Final mixing: FNV-1a spreads the last bytes poorly to the upper bits.
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x7feb352d);
  hash ^= hash >>> 15;
  return hash >>> 0;
}

/**
 * Ranks a host for an item by rendezvous hashing.
 *
 * @param item - Key of the item to assign to hosts.
 * @param host - Host to rank.
 * @param hosts - Names of all hosts.
 * @returns Number of hosts that precede it; 0 for the first.
 */
export function rendezvousRank(
  item: string,
  host: string,
  hosts: readonly string[],
): number {
  const hostScore = hash32(`${item} ${host}`);
  let before = 0;
  for (const other of hosts) {
    if (other === host) continue;
    const score = hash32(`${item} ${other}`);
    if (score > hostScore || (score === hostScore && other < host)) before++;
  }
  return before;
}
