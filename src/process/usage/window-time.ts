/** True time of this host: its monotonic clock plus a base, so that a step of its wall clock changes nothing. */
export class WindowTime {
  private baseMs: number;
  private corrections = 0;

  /**
   * @param wallMs - Wall clock at the start, in milliseconds.
   * @param nowMs - Monotonic time of the same moment, in milliseconds.
   */
  constructor(wallMs: number, nowMs: number) {
    this.baseMs = wallMs - nowMs;
  }

  /** Unix time minus monotonic time, in milliseconds. */
  get offsetMs(): number {
    return this.baseMs;
  }

  /** Number of corrections so far. A correction refers to one revision, so that it is applied once. */
  get revision(): number {
    return this.corrections;
  }

  /**
   * Converts a monotonic time.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Unix time, in milliseconds.
   */
  trueMs(nowMs: number): number {
    return this.baseMs + nowMs;
  }

  /**
   * Applies a correction, unless it refers to another revision.
   *
   * @param byMs - What to add to the true time, in milliseconds.
   * @param revision - Revision to which the correction refers.
   */
  correct(byMs: number, revision: number): void {
    if (revision !== this.corrections) return;
    this.corrections++;
    this.baseMs += byMs;
  }
}
