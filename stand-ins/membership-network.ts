import type {Effect} from '../src/process/membership/effects.js';
import {MembershipCore} from '../src/process/membership/membership-core.js';
import type {
  LinkMessage,
  PeerIdentity,
} from '../src/process/membership/messages.js';
import {timing} from '../src/process/membership/timing.js';
import type {ManualClock} from './manual-clock.js';

/** One host of a {@link MembershipNetwork}. */
export interface NetworkHost {
  readonly identity: PeerIdentity;
  core: MembershipCore;
  state: 'running' | 'paused' | 'crashed';
  /** Effects other than messages, with their times. */
  readonly effects: {readonly atMs: number; readonly effect: Effect}[];
  /** Messages that arrived during a pause. */
  inbox: (() => void)[];
  phase: number;
}

/** Conditions of a {@link MembershipNetwork}. */
export interface NetworkOptions {
  readonly random: () => number;
  /** One-way delay in milliseconds; 1 or more. */
  readonly delayMs?: (from: PeerIdentity, to: PeerIdentity) => number;
  /** Share of messages that are lost, 0 to 1. */
  readonly loss?: number;
  /** Sees each message that is sent. */
  readonly onSend?: (
    from: NetworkHost,
    message: LinkMessage,
    address: string,
  ) => void;
  readonly keepEffects?: boolean;
}

/** Hosts that exchange messages in memory and in virtual time, in steps of 1 ms. */
export class MembershipNetwork {
  readonly hosts = new Map<string, NetworkHost>();
  /** Tells whether nothing passes between two hosts. */
  isCut: (from: PeerIdentity, to: PeerIdentity) => boolean = () => false;
  private readonly byAddress = new Map<string, NetworkHost>();
  private readonly due = new Map<number, (() => void)[]>();

  constructor(
    private readonly clock: ManualClock,
    private readonly options: NetworkOptions,
  ) {}

  /** Starts a host, or starts it again with a higher incarnation. */
  start(identity: PeerIdentity, seeds: readonly string[]): NetworkHost {
    const {random} = this.options;
    const incarnation = 1000 + Math.floor(this.clock.nowMs() / 1000);
    const host: NetworkHost = {
      identity,
      core: new MembershipCore({self: identity, incarnation, seeds, random}),
      state: 'running',
      effects: [],
      inbox: [],
      phase: Math.floor(random() * timing.tickMs),
    };
    this.hosts.set(identity.id, host);
    this.byAddress.set(identity.address, host);
    return host;
  }

  /** Stops a host without a word; messages to it are lost. */
  crash(id: string): void {
    this.host(id).state = 'crashed';
  }

  /** Holds all actions of a host. */
  pause(id: string): void {
    this.host(id).state = 'paused';
  }

  /** Continues a paused host with the messages that arrived meanwhile. */
  resume(id: string): void {
    const host = this.host(id);
    host.state = 'running';
    for (const deliver of host.inbox.splice(0)) deliver();
  }

  /** Looks up a host. */
  host(id: string): NetworkHost {
    const host = this.hosts.get(id);
    if (!host) throw new RangeError(`host "${id}" was not started`);
    return host;
  }

  /** Carries out what a host's core asks for. */
  perform(host: NetworkHost, effects: readonly Effect[]): void {
    for (const effect of effects) {
      if (effect.kind === 'send') this.send(host, effect);
      else if (this.options.keepEffects !== false) {
        host.effects.push({atMs: this.clock.nowMs(), effect});
      }
    }
  }

  /** Lets time pass. */
  run(ms: number): void {
    for (let i = 0; i < ms; i++) {
      this.clock.advance(1);
      const nowMs = this.clock.nowMs();
      for (const deliver of this.due.get(nowMs) ?? []) deliver();
      this.due.delete(nowMs);
      for (const host of this.hosts.values()) {
        if (host.state !== 'running') continue;
        if (nowMs % timing.tickMs === host.phase) {
          this.perform(host, host.core.tick(nowMs));
        }
      }
    }
  }

  private send(
    from: NetworkHost,
    {to, message}: Extract<Effect, {kind: 'send'}>,
  ): void {
    const {random, loss = 0, delayMs = () => 1, onSend} = this.options;
    onSend?.(from, message, to.address);
    const host = this.byAddress.get(to.address);
    if (!host || this.isCut(from.identity, host.identity)) return;
    if (random() < loss) return;
    const delay = Math.round(delayMs(from.identity, host.identity));
    const atMs = this.clock.nowMs() + Math.max(1, delay);
    const bucket = this.due.get(atMs) ?? [];
    bucket.push(() => this.deliver(from.identity, host, message));
    this.due.set(atMs, bucket);
  }

  private deliver(
    from: PeerIdentity,
    host: NetworkHost,
    message: LinkMessage,
  ): void {
    if (host.state === 'crashed') return;
    if (host.state === 'paused') {
      host.inbox.push(() => this.deliver(from, host, message));
      return;
    }
    const effects = host.core.receive(from, message, this.clock.nowMs());
    this.perform(host, effects);
  }
}
