import type {ListedHost} from '../../connection/platform/host-list-client.js';
import type {Receiver} from './effects.js';
import {isLive, type MemberTable} from './member-table.js';
import {timing} from './timing.js';

/** Chooses addresses to contact, so that hosts and zones rejoin after a partition. */
export class RejoinPlanner {
  /** Entries of the platform's host list. */
  listed: readonly ListedHost[] = [];
  private nextMs = -Infinity;

  /**
   * @param seeds - Addresses from the settings.
   * @param table - Known members.
   * @param random - Returns numbers from 0 to 1.
   */
  constructor(
    private readonly seeds: readonly string[],
    private readonly table: MemberTable,
    private readonly random: () => number,
  ) {}

  /**
   * Checks whether the next round is due, and if so schedules the one after it.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns True if {@link choose} should be called.
   */
  isDue(nowMs: number): boolean {
    if (nowMs < this.nextMs) return false;
    const isAlone = this.liveAddresses().size === 0;
    const meanMs = isAlone ? timing.joinIntervalMs : timing.retryIntervalMs;
    this.nextMs = nowMs + meanMs * (0.75 + this.random() / 2);
    return true;
  }

  /**
   * Chooses random addresses of seeds, listed hosts and known members that belong to no live
   * member: one, or three while there are no live members.
   *
   * @param selfAddress - Address of this host.
   * @returns Receivers; the id is empty if unknown.
   */
  choose(selfAddress: string): Receiver[] {
    const live = this.liveAddresses();
    const ids = new Map<string, string>();
    for (const address of this.seeds) ids.set(address, '');
    for (const {state, address} of this.listed) {
      if (state === 'live') ids.set(address, '');
    }
    for (const {update} of this.table.all()) {
      if (update.state !== 'left') ids.set(update.address, update.id);
    }
    const choices = [...ids.keys()].filter(
      address => address !== selfAddress && !live.has(address),
    );
    const chosen: Receiver[] = [];
    const count = Math.min(choices.length, live.size === 0 ? 3 : 1);
    while (chosen.length < count) {
      const at = Math.floor(this.random() * choices.length);
      const [address] = choices.splice(at, 1);
      chosen.push({id: ids.get(address) ?? '', address});
    }
    return chosen;
  }

  private liveAddresses(): Set<string> {
    const addresses = new Set<string>();
    for (const entry of this.table.all()) {
      const {zone, address} = entry.update;
      if (isLive(entry) && !this.table.isSilent(zone)) addresses.add(address);
    }
    return addresses;
  }
}
