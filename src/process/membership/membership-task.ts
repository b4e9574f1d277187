import type {Cancel, Clock} from '../clock.js';
import {every} from '../clock.js';
import type {Logger} from '../logger.js';
import {MemberView, type Member, type ZoneView} from '../member-view.js';
import type {Metrics} from '../metrics.js';
import {Subject, subscribe} from '../subject.js';
import {Task} from '../task.js';
import type {ListedHost} from '../../connection/platform/host-list-client.js';
import type {Effect, PauseReason, Receiver} from './effects.js';
import {MembershipCore, type MembershipOptions} from './membership-core.js';
import type {PeerIdentity, StreamOffset} from './messages.js';
import type {PeerTransport, ReceivedMessage} from './peer-transport.js';
import {timing} from './timing.js';

/** Messages to the membership task. */
export type MembershipMessage =
  | {readonly kind: 'tick'}
  | ({readonly kind: 'received'} & ReceivedMessage)
  | {readonly kind: 'listed'; readonly hosts: readonly ListedHost[]}
  | {
      readonly kind: 'publish';
      readonly configOffset?: number;
      readonly summary?: Uint8Array;
    }
  | {readonly kind: 'announce'; readonly offsets: readonly StreamOffset[]}
  | {readonly kind: 'leave'};

/** This host was paused or declared dead, and must release everything it holds. */
export interface SelfPaused {
  readonly reason: PauseReason;
  /** Length of the pause in milliseconds; 0 if unknown. */
  readonly pausedMs: number;
}

/** Stream offsets that another host announced. */
export interface AnnouncedOffsets {
  readonly from: PeerIdentity;
  readonly offsets: readonly StreamOffset[];
}

/** Dependencies of a {@link MembershipTask}. */
export interface MembershipParts {
  readonly clock: Clock;
  readonly transport: PeerTransport;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Drives a {@link MembershipCore} with the clock and the peer links of this host. */
export class MembershipTask extends Task<MembershipMessage> {
  private readonly core: MembershipCore;
  private readonly changed = new Subject<Member>();
  private readonly paused = new Subject<SelfPaused>();
  private readonly announced = new Subject<AnnouncedOffsets>();
  private readonly pauses;
  private cancels: Cancel[] = [];

  /** Read-only view for other components. */
  readonly view: MemberView;
  /** Signals that this host must release what it holds; published before any other effect. */
  readonly selfPaused = this.paused.stream;
  /** Stream offsets announced by other hosts. */
  readonly offsets = this.announced.stream;

  /**
   * @param options - Identity of this host and addresses to join through.
   * @param parts - Clock, links, log and metrics.
   */
  constructor(
    options: MembershipOptions,
    private readonly parts: MembershipParts,
  ) {
    super();
    this.core = new MembershipCore(options);
    this.view = new CoreMemberView(this.core, this.changed);
    this.pauses = parts.metrics.counter(
      'guavaseam_self_pauses_total',
      'Times this host had to release everything it held, by reason',
      ['reason'],
    );
    parts.metrics.gauge('guavaseam_members', 'Live members', () => {
      return this.view.live().length;
    });
  }

  /**
   * Aggregates the known members of a zone.
   *
   * @param zone - Name of the zone.
   * @returns State, number of live members and their minimum configuration offset.
   */
  zoneView(zone: string): ZoneView {
    return this.core.zoneView(zone);
  }

  /** Members to which this host keeps links. */
  get neighbours(): Receiver[] {
    return this.core.neighbours;
  }

  /**
   * Starts to probe members and to respond to probes.
   *
   * @param address - Address to announce to other hosts, `IP:PORT`.
   */
  start(address: string): void {
    this.core.setAddress(address);
    const {clock, transport} = this.parts;
    this.cancels = [
      subscribe(transport.messages, ({from, message}) =>
        this.post({kind: 'received', from, message}),
      ),
      every(clock, timing.tickMs, () => this.post({kind: 'tick'})),
    ];
    this.post({kind: 'tick'});
  }

  /** Announces to the other hosts that this one leaves, and stops. */
  stop(): void {
    this.post({kind: 'leave'});
    for (const cancel of this.cancels) cancel();
  }

  protected override *run(): Generator<undefined, void, MembershipMessage> {
    for (;;) {
      const message = yield;
      for (const effect of this.handle(message)) this.applyEffect(effect);
      if (message.kind === 'leave') return;
    }
  }

  private handle(message: MembershipMessage): Effect[] {
    const nowMs = this.parts.clock.nowMs();
    switch (message.kind) {
      case 'tick':
        return this.core.tick(nowMs);
      case 'received':
        return this.core.receive(message.from, message.message, nowMs);
      case 'announce':
        return this.core.announce(message.offsets, nowMs);
      case 'leave':
        return this.core.leave(nowMs);
      case 'listed':
        this.core.setListed(message.hosts);
        return [];
      case 'publish':
        this.core.publish(message);
        return [];
    }
  }

  private applyEffect(effect: Effect): void {
    const {logger, transport} = this.parts;
    switch (effect.kind) {
      case 'send':
        return transport.send(effect.to, effect.message);
      case 'links':
        return transport.keepLinks(effect.ids);
      case 'offsets':
        return this.announced.next(effect);
      case 'changed': {
        const {id, state, incarnation} = effect.member;
        logger.event('memberChanged', {member: id, state, incarnation});
        return this.changed.next(effect.member);
      }
      case 'selfPaused': {
        const {reason, pausedMs} = effect;
        this.pauses.inc({reason});
        logger.event('selfPaused', {reason, pausedMs});
        return this.paused.next({reason, pausedMs});
      }
    }
  }
}

class CoreMemberView extends MemberView {
  readonly changes;

  constructor(
    private readonly core: MembershipCore,
    changed: Subject<Member>,
  ) {
    super();
    this.changes = changed.stream;
  }

  override get self(): Member {
    return this.core.self;
  }

  override live(zone?: string): readonly Member[] {
    return [this.core.self, ...this.core.members()]
      .filter(m => zone === undefined || m.zone === zone)
      .filter(m => m.state === 'alive' || m.state === 'suspect')
      .sort((a, b) => (a.id < b.id ? -1 : 1));
  }
}
