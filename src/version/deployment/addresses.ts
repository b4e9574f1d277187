import {isIPv4} from 'node:net';

/** Highest port number of TCP and UDP. */
const maxPort = 65_535;

/**
 * Checks that a text is the IPv4 address of a host, so that sending to it neither fails nor looks up a name.
 *
 * @param text - Address from the store or from another host.
 */
export function isHostAddress(text: string): boolean {
  return isIPv4(text);
}

/**
 * Checks that a text is an IPv4 address and a port to which a connection can be opened.
 *
 * @param text - `IP:PORT` from the store or from another host.
 */
export function isTargetAddress(text: string): boolean {
  const [ip, port, ...rest] = text.split(':');
  if (rest.length > 0 || !/^\d{1,5}$/.test(port ?? '')) return false;
  const number = Number(port);
  return isIPv4(ip) && number > 0 && number <= maxPort;
}

/**
 * Checks that the id of a target can be sent as the value of a header.
 *
 * @param id - Id from the store or from another host.
 */
export function isTargetId(id: string): boolean {
  return /^[\x21-\x7e]+$/.test(id);
}
