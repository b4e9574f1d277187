import type {PermitFrame} from '../../process/groups/permit-messages.js';

/** Sending side of a link. */
export abstract class PermitLink {
  /**
   * Sends a frame. A link that does not keep up is closed in place of queueing without bound.
   *
   * @param frame - Frame to send.
   */
  abstract send(frame: PermitFrame): void;

  /** Closes the link; the handlers are not called any more. */
  abstract close(): void;
}

/** Receiving side of a link. */
export interface PermitLinkHandlers {
  /** Receives a frame. */
  readonly frame: (frame: PermitFrame) => void;
  /** The link failed or was closed by the other side. Called once. */
  readonly closed: (reason: string) => void;
}

/** Carries links between followers and owners. */
export abstract class PermitTransport {
  /**
   * Opens a link to an owner. A failure to connect is reported through `closed`.
   *
   * @param host - Id of the owner's host.
   * @param handlers - Receive what the owner sends.
   * @returns The link; frames sent before it is established are delivered after that.
   */
  abstract connect(host: string, handlers: PermitLinkHandlers): PermitLink;

  /**
   * Accepts links of followers.
   *
   * @param accept - Called with the id of the follower's host and the sending side.
   */
  abstract listen(
    accept: (host: string, link: PermitLink) => PermitLinkHandlers,
  ): void;
}
