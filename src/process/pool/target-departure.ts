/**
 * When a target announced that it leaves and when it left, as far as this host knows; times are on the process's clock.
 * It outlives the target's place in the pool, for the attempts that still run there.
 */
export class TargetDeparture {
  private announced: number | undefined;
  private removed: number | undefined;

  /** Time at which this host learnt that the target leaves, in milliseconds; `undefined` if it does not. */
  get announcedAtMs(): number | undefined {
    return this.announced;
  }

  /** Time at which this host learnt that the target's entry was removed, in milliseconds. */
  get removedAtMs(): number | undefined {
    return this.removed;
  }

  /**
   * Records that the target announced that it leaves; only the first time counts.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  recordAnnounced(nowMs: number): void {
    this.announced ??= nowMs;
  }

  /**
   * Records that the target's entry was removed. Some targets announce in this way alone that they leave.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  recordRemoved(nowMs: number): void {
    this.recordAnnounced(nowMs);
    this.removed ??= nowMs;
  }
}
