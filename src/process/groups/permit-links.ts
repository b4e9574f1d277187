import type {
  PermitLink,
  PermitLinkHandlers,
  PermitTransport,
} from '../../connection/peer/permit-transport.js';
import type {Clock} from '../clock.js';
import type {FollowerMessage, OwnerMessage} from './permit-messages.js';
import {PermitSession} from './permit-session.js';

type OutgoingSession = PermitSession<FollowerMessage, OwnerMessage>;
type IncomingSession = PermitSession<OwnerMessage, FollowerMessage>;

/** Dependencies and callbacks of {@link PermitLinks}. */
export interface PermitLinksParts {
  readonly clock: Clock;
  readonly transport: PermitTransport;
  /** Called before each received frame and each accepted link is handled. */
  readonly beforeReceive: () => void;
  readonly onOwnerMessage: (host: string, message: OwnerMessage) => void;
  readonly onFollowerMessage: (host: string, message: FollowerMessage) => void;
  readonly onOwnerLinkEnded: (host: string, reason: string) => void;
  readonly onFollowerLinkEnded: (host: string, reason: string) => void;
}

/** Permit links of this host: one to each owner that it follows and one from each follower. */
export class PermitLinks {
  private readonly outgoing = new Map<string, OutgoingSession>();
  private readonly incoming = new Map<string, IncomingSession>();

  /**
   * @param parts - Dependencies and callbacks.
   */
  constructor(private readonly parts: PermitLinksParts) {
    parts.transport.listen((host, link) => this.accept(host, link));
  }

  /** Sends to an owner, and opens a link if there is none. */
  sendToOwner(host: string, message: FollowerMessage): void {
    const session = this.outgoing.get(host) ?? this.connect(host);
    session.send(message, this.parts.clock.nowMs());
  }

  /** Sends to a follower; without a link the message is dropped. */
  sendToFollower(host: string, message: OwnerMessage): void {
    this.incoming.get(host)?.send(message, this.parts.clock.nowMs());
  }

  /** Sends heartbeats on idle links and ends links whose peer is silent. */
  tick(): void {
    const nowMs = this.parts.clock.nowMs();
    for (const session of this.outgoing.values()) session.tick(nowMs);
    for (const session of this.incoming.values()) session.tick(nowMs);
  }

  /** Closes all links without calling the callbacks. */
  close(): void {
    for (const session of this.outgoing.values()) session.close();
    for (const session of this.incoming.values()) session.close();
    this.outgoing.clear();
    this.incoming.clear();
  }

  private connect(host: string): OutgoingSession {
    const {clock, transport, beforeReceive, onOwnerMessage, onOwnerLinkEnded} =
      this.parts;
    const session: OutgoingSession = new PermitSession<
      FollowerMessage,
      OwnerMessage
    >(
      () => link,
      message => onOwnerMessage(host, message),
      reason => {
        if (this.outgoing.get(host) === session) this.outgoing.delete(host);
        onOwnerLinkEnded(host, reason);
      },
      clock.nowMs(),
    );
    const link = transport.connect(host, {
      frame: frame => {
        beforeReceive();
        session.receive(frame, clock.nowMs());
      },
      closed: reason => session.end(reason),
    });
    this.outgoing.set(host, session);
    return session;
  }

  private accept(host: string, link: PermitLink): PermitLinkHandlers {
    const {clock, beforeReceive, onFollowerMessage, onFollowerLinkEnded} =
      this.parts;
    beforeReceive();
    // A host opens one link to this one; a new link means that the old one is broken.
    this.incoming.get(host)?.end('replaced by a new link');
    const session: IncomingSession = new PermitSession<
      OwnerMessage,
      FollowerMessage
    >(
      () => link,
      message => onFollowerMessage(host, message),
      reason => {
        if (this.incoming.get(host) === session) this.incoming.delete(host);
        onFollowerLinkEnded(host, reason);
      },
      clock.nowMs(),
    );
    this.incoming.set(host, session);
    return {
      frame: frame => {
        beforeReceive();
        session.receive(frame, clock.nowMs());
      },
      closed: reason => session.end(reason),
    };
  }
}
