import type {Stream} from 'most';
import type {Receiver} from './effects.js';
import type {LinkMessage, PeerIdentity} from './messages.js';

/** A message with its checked sender. */
export interface ReceivedMessage {
  readonly from: PeerIdentity;
  readonly message: LinkMessage;
}

/** Carries messages between hosts; messages may be lost, but are not reordered on one link. */
export abstract class PeerTransport {
  /** Messages of other hosts. */
  abstract readonly messages: Stream<ReceivedMessage>;

  /**
   * Sends a message, and opens a link first if there is none. A message that cannot be sent is
   * dropped.
   *
   * @param to - Receiver; an empty id takes whichever host answers at the address.
   * @param message - Message to send.
   */
  abstract send(to: Receiver, message: LinkMessage): void;

  /**
   * Sets the hosts to which links are kept; other links that are idle may be closed.
   *
   * @param ids - Ids of the hosts.
   */
  abstract keepLinks(ids: readonly string[]): void;
}
