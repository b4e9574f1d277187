/** Minimum time between two messages to the same host, in milliseconds; applies with up to 16 other hosts. */
export const minIntervalMs = 150;
/** Maximum number of messages that a host sends per second; larger deployments use a longer interval. */
const maxMessagesPerSecond = 110;

/**
 * Computes the gossip interval from the size of the deployment.
 *
 * @param hosts - Number of other hosts.
 * @returns Time between two messages of one host to the same other host, in milliseconds.
 */
export function gossipIntervalMs(hosts: number): number {
  return Math.max(minIntervalMs, (hosts / maxMessagesPerSecond) * 1000);
}
