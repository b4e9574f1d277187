/** Age from which a number of free slots is no longer used, in milliseconds. */
const maxAgeMs = 10_000;

/** Last known number of free slots of each group, from its owner or by gossip. */
export class CapacityTable {
  private readonly slots = new Map<string, {slots: number; atMs: number}>();

  /**
   * Notes a number of free slots.
   *
   * @param group - Name of the group.
   * @param slots - Free slots.
   * @param nowMs - Current time.
   */
  set(group: string, slots: number, nowMs: number): void {
    this.slots.set(group, {slots, atMs: nowMs});
  }

  /**
   * Reads the number of free slots.
   *
   * @param group - Name of the group.
   * @param nowMs - Current time.
   * @returns Free slots, or `undefined` if nothing recent is known.
   */
  get(group: string, nowMs: number): number | undefined {
    const known = this.slots.get(group);
    return known && nowMs - known.atMs < maxAgeMs ? known.slots : undefined;
  }
}
