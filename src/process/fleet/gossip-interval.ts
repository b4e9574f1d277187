/** Time between two messages to each host, in milliseconds, for deployments of up to 16 hosts. */
export const minIntervalMs = 150;
/** Messages a second that a host sends at most; larger deployments hear each host less often. */
const sendsPerSecond = 110;

/**
 * Tells how often each host is heard.
 *
 * @param hosts - Number of other hosts.
 * @returns Time between two messages of one host, in milliseconds.
 */
export function gossipIntervalMs(hosts: number): number {
  return Math.max(minIntervalMs, (hosts / sendsPerSecond) * 1000);
}
