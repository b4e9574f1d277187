import type {Member, ZoneView} from '../member-view.js';
import type {ListedHost} from '../../connection/platform/host-list-client.js';
import type {Effect, PauseReason, Receiver} from './effects.js';
import {chooseLinks} from './link-choice.js';
import {isLive, MemberTable, toMember, toZoneView} from './member-table.js';
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

/** Options of a {@link MembershipCore}. */
export interface MembershipOptions {
  readonly self: PeerIdentity;
  /** Higher than in any earlier run of the same host, for example the wall clock in seconds. */
  readonly incarnation: number;
  /** Addresses to join through, `IP:PORT`. */
  readonly seeds: readonly string[];
  /** Returns numbers from 0 to 1. */
  readonly random: () => number;
}

/**
 * Membership protocol based on SWIM, without sockets or timers. Call `tick` every `timing.tickMs`
 * and apply the effects of each call in order. Only hosts of the same zone confirm a crash. Probes
 * of other zones only show if gossip arrives: a partition makes no host dead in its own zone.
 */
export class MembershipCore {
  private readonly table: MemberTable;
  private readonly queue = new UpdateQueue();
  private readonly prober = new Prober();
  private readonly writer: ProbeWriter;
  private readonly indirect = new IndirectProbes();
  /** Start of each suspicion in the local zone, by member; monotonic time in milliseconds. */
  private readonly suspectedAt = new Map<string, number>();
  /** When all members were last sent to each host; monotonic time in milliseconds. */
  private readonly syncedAt = new Map<string, number>();
  /** Zones to request all members from, with the next ping to one of their hosts. */
  private readonly zonesToSync = new Set<string>();
  private readonly random: () => number;
  private readonly local: LocalMember;
  private readonly rejoin: RejoinPlanner;
  private effects: Effect[] = [];
  private leaving = false;
  private linksChanged = true;
  private urgent = false;
  private lastStepMs: number | undefined;

  /** @param options - Identity of this host and addresses to join through. */
  constructor(options: MembershipOptions) {
    const {self, incarnation, seeds, random} = options;
    this.local = new LocalMember(self, incarnation);
    this.random = random;
    this.zonesToSync.add(self.zone);
    this.table = new MemberTable(self.zone);
    this.rejoin = new RejoinPlanner(seeds, this.table, random);
    this.writer = new ProbeWriter(self.zone, this.table, this.queue);
  }

  /** This host. */
  get self(): Member {
    return toMember(this.local.update, this.local.update.state);
  }

  /** Members to which this host keeps links. */
  get neighbours(): Receiver[] {
    return this.prober.ids
      .map(id => this.table.get(id)?.update)
      .filter(update => update !== undefined)
      .map(({id, address}) => ({id, address}));
  }

  /**
   * Sets the address to announce to other hosts, once the server listens.
   *
   * @param address - Address of the peer server, `IP:PORT`.
   */
  setAddress(address: string): void {
    this.local.set({address});
  }

  /** @returns All known members except this host, tombstones included. */
  members(): Member[] {
    return [...this.table.all()].map(entry => this.table.toMember(entry));
  }

  /**
   * Aggregates the known members of a zone.
   *
   * @param zone - Name of the zone.
   * @returns State, number of live members and their minimum configuration offset.
   */
  zoneView(zone: string): ZoneView {
    return toZoneView(zone, [this.self, ...this.members()]);
  }

  /**
   * Sets the details that this host publishes about itself.
   *
   * @param details - Configuration offset, and a summary that is truncated to 32 bytes.
   */
  publish(details: {configOffset?: number; summary?: Uint8Array}): void {
    this.local.publish(details);
  }

  /**
   * Sets the stream offsets to announce in probes, and sends them on all links at once.
   *
   * @param offsets - Offset of the next record needed from each followed stream.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Effects to apply, in order.
   */
  announce(offsets: readonly StreamOffset[], nowMs: number): Effect[] {
    this.local.offsets = offsets;
    this.urgent = true;
    return this.flush(nowMs);
  }

  /**
   * Adopts the platform's host list as a source of addresses to contact. The list lags, so a host
   * that is missing from it is not considered dead.
   *
   * @param hosts - Listed hosts.
   */
  setListed(hosts: readonly ListedHost[]): void {
    this.rejoin.listed = hosts;
  }

  /**
   * Runs all timeouts, probes and retries that are due.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Effects to apply, in order.
   */
  tick(nowMs: number): Effect[] {
    this.detectPause(nowMs);
    if (this.leaving) return this.flush(nowMs);
    for (const zone of this.table.tick(nowMs)) this.zoneChanged(zone);
    this.confirmSuspects(nowMs);
    this.indirect.expire(nowMs);
    if (this.linksChanged) this.chooseLinks(nowMs);
    for (const {id, sequence, kind} of this.prober.due(nowMs)) {
      if (kind === 'ping') this.ping(id, sequence, nowMs);
      else if (kind === 'indirect') this.pingIndirectly(id, sequence);
      else this.suspect(id, nowMs);
    }
    if (this.rejoin.isDue(nowMs)) this.contactCandidates(nowMs);
    return this.flush(nowMs);
  }

  /**
   * Handles a message from another host.
   *
   * @param from - Sender, verified by the link.
   * @param message - Message; kinds that do not belong to the membership are ignored.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Effects to apply, in order.
   */
  receive(from: PeerIdentity, message: LinkMessage, nowMs: number): Effect[] {
    this.detectPause(nowMs);
    if (this.leaving || from.id === this.local.update.id)
      return this.flush(nowMs);
    const probe = message.ping ?? message.ack;
    if (probe) this.mergeProbe(from, probe, nowMs);
    if (probe && message.ping) {
      if (probe.sync) this.sendAllMembers(from, nowMs);
      if (message.ping.sequence > 0) {
        const ack = this.local.probe(message.ping.sequence);
        this.send(from, {ack: this.writer.answer(ack, from, probe, nowMs)});
      }
    } else if (message.ack) {
      const {reached, sequence} = message.ack;
      this.prober.acked(reached || from.id, sequence);
      const origin = reached ? undefined : this.indirect.take(sequence);
      if (origin) {
        const ack = {...this.local.probe(origin.sequence), reached: from.id};
        this.send(origin.to, {ack});
      }
    } else if (message.pingReq) {
      const {target, address, sequence} = message.pingReq;
      const next = this.prober.newSequence();
      if (this.indirect.add(next, {to: from, sequence}, nowMs)) {
        this.send({id: target, address}, {ping: this.local.probe(next)});
      }
    }
    return this.flush(nowMs);
  }

  /**
   * Announces on all links that this host leaves; it sends no further messages afterwards.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Effects to apply, in order.
   */
  leave(nowMs: number): Effect[] {
    this.local.set({state: 'left'});
    this.queue.add(this.local.update, this.table.size);
    this.urgent = true;
    const effects = this.flush(nowMs);
    this.leaving = true;
    return effects;
  }

  private detectPause(nowMs: number): void {
    const gapMs = nowMs - (this.lastStepMs ?? nowMs);
    this.lastStepMs = nowMs;
    if (gapMs <= timing.slowStepMs) return;
    this.prober.shift(gapMs);
    this.table.shift(gapMs);
    for (const [id, atMs] of this.suspectedAt) {
      this.suspectedAt.set(id, atMs + gapMs);
    }
    if (gapMs > timing.pauseThresholdMs) {
      this.raiseIncarnation(this.local.update.incarnation + 1);
      this.selfPaused('paused', gapMs);
    }
  }

  private selfPaused(reason: PauseReason, pausedMs: number): void {
    // First, so that other components release what they hold before they act on anything else.
    this.effects.unshift({kind: 'selfPaused', reason, pausedMs});
  }

  private raiseIncarnation(incarnation: number): void {
    this.local.set({incarnation});
    this.queue.add(this.local.update, this.table.size);
    this.urgent = true;
  }

  private mergeProbe(from: PeerIdentity, probe: Probe, nowMs: number): void {
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
    if (update.id === this.local.update.id) return this.applySelf(update);
    const result = this.table.merge(update, nowMs);
    if (result === 'old') return;
    const entry = this.table.get(update.id);
    if (!entry) return;
    if (result === 'state') {
      const {state, zone} = entry.update;
      this.linksChanged = true;
      this.urgent = true;
      this.queue.add(entry.update, this.table.size);
      if (state === 'suspect' && zone === this.local.update.zone) {
        this.suspectedAt.set(update.id, nowMs);
      } else {
        this.suspectedAt.delete(update.id);
      }
    }
    if (result === 'details' && update.zone === this.local.update.zone) {
      this.queue.addDetails(entry.update);
    }
    this.effects.push({kind: 'changed', member: this.table.toMember(entry)});
  }

  private applySelf({state, incarnation}: MemberUpdate): void {
    const {incarnation: current} = this.local.update;
    if (state === 'alive') {
      if (incarnation > current) this.raiseIncarnation(incarnation + 1);
    } else if (incarnation >= current) {
      this.raiseIncarnation(incarnation + 1);
      // Any other incarnation is of another run, which held nothing that this run holds.
      if (state === 'dead' && incarnation === current) {
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
      if (nowMs - atMs < timing.suspicionTimeoutMs) continue;
      this.suspectedAt.delete(id);
      const update = this.table.get(id)?.update;
      if (update) this.apply({...update, state: 'dead'}, nowMs);
    }
  }

  private zoneChanged(zone: string): void {
    for (const entry of this.table.all()) {
      if (entry.update.zone !== zone || !isLive(entry)) continue;
      this.effects.push({kind: 'changed', member: this.table.toMember(entry)});
    }
    // Changes within the zone were missed while it was silent.
    if (!this.table.isSilent(zone)) this.zonesToSync.add(zone);
    this.linksChanged = true;
  }

  private chooseLinks(nowMs: number): void {
    this.linksChanged = false;
    const candidates = [...this.table.all()].filter(isLive).map(e => e.update);
    const links = chooseLinks(this.local.update, candidates, id =>
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
    const {table, local, random} = this;
    const lagging = table.chooseLagging(local.update, to.zone, random);
    const head = {...this.local.probe(sequence), sync, lagging};
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
          other?.zone === this.local.update.zone && other.state === 'alive',
      )
      .map(other => ({other: other as MemberUpdate, key: this.random()}))
      .sort((a, b) => a.key - b.key)
      .slice(0, bounds.intermediates);
    for (const {other} of others) {
      this.send(other, {pingReq: {sequence, target, address}});
    }
  }

  private contactCandidates(nowMs: number): void {
    this.table.purge(nowMs);
    this.linksChanged = true;
    for (const to of this.rejoin.choose(this.local.update.address)) {
      const head = {...this.local.probe(this.prober.newSequence()), sync: true};
      this.send(to, {ping: this.writer.fill(head, to.id, nowMs, false)});
    }
  }

  private sendAllMembers(to: PeerIdentity, nowMs: number): void {
    const lastMs = this.syncedAt.get(to.id) ?? -Infinity;
    if (nowMs - lastMs < timing.syncIntervalMs) return;
    for (const [id, atMs] of this.syncedAt) {
      if (nowMs - atMs >= timing.syncIntervalMs) this.syncedAt.delete(id);
    }
    this.syncedAt.set(to.id, nowMs);
    for (const ping of this.writer.pages(
      this.local.probe(0),
      this.local.update,
    )) {
      this.send(to, {ping});
    }
  }

  private send(to: Receiver, message: LinkMessage): void {
    const {id, address} = to;
    this.effects.push({kind: 'send', to: {id, address}, message});
  }

  /** Returns the effects; urgent updates go to all links at once, so a hop costs one link delay. */
  private flush(nowMs: number): Effect[] {
    if (this.urgent && !this.leaving) {
      this.urgent = false;
      for (const id of this.prober.ids) {
        const to = this.table.get(id)?.update;
        if (!to) continue;
        const ping = this.writer.fill(this.local.probe(0), id, nowMs, false);
        this.send(to, {ping});
      }
    }
    const {effects} = this;
    this.effects = [];
    return effects;
  }
}
