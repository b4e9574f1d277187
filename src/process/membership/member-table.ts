import type {Member, ZoneView} from '../member-view.js';
import type {MemberState, MemberUpdate} from './messages.js';
import {bounds, timing} from './timing.js';

/** A member as the table keeps it. */
export interface MemberEntry {
  update: MemberUpdate;
  /** When the state last changed, in milliseconds. */
  sinceMs: number;
}

/** What an update did to the table. */
export type MergeResult = 'old' | 'details' | 'state';

const precedence: Record<MemberState, number> = {
  alive: 0,
  suspect: 1,
  dead: 2,
  left: 3,
};

/**
 * All known members but this host, with dead ones kept as tombstones. Members of a zone that was
 * not heard for some time count as dead until it is heard again; what is known of each of them
 * is kept, because nothing was learnt about them.
 */
export class MemberTable {
  private readonly entries = new Map<string, MemberEntry>();
  /** Time at which each zone was last heard. */
  private readonly heardAt = new Map<string, number>();
  private readonly silent = new Set<string>();

  /**
   * @param selfZone - Zone of this host, which is always heard.
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
   * @returns The member, if known.
   */
  get(id: string): MemberEntry | undefined {
    return this.entries.get(id);
  }

  /** @returns All known members. */
  all(): IterableIterator<MemberEntry> {
    return this.entries.values();
  }

  /**
   * Applies an update about another host.
   *
   * @param update - Update to apply.
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Whether the update was old, changed details only, or changed the state.
   */
  merge(update: MemberUpdate, nowMs: number): MergeResult {
    const entry = this.entries.get(update.id);
    if (!entry) {
      // A table filled with invented members must not grow without bound.
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
   * Chooses a member of the own zone whose offset is not known up to that of this host. Passed on
   * updates get lost when a message has no room for them, and with many members of a zone the
   * repair in turn takes long.
   *
   * @param own - This host.
   * @param zone - Zone of the host that is asked; those of other zones know less.
   * @param random - Source of numbers from 0 to 1.
   * @returns Id of the member; empty if there is none.
   */
  chooseLagging(own: MemberUpdate, zone: string, random: () => number): string {
    if (zone !== this.selfZone) return '';
    const ids: string[] = [];
    for (const entry of this.entries.values()) {
      const {id, zone, configOffset} = entry.update;
      if (zone !== this.selfZone || !isAlive(entry)) continue;
      if (configOffset < own.configOffset) ids.push(id);
    }
    return ids[Math.floor(random() * ids.length)] ?? '';
  }

  /**
   * Notes that a zone was heard.
   *
   * @param zone - Zone that was heard.
   * @param atMs - When it was heard, on this host's monotonic clock.
   */
  heard(zone: string, atMs: number): void {
    if (atMs > (this.heardAt.get(zone) ?? -Infinity)) {
      this.heardAt.set(zone, atMs);
    }
  }

  /**
   * Lists the zones with the times at which they were last heard.
   *
   * @returns Other zones by name.
   */
  zonesHeard(): ReadonlyMap<string, number> {
    return this.heardAt;
  }

  /**
   * Tells whether a zone cannot be heard.
   *
   * @param zone - Name of the zone.
   * @returns True if its state is unknown.
   */
  isSilent(zone: string): boolean {
    return this.silent.has(zone);
  }

  /**
   * Finds the zones that fell silent or were heard again, and removes old tombstones.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns Names of the zones that changed.
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
   * Removes tombstones and members of silent zones whose time is over.
   *
   * @param nowMs - Monotonic time in milliseconds.
   */
  purge(nowMs: number): void {
    const zones = new Set<string>();
    for (const [id, {update, sinceMs}] of this.entries) {
      const gone = update.state === 'dead' || update.state === 'left';
      const heardMs = this.heardAt.get(update.zone) ?? nowMs;
      const forgotten =
        (gone && nowMs - sinceMs > timing.tombstoneMs) ||
        (this.silent.has(update.zone) &&
          nowMs - heardMs > timing.silentZoneMemoryMs);
      if (forgotten) this.entries.delete(id);
      else zones.add(update.zone);
    }
    for (const zone of this.heardAt.keys()) {
      if (zones.has(zone)) continue;
      this.heardAt.delete(zone);
      this.silent.delete(zone);
    }
  }

  /**
   * Moves all times of this host by the length of a pause.
   *
   * @param byMs - Length of the pause in milliseconds.
   */
  shift(byMs: number): void {
    for (const [zone, atMs] of this.heardAt)
      this.heardAt.set(zone, atMs + byMs);
  }

  /**
   * Shows an entry as the rest of the host sees it.
   *
   * @param entry - Entry of this table.
   * @returns The member; dead if its zone cannot be heard.
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
 * Converts an update to the form that other parts see.
 *
 * @param update - Update of the member.
 * @param state - State to show.
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
 * Tells whether a member may be alive.
 *
 * @param entry - Entry of the table.
 * @returns True if it is alive or suspect.
 */
export function isAlive({update}: MemberEntry): boolean {
  return update.state === 'alive' || update.state === 'suspect';
}

/**
 * Computes what is known of a zone.
 *
 * @param zone - Name of the zone.
 * @param members - All known members.
 * @returns State, live members and least configuration offset.
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
