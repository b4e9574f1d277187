import type {Echo} from './gossip-message.js';
import type {Peer} from './peer-table.js';

/**
 * Builds the echo for another host, if it has sent a message.
 *
 * @param peer - Recipient of the echo.
 * @param nowMs - Monotonic time, in milliseconds.
 */
export function echoFor(peer: Peer, nowMs: number): Echo | undefined {
  const {incarnation, sentAtMs} = peer.message ?? {};
  if (incarnation === undefined || sentAtMs === undefined) return undefined;
  return {incarnation, sentAtMs, heldMs: nowMs - peer.lastSeenAtMs};
}

/**
 * Computes when another host composed a message. The time at which the message is processed does not tell:
 * a message may wait on a link, in a socket or for the event loop for longer than what it states is valid.
 * The other host composed it `heldMs` after it had received a message that this host sent at `sentAtMs`, so
 * the result holds without synchronized clocks. It is early by the transit time of that earlier message.
 *
 * @param echo - Echo in the message.
 * @param incarnation - Incarnation of this host.
 * @param nowMs - Monotonic time, in milliseconds.
 * @returns Monotonic time of this host before which the message was not composed, in milliseconds;
 *   `-Infinity` if the message does not tell.
 */
export function composedAtMs(
  echo: Echo | undefined,
  incarnation: number,
  nowMs: number,
): number {
  if (echo?.incarnation !== incarnation) return -Infinity;
  return Math.min(nowMs, echo.sentAtMs + echo.heldMs);
}
