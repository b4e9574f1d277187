import {
  status,
  type ClientDuplexStream,
  type ServerDuplexStream,
} from '@grpc/grpc-js';
import {every, type Cancel, type Clock} from '../../process/clock.js';
import type {Logger} from '../../process/logger.js';
import type {Receiver} from '../../process/membership/effects.js';
import type {Hello, LinkMessage} from '../../process/membership/messages.js';
import {
  PeerTransport,
  type ReceivedMessage,
} from '../../process/membership/peer-transport.js';
import type {Metrics} from '../../process/metrics.js';
import {Subject} from '../../process/subject.js';
import type {PeerChannels} from './peer-channels.js';
import {linkPath, peerService, type Incoming} from './peer-codec.js';
import {certifiesHost, type PeerCredentials} from './peer-credentials.js';
import {PeerLink, type LinkRefusal, type LinkStream} from './peer-link.js';
import type {PeerServer} from './peer-server.js';

const housekeepingMs = 1000;
/** A link that has been silent for this long after a message was sent is reopened. */
const muteMs = 5000;
/** Links that are not to be kept are closed after this time without a message. */
const idleMs = 30_000;
/** Longest wait for the end of the links when the host stops, in milliseconds. */
const closeMs = 500;
/** Greatest number of links; a member has about 20 in a fleet of any size. */
const maxLinks = 256;

/** What {@link PeerLinks} uses. */
export interface PeerLinksParts {
  readonly clock: Clock;
  readonly channels: PeerChannels;
  readonly mode: PeerCredentials['mode'];
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Hello of this host as of now. */
  readonly own: () => Hello;
}

/** Links to other hosts, opened by either end. */
export class PeerLinks extends PeerTransport {
  private readonly subject = new Subject<ReceivedMessage>();
  /** Links opened by this host, by address. */
  private readonly outgoing = new Map<string, PeerLink>();
  private readonly incoming = new Set<PeerLink>();
  /** Links of known hosts. */
  private readonly byId = new Map<string, Set<PeerLink>>();
  private kept: ReadonlySet<string> = new Set();
  /** Outgoing streams whose status did not come yet. */
  private readonly calls = new Set<ClientDuplexStream<LinkMessage, Incoming>>();
  private readonly refusals;
  private readonly openings;
  private readonly dropped;
  private cancel: Cancel = () => {};
  private stopped = false;

  override readonly messages = this.subject.stream;

  /**
   * @param parts - Channels, clock, log and metrics.
   */
  constructor(private readonly parts: PeerLinksParts) {
    super();
    this.refusals = parts.metrics.counter(
      'guavaseam_link_refusals_total',
      'Links refused or closed because of the other end, by reason',
      ['reason'],
    );
    this.openings = parts.metrics.counter(
      'guavaseam_links_opened_total',
      'Links whose other end said a valid hello',
      [],
    );
    this.dropped = parts.metrics.counter(
      'guavaseam_link_messages_dropped_total',
      'Messages dropped because too much waited on a link',
      [],
    );
    parts.metrics.gauge('guavaseam_links', 'Open links', () => this.byId.size);
  }

  /**
   * Adds the service `Peer` to a server, so that other hosts can open links.
   *
   * @param server - Server that does not listen yet.
   */
  serve(server: PeerServer): void {
    server.addService(peerService, {
      Link: (call: ServerDuplexStream<Incoming, LinkMessage>) =>
        this.accept(call),
    });
  }

  /** Starts to look after the links. */
  start(): void {
    this.cancel = every(this.parts.clock, housekeepingMs, () => this.tidy());
  }

  override send(to: Receiver, message: LinkMessage): void {
    if (this.stopped) return;
    const link = this.pick(to.id) ?? this.open(to.address);
    if (link && !link.send(message)) this.dropped.inc();
  }

  override keepLinks(ids: readonly string[]): void {
    this.kept = new Set(ids);
  }

  /** Closes all links, after what waits was sent or `closeMs` passed. */
  async close(): Promise<void> {
    this.stopped = true;
    this.cancel();
    const ended = [...this.calls].map(
      call => new Promise(resolve => call.once('status', resolve)),
    );
    for (const link of [...this.outgoing.values(), ...this.incoming]) {
      link.close();
    }
    let cancel: Cancel = () => {};
    const timeout = new Promise<void>(resolve => {
      cancel = this.parts.clock.after(closeMs, resolve);
    });
    await Promise.race([Promise.all(ended), timeout]);
    cancel();
  }

  /** Prefers the link that was heard last, because the other may be dead without an error. */
  private pick(id: string): PeerLink | undefined {
    let best: PeerLink | undefined;
    for (const link of this.byId.get(id) ?? []) {
      if (!best || link.receivedAtMs > best.receivedAtMs) best = link;
    }
    const sinceMs = best?.unansweredSinceMs;
    const mute =
      sinceMs !== undefined && this.parts.clock.nowMs() - sinceMs > muteMs;
    return mute ? undefined : best;
  }

  private open(address: string): PeerLink | undefined {
    const known = this.outgoing.get(address);
    if (known || this.outgoing.size >= maxLinks) return known;
    const {Link} = peerService;
    const call: ClientDuplexStream<LinkMessage, Incoming> = this.parts.channels
      .get(address)
      .makeBidiStreamRequest(
        linkPath,
        Link.requestSerialize,
        Link.responseDeserialize,
      );
    const link = this.embed(call, refusal => {
      if (refusal) call.cancel();
      else call.end();
    });
    this.outgoing.set(address, link);
    this.calls.add(call);
    call.once('status', () => this.calls.delete(call));
    return link;
  }

  private accept(call: ServerDuplexStream<Incoming, LinkMessage>): void {
    if (this.stopped || this.incoming.size >= maxLinks) {
      call.emit('error', {code: status.RESOURCE_EXHAUSTED, details: 'links'});
      return;
    }
    const link = this.embed(call, refusal => {
      const details = `link refused: ${refusal}`;
      if (refusal)
        call.emit('error', {code: status.PERMISSION_DENIED, details});
      else call.end();
    });
    this.incoming.add(link);
  }

  private embed(
    call: LinkStream & Parameters<typeof certifiesHost>[1],
    end: (refusal?: LinkRefusal) => void,
  ): PeerLink {
    const {clock, mode, own} = this.parts;
    return new PeerLink(call, {
      clock,
      own,
      certifies: host => certifiesHost(mode, call, host),
      end,
      onOpen: link => this.opened(link),
      onMessage: ({peer}, message) => {
        if (peer) this.subject.next({from: peer, message});
      },
      onClose: (link, refusal) => this.closed(link, refusal),
    });
  }

  private opened(link: PeerLink): void {
    const id = link.peer?.id ?? '';
    const links = this.byId.get(id) ?? new Set();
    this.byId.set(id, links.add(link));
    this.openings.inc();
    this.parts.logger.event('linkOpened', {peer: id});
  }

  private closed(link: PeerLink, refusal?: LinkRefusal): void {
    const {logger} = this.parts;
    this.incoming.delete(link);
    for (const [address, other] of this.outgoing) {
      if (other === link) this.outgoing.delete(address);
    }
    const id = link.peer?.id;
    if (id !== undefined) {
      const links = this.byId.get(id);
      links?.delete(link);
      if (links?.size === 0) this.byId.delete(id);
    }
    if (refusal) {
      this.refusals.inc({reason: refusal});
      logger.event('linkRejected', {peer: id, reason: refusal});
    } else if (id !== undefined) {
      logger.event('linkClosed', {peer: id});
    }
  }

  private tidy(): void {
    const nowMs = this.parts.clock.nowMs();
    for (const [address, link] of this.outgoing) {
      const sinceMs = link.unansweredSinceMs;
      const best = link.peer && this.pick(link.peer.id);
      if (sinceMs !== undefined && nowMs - sinceMs > muteMs && !best) {
        link.close('mute');
        this.parts.channels.reset(address);
      } else if (
        !this.kept.has(link.peer?.id ?? '') &&
        nowMs - Math.max(link.receivedAtMs, link.sentAtMs) > idleMs
      ) {
        link.close();
      }
    }
    for (const link of this.incoming) {
      // The other end closes an idle link first, unless it vanished.
      if (nowMs - link.receivedAtMs > 2 * idleMs) link.close();
    }
  }
}
