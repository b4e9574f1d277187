/** Assumed number of hosts while they are not known, so that this host uses a small share of a limit. */
const assumedHosts = 16;

/**
 * Checks whether a host knows all others that may be running, so that it may divide limits among them. Before that it knows
 * the seeds at most, and would take a part of each limit that is meant for many hosts.
 *
 * @param feed - States whether the list of hosts was read.
 * @param peers - States whether it was copied from another host.
 */
export function areHostsKnown(
  feed: {readonly knowsHosts: boolean},
  peers: {readonly areCopied: boolean},
): boolean {
  return feed.knowsHosts || peers.areCopied;
}

/**
 * Computes among how many hosts a limit is divided.
 *
 * @param hosts - Number of hosts that this one knows, itself included.
 * @param areKnown - Whether these are all that may be running.
 */
export function sharingHosts(hosts: number, areKnown: boolean): number {
  return areKnown ? hosts : Math.max(hosts, assumedHosts);
}
