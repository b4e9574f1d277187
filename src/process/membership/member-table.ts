import type {Member, ZoneView} from '../member-view.js';
import type {MemberState, MemberUpdate} from './messages.js';
import {bounds, timing} from './timing.js';

/** Latest known update of a member. */
export interface MemberEntry {
  update: MemberUpdate;
  /** Monotonic time of the last change of state, in milliseconds. */
  sinceMs: number;
}

/** Effect of an update: ignored as old, changed details only, or changed the state. */
export type MergeResult = 'old' | 'details' | 'state';

const precedence: Record<MemberState, number> = {
  alive: 0,
  suspect: 1,
  dead: 2,
  left: 3,
};

/**
 * All known members except this host; those that died or left are kept as tombstones. While no
 * gossip arrives from a zone, its members are reported as dead, but their entries keep the last
 * known state: the silence says nothing about a single member.
 */
export class MemberTable {
  private readonly entries = new Map<string, MemberEntry>();
  /** Monotonic time of the latest gossip from each zone, in milliseconds. */
  private readonly heardAt = new Map<string, number>();
  private readonly silent = new Set<string>();

  /**
   * @param selfZone - Zone of this host; never silent.
   */
  constructor(private readonly selfZone: string) {}

  /** Number of known members, tombstones included. */
  get size(): number {
    return this.entries.size;
  }

  /**
   * Looks up a member.
   *
   * @param id - Id of the member.
   * @returns The entry, or `undefined` for an unknown member and for this host.
   */
  get(id: string): MemberEntry | undefined {
    return this.entries.get(id);
  }

  /** @returns All known members except this host, tombstones included. */
  all(): IterableIterator<MemberEntry> {
    return this.entries.values();
  }

  /**
   * Applies an update about another host.
   *
   * @param update - Update to apply.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns What changed; `old` also for a new member when the table is full.
   */
  merge(update: MemberUpdate, nowMs: number): MergeResult {
    const entry = this.entries.get(update.id);
    if (!entry) {
      // Forged member ids must not grow the table without bound.
      if (this.entries.size >= bounds.members) return 'old';
      this.entries.set(update.id, {update, sinceMs: nowMs});
      if (!this.heardAt.has(update.zone)) this.heardAt.set(update.zone, nowMs);
      return 'state';
    }
    const known = entry.update;
    const ahead =
      update.incarnation - known.incarnation ||
      precedence[update.state] - precedence[known.state];
    if (ahead > 0) {
      entry.update =
        update.incarnation === known.incarnation &&
        update.version < known.version
          ? {...known, state: update.state}
          : update;
      entry.sinceMs = nowMs;
      return 'state';
    }
    if (
      update.incarnation === known.incarnation &&
      update.version > known.version
    ) {
      entry.update = {...update, state: known.state};
      return 'details';
    }
    return 'old';
  }

  /**
   * Chooses a live member of the local zone whose known configuration offset is below that of this
   * host, to request its current state: updates that do not fit into a message get lost, and the
   * round-robin refresh takes long in a zone with many members.
   *
   * @param self - This host.
   * @param zone - Zone of the host to contact; hosts of other zones know less about the local one.
   * @param random - Returns numbers from 0 to 1.
   * @returns Id of the member; empty if there is none.
   */
  chooseLagging(
    self: MemberUpdate,
    zone: string,
    random: () => number,
  ): string {
    if (zone !== this.selfZone) return '';
    const ids: string[] = [];
    for (const entry of this.entries.values()) {
      const {id, zone, configOffset} = entry.update;
      if (zone !== this.selfZone || !isLive(entry)) continue;
      if (configOffset < self.configOffset) ids.push(id);
    }
    return ids[Math.floor(random() * ids.length)] ?? '';
  }

  /**
   * Records that gossip from a zone was received.
   *
   * @param zone - Name of the zone.
   * @param atMs - Time of the gossip on this host's monotonic clock, in milliseconds; ignored if it
   *   is before the recorded time.
   */
  heard(zone: string, atMs: number): void {
    if (atMs > (this.heardAt.get(zone) ?? -Infinity)) {
      this.heardAt.set(zone, atMs);
    }
  }

  /**
   * Lists the time of the latest gossip from each zone.
   *
   * @returns Monotonic times in milliseconds, by zone.
   */
  zonesHeard(): ReadonlyMap<string, number> {
    return this.heardAt;
  }

  /**
   * Checks whether no gossip has arrived from a zone recently.
   *
   * @param zone - Name of the zone.
   * @returns True if the state of the zone is unknown.
   */
  isSilent(zone: string): boolean {
    return this.silent.has(zone);
  }

  /**
   * Updates which zones are silent.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Names of the zones that became silent or reachable again.
   */
  tick(nowMs: number): string[] {
    const changed: string[] = [];
    for (const [zone, atMs] of this.heardAt) {
      if (zone === this.selfZone) continue;
      const silent = nowMs - atMs > timing.zoneSilenceMs;
      if (silent === this.silent.has(zone)) continue;
      if (silent) this.silent.add(zone);
      else this.silent.delete(zone);
      changed.push(zone);
    }
    return changed;
  }

  /**
   * Removes tombstones and members of silent zones after their retention, then zones without
   * members.
   *
   * @param nowMs - Monotonic time in milliseconds.
   */
  purge(nowMs: number): void {
    const zones = new Set<string>();
    for (const [id, {update, sinceMs}] of this.entries) {
      const isTombstone = update.state === 'dead' || update.state === 'left';
      const heardMs = this.heardAt.get(update.zone) ?? nowMs;
      const isExpired =
        (isTombstone && nowMs - sinceMs > timing.tombstoneRetentionMs) ||
        (this.silent.has(update.zone) &&
          nowMs - heardMs > timing.silentZoneRetentionMs);
      if (isExpired) this.entries.delete(id);
      else zones.add(update.zone);
    }
    for (const zone of this.heardAt.keys()) {
      if (zones.has(zone)) continue;
      this.heardAt.delete(zone);
      this.silent.delete(zone);
    }
  }

  /**
   * Moves the recorded gossip times forward, so that a pause of this host does not count as silence
   * of the zones.
   *
   * @param byMs - Length of the pause in milliseconds.
   */
  shift(byMs: number): void {
    for (const [zone, atMs] of this.heardAt)
      this.heardAt.set(zone, atMs + byMs);
  }

  /**
   * Converts an entry to the form that other components see.
   *
   * @param entry - Entry of this table.
   * @returns The member; reported as dead while its zone is silent.
   */
  toMember({update}: MemberEntry): Member {
    const state =
      update.state !== 'left' && this.silent.has(update.zone)
        ? 'dead'
        : update.state;
    return toMember(update, state);
  }
}

/**
 * Converts an update to the form that other components see.
 *
 * @param update - Update of the member.
 * @param state - State to report, which may differ from that of the update.
 * @returns The member.
 */
export function toMember(update: MemberUpdate, state: MemberState): Member {
  return {
    id: update.id,
    zone: update.zone,
    region: update.region,
    peerAddress: update.address,
    incarnation: update.incarnation,
    state,
    configOffset: update.configOffset,
    summary: update.summary,
  };
}

/**
 * Checks whether a member is live: not confirmed dead and not left. A suspect is live.
 *
 * @param entry - Entry of the table.
 * @returns True if it is alive or suspect.
 */
export function isLive({update}: MemberEntry): boolean {
  return update.state === 'alive' || update.state === 'suspect';
}

/**
 * Aggregates the members of a zone.
 *
 * @param zone - Name of the zone.
 * @param members - All known members.
 * @returns State, number of live members and their minimum configuration offset.
 */
export function toZoneView(zone: string, members: readonly Member[]): ZoneView {
  const offsets = members
    .filter(m => m.zone === zone)
    .filter(m => m.state === 'alive' || m.state === 'suspect')
    .map(m => m.configOffset);
  if (offsets.length === 0) return {state: 'unknown', live: 0};
  const configOffset = Math.min(...offsets);
  return {state: 'heard', live: offsets.length, configOffset};
}
