import type {MemberUpdate} from './messages.js';

interface Entry {
  update: MemberUpdate;
  remaining: number;
}

/** Updates that still have to be passed on, each a bounded number of times. */
export class UpdateQueue {
  private readonly entries = new Map<string, Entry>();

  /**
   * Adds an update in place of an older one of the same member.
   *
   * @param update - Update to pass on.
   * @param members - Number of known members; the transmissions grow with its logarithm.
   */
  add(update: MemberUpdate, members: number): void {
    const remaining = 3 * Math.ceil(Math.log2(members + 2));
    this.entries.set(update.id, {update, remaining});
  }

  /**
   * Takes the updates that were sent least often so far and fit.
   *
   * @param fits - Tells whether an update still fits, and reserves its space if so.
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
