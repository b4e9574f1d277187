import type {Member, ZoneView} from '../member-view.js';
import type {ListedHost} from '../../connection/platform/host-list-client.js';
import type {Effect, PauseReason, Receiver} from './effects.js';
import {chooseLinks} from './link-choice.js';
import {isAlive, MemberTable, toMember, toZoneView} from './member-table.js';
import type {
  LinkMessage,
  MemberUpdate,
  PeerIdentity,
  Probe,
  StreamOffset,
} from './messages.js';
import {LocalMember} from './local-member.js';
import {ProbeWriter} from './probe-writer.js';
import {Prober} from './prober.js';
import {RejoinPlanner} from './rejoin-planner.js';
import {IndirectProbes} from './indirect-probes.js';
import {bounds, timing} from './timing.js';
import {UpdateQueue} from './update-queue.js';

/** What a {@link MembershipCore} starts with. */
export interface MembershipOptions {
  readonly self: PeerIdentity;
  /** Higher than in any earlier run of the same host; the wall clock in seconds serves. */
  readonly incarnation: number;
  /** Addresses to contact first, `IP:PORT`. */
  readonly seeds: readonly string[];
  /** Returns numbers from 0 to 1. */
  readonly random: () => number;
}

/**
 * Membership logic in the manner of SWIM, without sockets or timers. Each call returns effects,
 * which the caller carries out in order. `tick` has to be called every `timing.tickMs`.
 *
 * Only hosts of the same zone confirm a crash. Links to other zones show whether a zone can be
 * heard, so that a partition between zones declares nobody dead in its own zone.
 */
export class MembershipCore {
  private readonly table: MemberTable;
  private readonly queue = new UpdateQueue();
  private readonly prober = new Prober();
  private readonly writer: ProbeWriter;
  private readonly indirect = new IndirectProbes();
  private readonly suspectedAt = new Map<string, number>();
  /** When all members were last sent to a host. */
  private readonly syncedAt = new Map<string, number>();
  /** Zones of which a member is to be asked for all members. */
  private readonly zonesToSync = new Set<string>();
  private readonly random: () => number;
  private readonly own: LocalMember;
  private readonly rejoin: RejoinPlanner;
  private effects: Effect[] = [];
  private leaving = false;
  private linksChanged = true;
  private urgent = false;
  private lastStepMs: number | undefined;

  /**
   * @param options - Identity of this host and how it finds others.
   */
  constructor(options: MembershipOptions) {
    const {self, incarnation, seeds, random} = options;
    this.own = new LocalMember(self, incarnation);
    this.random = random;
    this.zonesToSync.add(self.zone);
    this.table = new MemberTable(self.zone);
    this.rejoin = new RejoinPlanner(seeds, this.table, random);
    this.writer = new ProbeWriter(self.zone, this.table, this.queue);
  }

  /** This host. */
  get self(): Member {
    return toMember(this.own.update, this.own.update.state);
  }

  /** Members to which this host keeps links. */
  get neighbours(): Receiver[] {
    return this.prober.ids
      .map(id => this.table.get(id)?.update)
      .filter(update => update !== undefined)
      .map(({id, address}) => ({id, address}));
  }

  /**
   * Sets the address that other hosts are told, once the server listens.
   *
   * @param address - Address of the peer server, `IP:PORT`.
   */
  setAddress(address: string): void {
    this.own.set({address});
  }

  /** @returns All known members but this host, tombstones included. */
  members(): Member[] {
    return [...this.table.all()].map(entry => this.table.toMember(entry));
  }

  /**
   * Computes what is known of a zone.
   *
   * @param zone - Name of the zone.
   * @returns State, live members and least configuration offset.
   */
  zoneView(zone: string): ZoneView {
    return toZoneView(zone, [this.self, ...this.members()]);
  }

  /**
   * Sets what this host publishes about itself.
   *
   * @param details - Configuration offset and a summary of at most 32 bytes; a longer one is cut.
   */
  publish(details: {configOffset?: number; summary?: Uint8Array}): void {
    this.own.publish(details);
  }

  /**
   * Sets the stream offsets that probes announce, and announces them to all links.
   *
   * @param offsets - Next offset wanted for each followed stream.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Effects.
   */
  announce(offsets: readonly StreamOffset[], nowMs: number): Effect[] {
    this.own.offsets = offsets;
    this.urgent = true;
    return this.finish(nowMs);
  }

  /**
   * Takes note of the platform's host list. A host that is missing from it is not taken for dead,
   * because the list lags.
   *
   * @param hosts - Listed hosts.
   */
  setListed(hosts: readonly ListedHost[]): void {
    this.rejoin.listed = hosts;
  }

  /**
   * Does what is due.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Effects.
   */
  tick(nowMs: number): Effect[] {
    this.noticePause(nowMs);
    if (this.leaving) return this.finish(nowMs);
    for (const zone of this.table.tick(nowMs)) this.zoneChanged(zone);
    this.confirmSuspects(nowMs);
    this.indirect.expire(nowMs);
    if (this.linksChanged) this.chooseLinks(nowMs);
    for (const {id, sequence, kind} of this.prober.due(nowMs)) {
      if (kind === 'ping') this.ping(id, sequence, nowMs);
      else if (kind === 'indirect') this.pingIndirectly(id, sequence);
      else this.suspect(id, nowMs);
    }
    if (this.rejoin.isDue(nowMs)) this.retry(nowMs);
    return this.finish(nowMs);
  }

  /**
   * Handles a message of another host.
   *
   * @param from - Sender, checked by the link.
   * @param message - Message; kinds that do not belong to the membership are ignored.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Effects.
   */
  receive(from: PeerIdentity, message: LinkMessage, nowMs: number): Effect[] {
    this.noticePause(nowMs);
    if (this.leaving || from.id === this.own.update.id)
      return this.finish(nowMs);
    const probe = message.ping ?? message.ack;
    if (probe) this.takeProbe(from, probe, nowMs);
    if (probe && message.ping) {
      if (probe.sync) this.sendAll(from, nowMs);
      if (message.ping.sequence > 0) {
        const ack = this.own.probe(message.ping.sequence);
        this.send(from, {ack: this.writer.answer(ack, from, probe, nowMs)});
      }
    } else if (message.ack) {
      const {reached, sequence} = message.ack;
      this.prober.acked(reached || from.id, sequence);
      const asker = reached ? undefined : this.indirect.take(sequence);
      if (asker) {
        const ack = {...this.own.probe(asker.sequence), reached: from.id};
        this.send(asker.to, {ack});
      }
    } else if (message.pingReq) {
      const {target, address, sequence} = message.pingReq;
      const own = this.prober.nextSequence();
      if (this.indirect.add(own, {to: from, sequence}, nowMs)) {
        this.send({id: target, address}, {ping: this.own.probe(own)});
      }
    }
    return this.finish(nowMs);
  }

  /**
   * Tells all links that this host leaves; nothing is answered afterwards.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Effects.
   */
  leave(nowMs: number): Effect[] {
    this.own.set({state: 'left'});
    this.queue.add(this.own.update, this.table.size);
    this.urgent = true;
    const effects = this.finish(nowMs);
    this.leaving = true;
    return effects;
  }

  private noticePause(nowMs: number): void {
    const gapMs = nowMs - (this.lastStepMs ?? nowMs);
    this.lastStepMs = nowMs;
    if (gapMs <= timing.slowStepMs) return;
    this.prober.shift(gapMs);
    this.table.shift(gapMs);
    for (const [id, atMs] of this.suspectedAt) {
      this.suspectedAt.set(id, atMs + gapMs);
    }
    if (gapMs > timing.pauseMs) {
      this.raise(this.own.update.incarnation + 1);
      this.selfPaused('paused', gapMs);
    }
  }

  private selfPaused(reason: PauseReason, pausedMs: number): void {
    // First, so that other parts give up what they hold before they act on anything else.
    this.effects.unshift({kind: 'selfPaused', reason, pausedMs});
  }

  private raise(incarnation: number): void {
    this.own.set({incarnation});
    this.queue.add(this.own.update, this.table.size);
    this.urgent = true;
  }

  private takeProbe(from: PeerIdentity, probe: Probe, nowMs: number): void {
    this.table.heard(from.zone, nowMs);
    for (const {zone, age} of probe.zones) {
      this.table.heard(zone, nowMs - age * 100);
    }
    const {incarnation, version, configOffset} = probe;
    const {id, zone, region, address} = from;
    const summary = probe.summary.subarray(0, bounds.summaryBytes);
    const details = {incarnation, version, configOffset, summary};
    this.apply({id, zone, region, address, state: 'alive', ...details}, nowMs);
    for (const update of probe.updates) this.apply(update, nowMs);
    if (probe.offsets.length > 0) {
      this.effects.push({kind: 'offsets', from, offsets: probe.offsets});
    }
  }

  private apply(update: MemberUpdate, nowMs: number): void {
    if (update.id === this.own.update.id) return this.applySelf(update);
    const result = this.table.merge(update, nowMs);
    if (result === 'old') return;
    const entry = this.table.get(update.id);
    if (!entry) return;
    if (result === 'state') {
      const {state, zone} = entry.update;
      this.linksChanged = true;
      this.urgent = true;
      this.queue.add(entry.update, this.table.size);
      if (state === 'suspect' && zone === this.own.update.zone) {
        this.suspectedAt.set(update.id, nowMs);
      } else {
        this.suspectedAt.delete(update.id);
      }
    }
    if (result === 'details' && update.zone === this.own.update.zone) {
      this.queue.addDetails(entry.update);
    }
    this.effects.push({kind: 'changed', member: this.table.toMember(entry)});
  }

  private applySelf({state, incarnation}: MemberUpdate): void {
    const {incarnation: own} = this.own.update;
    if (state === 'alive') {
      if (incarnation > own) this.raise(incarnation + 1);
    } else if (incarnation >= own) {
      this.raise(incarnation + 1);
      // An older incarnation belongs to an earlier run, which held nothing that this run holds.
      if (state === 'dead' && incarnation === own) {
        this.selfPaused('declared-dead', 0);
      }
    }
  }

  private suspect(id: string, nowMs: number): void {
    const update = this.table.get(id)?.update;
    if (update?.state !== 'alive') return;
    this.apply({...update, state: 'suspect'}, nowMs);
  }

  private confirmSuspects(nowMs: number): void {
    for (const [id, atMs] of this.suspectedAt) {
      if (nowMs - atMs < timing.suspicionMs) continue;
      this.suspectedAt.delete(id);
      const update = this.table.get(id)?.update;
      if (update) this.apply({...update, state: 'dead'}, nowMs);
    }
  }

  private zoneChanged(zone: string): void {
    for (const entry of this.table.all()) {
      if (entry.update.zone !== zone || !isAlive(entry)) continue;
      this.effects.push({kind: 'changed', member: this.table.toMember(entry)});
    }
    // Changes on the other side were missed while the zone was silent.
    if (!this.table.isSilent(zone)) this.zonesToSync.add(zone);
    this.linksChanged = true;
  }

  private chooseLinks(nowMs: number): void {
    this.linksChanged = false;
    const candidates = [...this.table.all()].filter(isAlive).map(e => e.update);
    const links = chooseLinks(this.own.update, candidates, id =>
      this.prober.isAvoided(id, nowMs),
    );
    this.prober.setLinks(links, nowMs, this.random);
    this.writer.forget(id => this.table.get(id) !== undefined);
    this.effects.push({kind: 'links', ids: [...links.keys()]});
  }

  private ping(id: string, sequence: number, nowMs: number): void {
    const to = this.table.get(id)?.update;
    if (!to) return;
    const sync = this.zonesToSync.delete(to.zone);
    const {table, own, random} = this;
    const lagging = table.chooseLagging(own.update, to.zone, random);
    const head = {...this.own.probe(sequence), sync, lagging};
    this.send(to, {ping: this.writer.fill(head, id, nowMs, false)});
  }

  private pingIndirectly(target: string, sequence: number): void {
    const address = this.table.get(target)?.update.address;
    if (!address) return;
    const others = this.prober.ids
      .filter(id => id !== target)
      .map(id => this.table.get(id)?.update)
      .filter(
        other =>
          other?.zone === this.own.update.zone && other.state === 'alive',
      )
      .map(other => ({other: other as MemberUpdate, key: this.random()}))
      .sort((a, b) => a.key - b.key)
      .slice(0, bounds.intermediates);
    for (const {other} of others) {
      this.send(other, {pingReq: {sequence, target, address}});
    }
  }

  private retry(nowMs: number): void {
    this.table.purge(nowMs);
    this.linksChanged = true;
    for (const to of this.rejoin.choose(this.own.update.address)) {
      const head = {...this.own.probe(this.prober.nextSequence()), sync: true};
      this.send(to, {ping: this.writer.fill(head, to.id, nowMs, false)});
    }
  }

  private sendAll(to: PeerIdentity, nowMs: number): void {
    const lastMs = this.syncedAt.get(to.id) ?? -Infinity;
    if (nowMs - lastMs < timing.syncIntervalMs) return;
    for (const [id, atMs] of this.syncedAt) {
      if (nowMs - atMs >= timing.syncIntervalMs) this.syncedAt.delete(id);
    }
    this.syncedAt.set(to.id, nowMs);
    for (const ping of this.writer.pages(this.own.probe(0), this.own.update)) {
      this.send(to, {ping});
    }
  }

  private send(to: Receiver, message: LinkMessage): void {
    const {id, address} = to;
    this.effects.push({kind: 'send', to: {id, address}, message});
  }

  /** Passes urgent updates on to all links at once, so that a hop costs one link delay. */
  private finish(nowMs: number): Effect[] {
    if (this.urgent && !this.leaving) {
      this.urgent = false;
      for (const id of this.prober.ids) {
        const to = this.table.get(id)?.update;
        if (!to) continue;
        const ping = this.writer.fill(this.own.probe(0), id, nowMs, false);
        this.send(to, {ping});
      }
    }
    const {effects} = this;
    this.effects = [];
    return effects;
  }
}
