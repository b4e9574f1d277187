/** Time for which ends are kept, in milliseconds; longer than any check of an end takes. */
const keptMs = 2000;

/**
 * How the latest responses of one target to this host ended, and when it last sent something. The end of the target's
 * process shows in all of its connections.
 */
export class ResponseEnds {
  /** Number of open requests whose response without a length has ended and is being checked. */
  checking = 0;
  /** Time on the process's clock of the latest bytes of any response, in milliseconds. */
  receivedAtMs = -Infinity;
  private doubtful: number[] = [];

  /**
   * Records a response that ended without stating its end: it has no length and may be complete, or it was cut short.
   *
   * @param atMs - Time on the process's clock, in milliseconds.
   */
  recordDoubtful(atMs: number): void {
    this.doubtful = this.doubtful.filter(otherMs => otherMs > atMs - keptMs);
    this.doubtful.push(atMs);
  }

  /**
   * Counts the responses that ended in this way at about the same time.
   *
   * @param atMs - Time on the process's clock, in milliseconds.
   * @param withinMs - Largest difference, in milliseconds.
   */
  countDoubtful(atMs: number, withinMs: number): number {
    return this.doubtful.filter(otherMs => Math.abs(otherMs - atMs) <= withinMs)
      .length;
  }
}
