import type {ListedHost} from '../../connection/platform/host-list-client.js';
import type {Receiver} from './effects.js';
import {isAlive, type MemberTable} from './member-table.js';
import {timing} from './timing.js';

/** Finds addresses to try, so that hosts and zones find each other again after a partition. */
export class RejoinPlanner {
  /** Entries of the platform's host list. */
  listed: readonly ListedHost[] = [];
  private nextMs = -Infinity;

  /**
   * @param seeds - Addresses from the settings.
   * @param table - Known members.
   * @param random - Source of numbers from 0 to 1.
   */
  constructor(
    private readonly seeds: readonly string[],
    private readonly table: MemberTable,
    private readonly random: () => number,
  ) {}

  /**
   * Tells whether the next round is due, and schedules the one after it.
   *
   * @param nowMs - Monotonic time in milliseconds.
   * @returns True if {@link choose} is to be called.
   */
  isDue(nowMs: number): boolean {
    if (nowMs < this.nextMs) return false;
    const alone = this.liveAddresses().size === 0;
    const meanMs = alone ? timing.joinIntervalMs : timing.retryIntervalMs;
    this.nextMs = nowMs + meanMs * (0.75 + this.random() / 2);
    return true;
  }

  /**
   * Chooses addresses of seeds, listed hosts and formerly known members that are not among the
   * live members: one, or three while there are no live members.
   *
   * @param ownAddress - Address of this host.
   * @returns Receivers; the id is empty if it is not known.
   */
  choose(ownAddress: string): Receiver[] {
    const reached = this.liveAddresses();
    const ids = new Map<string, string>();
    for (const address of this.seeds) ids.set(address, '');
    for (const {state, address} of this.listed) {
      if (state === 'live') ids.set(address, '');
    }
    for (const {update} of this.table.all()) {
      if (update.state !== 'left') ids.set(update.address, update.id);
    }
    const choices = [...ids.keys()].filter(
      address => address !== ownAddress && !reached.has(address),
    );
    const chosen: Receiver[] = [];
    const count = Math.min(choices.length, reached.size === 0 ? 3 : 1);
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
      if (isAlive(entry) && !this.table.isSilent(zone)) addresses.add(address);
    }
    return addresses;
  }
}
