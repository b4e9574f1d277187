import type {Member, ZoneView} from '../member-view.js';
import type {Effect, ListedHost, PauseReason, Receiver} from './effects.js';
import {chooseLinks} from './link-choice.js';
import {mayLive, MemberTable, toMember} from './member-table.js';
import type {
  LinkMessage,
  MemberUpdate,
  PeerIdentity,
  Probe,
  StreamOffset,
} from './messages.js';
import {ProbeWriter} from './probe-writer.js';
import {Prober} from './prober.js';
import {Relays} from './relays.js';
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
  private readonly relays = new Relays();
  private readonly suspectedAt = new Map<string, number>();
  /** When all members were last sent to a host. */
  private readonly syncedAt = new Map<string, number>();
  /** Zones of which a member is to be asked for all members. */
  private readonly zonesToSync = new Set<string>();
  private readonly random: () => number;
  private own: MemberUpdate;
  private offsets: readonly StreamOffset[] = [];
  private listed: readonly ListedHost[] = [];
  private effects: Effect[] = [];
  private leaving = false;
  private linksChanged = true;
  private urgent = false;
  private lastStepMs: number | undefined;
  private nextRetryMs = -Infinity;

  /**
   * @param options - Identity of this host and how it finds others.
   */
  constructor(private readonly options: MembershipOptions) {
    const {self, incarnation} = options;
    this.own = {
      ...self,
      incarnation,
      state: 'alive',
      version: 1,
      configOffset: 0,
      summary: new Uint8Array(0),
    };
    this.random = options.random;
    this.zonesToSync.add(self.zone);
    this.table = new MemberTable(self.zone);
    this.writer = new ProbeWriter(self.zone, this.table, this.queue);
  }

  /** This host. */
  get self(): Member {
    return toMember(this.own, this.own.state);
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
    const offsets = this.members()
      .filter(m => m.zone === zone)
      .filter(m => m.state === 'alive' || m.state === 'suspect')
      .map(m => m.configOffset);
    if (zone === this.own.zone) offsets.push(this.own.configOffset);
    if (offsets.length === 0) return {state: 'unknown', live: 0};
    const configOffset = Math.min(...offsets);
    return {state: 'heard', live: offsets.length, configOffset};
  }

  /**
   * Sets what this host publishes about itself.
   *
   * @param details - Configuration offset and a summary of at most 32 bytes; a longer one is cut.
   */
  publish(details: {configOffset?: number; summary?: Uint8Array}): void {
    const {configOffset = this.own.configOffset, summary = this.own.summary} =
      details;
    this.own = {
      ...this.own,
      configOffset,
      summary: summary.subarray(0, bounds.summaryBytes),
      version: this.own.version + 1,
    };
  }

  /**
   * Sets the stream offsets that probes announce, and announces them to all links.
   *
   * @param offsets - Next offset wanted for each followed stream.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Effects.
   */
  announce(offsets: readonly StreamOffset[], nowMs: number): Effect[] {
    this.offsets = offsets;
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
    this.listed = hosts;
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
    this.relays.expire(nowMs);
    if (this.linksChanged) this.chooseLinks(nowMs);
    for (const {id, sequence, kind} of this.prober.due(nowMs)) {
      if (kind === 'ping') this.ping(id, sequence, nowMs);
      else if (kind === 'indirect') this.pingIndirectly(id, sequence);
      else this.suspect(id, nowMs);
    }
    if (nowMs >= this.nextRetryMs) this.retry(nowMs);
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
    if (this.leaving || from.id === this.own.id) return this.finish(nowMs);
    const probe = message.ping ?? message.ack;
    if (probe) this.takeProbe(from, probe, nowMs);
    if (message.ping) {
      if (probe?.sync) this.sendAll(from, nowMs);
      if (message.ping.sequence > 0) {
        const ack = this.head(message.ping.sequence);
        this.send(from, {ack: this.writer.fill(ack, from.id, nowMs, true)});
      }
    } else if (message.ack) {
      const {reached, sequence} = message.ack;
      this.prober.acked(reached || from.id, sequence);
      const asker = reached ? undefined : this.relays.take(sequence);
      if (asker) {
        const ack = {...this.head(asker.sequence), reached: from.id};
        this.send(asker.to, {ack});
      }
    } else if (message.pingReq) {
      const {target, address, sequence} = message.pingReq;
      const own = this.prober.nextSequence();
      if (this.relays.add(own, {to: from, sequence}, nowMs)) {
        this.send({id: target, address}, {ping: this.head(own)});
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
    this.own = {...this.own, state: 'left'};
    this.queue.add(this.own, this.table.size);
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
      this.raise(this.own.incarnation + 1);
      this.selfPaused('paused', gapMs);
    }
  }

  private selfPaused(reason: PauseReason, pausedMs: number): void {
    // First, so that other parts give up what they hold before they act on anything else.
    this.effects.unshift({kind: 'selfPaused', reason, pausedMs});
  }

  private raise(incarnation: number): void {
    this.own = {...this.own, incarnation};
    this.queue.add(this.own, this.table.size);
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
    if (update.id === this.own.id) return this.applySelf(update);
    const result = this.table.merge(update, nowMs);
    if (result === 'old') return;
    const entry = this.table.get(update.id);
    if (!entry) return;
    if (result === 'state') {
      const {state, zone} = entry.update;
      this.linksChanged = true;
      this.urgent = true;
      this.queue.add(entry.update, this.table.size);
      if (state === 'suspect' && zone === this.own.zone) {
        this.suspectedAt.set(update.id, nowMs);
      } else {
        this.suspectedAt.delete(update.id);
      }
    }
    this.effects.push({kind: 'changed', member: this.table.toMember(entry)});
  }

  private applySelf({state, incarnation}: MemberUpdate): void {
    const {incarnation: own} = this.own;
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
      if (entry.update.zone !== zone || !mayLive(entry)) continue;
      this.effects.push({kind: 'changed', member: this.table.toMember(entry)});
    }
    // Changes on the other side were missed while the zone was silent.
    if (!this.table.isSilent(zone)) this.zonesToSync.add(zone);
    this.linksChanged = true;
  }

  private chooseLinks(nowMs: number): void {
    this.linksChanged = false;
    const candidates = [...this.table.all()].filter(mayLive).map(e => e.update);
    const links = chooseLinks(this.own, candidates, id =>
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
    const head = {...this.head(sequence), sync};
    this.send(to, {ping: this.writer.fill(head, id, nowMs, false)});
  }

  private pingIndirectly(target: string, sequence: number): void {
    const address = this.table.get(target)?.update.address;
    if (!address) return;
    const others = this.prober.ids
      .filter(id => id !== target)
      .map(id => this.table.get(id)?.update)
      .filter(other => other?.zone === this.own.zone && other.state === 'alive')
      .map(other => ({other: other as MemberUpdate, key: this.random()}))
      .sort((a, b) => a.key - b.key)
      .slice(0, bounds.intermediates);
    for (const {other} of others) {
      this.send(other, {pingReq: {sequence, target, address}});
    }
  }

  /** Tries one address outside the live members, and all seeds while there are none. */
  private retry(nowMs: number): void {
    const live = [...this.table.all()].filter(
      entry => mayLive(entry) && !this.table.isSilent(entry.update.zone),
    );
    const alone = live.length === 0;
    this.nextRetryMs =
      nowMs +
      (alone ? timing.joinIntervalMs : timing.retryIntervalMs) *
        (0.75 + this.random() / 2);
    this.table.purge(nowMs);
    this.linksChanged = true;
    const reached = new Set(live.map(({update}) => update.address));
    reached.add(this.own.address);
    const addresses = new Set([
      ...this.options.seeds,
      ...this.listed.filter(h => h.state === 'live').map(h => h.address),
      ...[...this.table.all()]
        .filter(({update}) => update.state !== 'left')
        .map(({update}) => update.address),
    ]);
    const choices = [...addresses].filter(address => !reached.has(address));
    const count = Math.min(choices.length, alone ? 3 : 1);
    for (let i = 0; i < count; i++) {
      const [address] = choices.splice(
        Math.floor(this.random() * choices.length),
        1,
      );
      const ping = {...this.head(this.prober.nextSequence()), sync: true};
      const id = this.idAt(address);
      this.send({id, address}, {ping: this.writer.fill(ping, id, nowMs, false)});
    }
  }

  private idAt(address: string): string {
    for (const {update} of this.table.all()) {
      if (update.address === address) return update.id;
    }
    return '';
  }

  private sendAll(to: PeerIdentity, nowMs: number): void {
    const lastMs = this.syncedAt.get(to.id) ?? -Infinity;
    if (nowMs - lastMs < timing.syncIntervalMs) return;
    for (const [id, atMs] of this.syncedAt) {
      if (nowMs - atMs >= timing.syncIntervalMs) this.syncedAt.delete(id);
    }
    this.syncedAt.set(to.id, nowMs);
    for (const ping of this.writer.pages(this.head(0), this.own)) {
      this.send(to, {ping});
    }
  }

  private head(sequence: number): Probe {
    const {incarnation, version, configOffset, summary} = this.own;
    return {
      sequence,
      incarnation,
      version,
      configOffset,
      summary,
      updates: [],
      zones: [],
      offsets: this.offsets,
      sync: false,
      reached: '',
    };
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
        const ping = this.writer.fill(this.head(0), id, nowMs, false);
        this.send(to, {ping});
      }
    }
    const {effects} = this;
    this.effects = [];
    return effects;
  }
}
