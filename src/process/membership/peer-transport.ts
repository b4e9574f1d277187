import type {Stream} from 'most';
import type {Receiver} from './effects.js';
import type {LinkMessage, PeerIdentity} from './messages.js';

/** A message and its sender, verified by the link. */
export interface ReceivedMessage {
  readonly from: PeerIdentity;
  readonly message: LinkMessage;
}

/** Carries messages between hosts. Messages may be lost, but are not reordered on a link. */
export abstract class PeerTransport {
  /** Messages from other hosts. */
  abstract readonly messages: Stream<ReceivedMessage>;

  /**
   * Sends a message; opens a link first if there is none. A message that cannot be sent is dropped.
   *
   * @param to - Receiver; with an empty id, any host that responds at the address.
   * @param message - Message to send.
   */
  abstract send(to: Receiver, message: LinkMessage): void;

  /**
   * Sets the hosts to keep links to; other idle links may be closed.
   *
   * @param ids - Ids of the hosts.
   */
  abstract keepLinks(ids: readonly string[]): void;
}
