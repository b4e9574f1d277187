import type {MemberUpdate} from './messages.js';

interface Entry {
  update: MemberUpdate;
  remaining: number;
}

/** One transmission for each link and one spare. */
const minTransmissions = 8;
/** Misses less than 1 % of the hosts of a zone; the refresh in the acks updates those. */
const detailTransmissions = 5;

/** Updates to gossip, each with its remaining number of transmissions. */
export class UpdateQueue {
  private readonly entries = new Map<string, Entry>();

  /**
   * Queues an update in place of an older one of the same member.
   *
   * @param update - Update to gossip.
   * @param members - Number of known members; the transmissions grow with its logarithm.
   */
  add(update: MemberUpdate, members: number): void {
    const logarithm = Math.log2(members + 2);
    const remaining = Math.max(minTransmissions, Math.ceil(1.5 * logarithm));
    this.entries.set(update.id, {update, remaining});
  }

  /**
   * Queues an update that changes details only, with fewer transmissions than a change of state.
   *
   * @param update - Update to gossip.
   */
  addDetails(update: MemberUpdate): void {
    const waiting = this.entries.get(update.id)?.remaining ?? 0;
    const remaining = Math.max(waiting, detailTransmissions);
    this.entries.set(update.id, {update, remaining});
  }

  /**
   * Takes the updates with the most remaining transmissions, until one does not fit.
   *
   * @param fits - Returns whether an update still fits, and reserves its space if so.
   * @returns Updates for one message.
   */
  take(fits: (update: MemberUpdate) => boolean): MemberUpdate[] {
    if (this.entries.size === 0) return [];
    const taken: MemberUpdate[] = [];
    const ordered = [...this.entries.values()].sort(
      (a, b) => b.remaining - a.remaining,
    );
    for (const entry of ordered) {
      if (!fits(entry.update)) break;
      taken.push(entry.update);
      if (--entry.remaining <= 0) this.entries.delete(entry.update.id);
    }
    return taken;
  }
}
