/** Period over which rejections are counted, in milliseconds of the model. */
const rejectionPeriodMs = 1000;

/** State in which an engine fails if it turns too many requests away. */
export interface Brittleness {
  /** Rejections in one second that it endures. */
  readonly rejectionsPerSecond: number;
  /** Requests that it lets wait meanwhile. */
  readonly maxWaiting: number;
  /** Whether it only states this so far, and does not fail yet. */
  readonly isAnnounced?: boolean;
}

/** Decides which requests an engine has room for, and when rejections make it fail. */
export class EngineRoom {
  /** Number of times that rejections made it fail. */
  falls = 0;
  /** Requests that were turned away. */
  rejections = 0;
  private recentMs: number[] = [];

  /**
   * @param slots - Requests that the engine runs concurrently.
   * @param maxWaiting - Requests that it lets wait while it is not brittle.
   * @param brittleness - State of the engine; `undefined` while it is not brittle.
   */
  constructor(
    private readonly slots: number,
    private readonly maxWaiting: number,
    public brittleness?: Brittleness,
  ) {}

  /**
   * Checks whether one more request fits.
   *
   * @param open - Requests that run or wait.
   */
  hasRoom(open: number): boolean {
    const maxWaiting = this.brittleness?.maxWaiting ?? this.maxWaiting;
    return open < this.slots + maxWaiting;
  }

  /**
   * Counts a request that is turned away.
   *
   * @param nowMs - Time of the model, in milliseconds.
   * @returns Whether the engine fails.
   */
  reject(nowMs: number): boolean {
    this.rejections++;
    this.recentMs = this.recentMs.filter(ms => nowMs - ms < rejectionPeriodMs);
    this.recentMs.push(nowMs);
    const {brittleness} = this;
    if (!brittleness || brittleness.isAnnounced) return false;
    if (this.recentMs.length <= brittleness.rejectionsPerSecond) return false;
    this.recentMs = [];
    this.falls++;
    return true;
  }
}
