/** Maximum age of a reported number of free slots, in milliseconds. */
const maxAgeMs = 10_000;

/** Last reported number of free slots of each group. Reports expire after {@link maxAgeMs}. */
export class CapacityTable {
  private readonly slots = new Map<string, {slots: number; atMs: number}>();

  /**
   * Records a report of the group's owner.
   *
   * @param group - Name of the group.
   * @param slots - Number of permits that the owner could grant now.
   * @param nowMs - Current time of this host's clock, in milliseconds.
   */
  set(group: string, slots: number, nowMs: number): void {
    this.slots.set(group, {slots, atMs: nowMs});
  }

  /**
   * Looks up the number of free slots of a group.
   *
   * @param group - Name of the group.
   * @param nowMs - Current time of this host's clock, in milliseconds.
   * @returns Last reported number, or `undefined` without a report younger than {@link maxAgeMs}.
   */
  get(group: string, nowMs: number): number | undefined {
    const known = this.slots.get(group);
    return known && nowMs - known.atMs < maxAgeMs ? known.slots : undefined;
  }
}
