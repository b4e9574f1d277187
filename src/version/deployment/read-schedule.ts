/**
 * Timing of the reads, as fractions of the time within which a change must be known. The first host in
 * the reading order reads once per interval. While no update arrives, one further host starts to read
 * after each step; after the last step all hosts do. The remaining time is a reserve for failed calls.
 */
const intervalShare = 0.25;
const stepShare = 0.15;
const maxSteps = 3;

/** Delays before retries of failed calls, in milliseconds: the first, and the maximum. */
const minRetryDelayMs = 150;
const maxRetryDelayMs = 800;
/**
 * Retry delay of a host that is late in the reading order, in milliseconds: the earlier ones find out
 * sooner that the store is reachable again and report it.
 */
const lateRetryDelayMs = 1500;
/**
 * Maximum time between calls of a host whose calls fail but which other hosts keep up to date, in
 * milliseconds: it has to find out when the store responds to it again.
 */
const maxProbeIntervalMs = 3000;

/** Evidence that this host was up to date with a log at some time. Only logged; no decision depends on it. */
export interface Confirmation {
  /** `store` for a read by this host, or else the host whose message it was. */
  readonly by: string;
  /** Wall-clock time of the read on which the evidence is based, by the reader's clock, in milliseconds. */
  readonly readAtMs: number;
}

/**
 * Schedules the reads of one log by this host. Hosts share what they read by gossip, so the number of
 * reads does not grow with the number of hosts.
 */
export class ReadSchedule {
  private confirmedAtMs = -Infinity;
  private confirmation: Confirmation = {by: 'none', readAtMs: 0};
  private failedAtMs = -Infinity;
  private retryDelayMs = minRetryDelayMs;
  private failing = false;

  /**
   * @param boundMs - Time within which a change must be known, in milliseconds.
   * @param longPolls - Whether a read waits at the store until the next record is written.
   */
  constructor(
    private readonly boundMs: number,
    private readonly longPolls: boolean,
  ) {}

  /** Timeout of a long poll, in milliseconds; 0 without long polling. */
  get waitMs(): number {
    return this.longPolls ? Math.round(this.boundMs * intervalShare) : 0;
  }

  /** Monotonic time at which this host was last known to be up to date with the log, in milliseconds. */
  get confirmedMs(): number {
    return this.confirmedAtMs;
  }

  /** Evidence for {@link confirmedMs}. */
  get confirmedBy(): Confirmation {
    return this.confirmation;
  }

  /**
   * Records that this host had applied everything that the log held at a time.
   *
   * @param atMs - Monotonic time, in milliseconds.
   * @param confirmation - Evidence for it.
   */
  confirm(atMs: number, confirmation: Confirmation): void {
    if (atMs <= this.confirmedAtMs) return;
    this.confirmedAtMs = atMs;
    this.confirmation = confirmation;
  }

  /** Records a successful read. */
  succeeded(): void {
    this.failing = false;
    this.retryDelayMs = minRetryDelayMs;
  }

  /**
   * Records a failed read and increases the retry delay.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   * @param jitter - Random number in [0, 1), which spreads the retries of several hosts.
   */
  failed(nowMs: number, jitter: number): void {
    this.failedAtMs = nowMs + this.retryDelayMs * (jitter - 0.5);
    if (this.failing) {
      this.retryDelayMs = Math.min(maxRetryDelayMs, this.retryDelayMs * 2);
    }
    this.failing = true;
  }

  /**
   * Computes when this host reads next.
   *
   * @param position - Number of live hosts that precede this one in the reading order.
   * @param behind - Whether the log is known to hold records that this host does not have.
   * @returns Monotonic time, in milliseconds.
   */
  dueAtMs(position: number, behind: boolean): number {
    const {boundMs, confirmedAtMs, failedAtMs} = this;
    const steps = Math.min(position, maxSteps);
    const intervalMs =
      this.longPolls && position === 0 ? 0 : boundMs * intervalShare;
    const regularMs = behind
      ? -Infinity
      : confirmedAtMs + intervalMs + steps * boundMs * stepShare;
    if (!this.failing) return regularMs;
    const retryDelayMs =
      position < maxSteps ? this.retryDelayMs : lateRetryDelayMs;
    const retryMs = Math.max(regularMs, failedAtMs + retryDelayMs);
    return Math.min(retryMs, failedAtMs + maxProbeIntervalMs);
  }
}
