/** Multiple of the interval after which a check is late. */
const lateIntervals = 2;

/**
 * Decides which checks for stalled targets are skipped. When a check is late, the process did not run for a time: what
 * targets sent meanwhile is read before the next check.
 */
export class LateChecks {
  private hasSkipped = false;

  /**
   * @param intervalMs - Interval of the checks, in milliseconds.
   * @param checkedAtMs - Time of the start on the process's clock, in milliseconds.
   */
  constructor(
    private readonly intervalMs: number,
    private checkedAtMs: number,
  ) {}

  /**
   * Checks whether a check is to be skipped. Of two in a row at least one is carried out.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  skips(nowMs: number): boolean {
    const isLate = nowMs - this.checkedAtMs > this.intervalMs * lateIntervals;
    this.checkedAtMs = nowMs;
    this.hasSkipped = isLate && !this.hasSkipped;
    return this.hasSkipped;
  }
}
