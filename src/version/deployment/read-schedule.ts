/**
 * Parts of the time within which a change must be known, from which the reads of a log are timed. The
 * host whose turn it is reads this often; a further host steps in after each step without news, and
 * after the last step every host reads for itself. The rest of the time is left for calls that fail.
 */
const intervalPart = 0.25;
const stepPart = 0.15;
const maxSteps = 3;

/** Pauses after failed calls, in milliseconds: the first, and the longest. */
const firstPauseMs = 150;
const longestPauseMs = 800;
/**
 * Pause after a failed call of a host that comes late in the order, in milliseconds: the earlier ones
 * find out sooner that the store is back and tell it.
 */
const latePauseMs = 1500;
/** Time after which a host that others keep informed tries again whether the store answers it, in milliseconds. */
const probeMs = 3000;

/**
 * Decides when a host reads a log of the store itself. What one host has read holds for all that hear
 * of it, so that the number of reads does not grow with the number of hosts.
 */
export class ReadSchedule {
  private confirmedAtMs = -Infinity;
  private failedAtMs = -Infinity;
  private pauseMs = firstPauseMs;
  private failing = false;

  /**
   * @param boundMs - Time within which a change must be known, in milliseconds.
   * @param waits - Whether reads wait at the store for the next record.
   */
  constructor(
    private readonly boundMs: number,
    private readonly waits: boolean,
  ) {}

  /** Time for which a read waits at the store, in milliseconds. */
  get waitMs(): number {
    return this.waits ? Math.round(this.boundMs * intervalPart) : 0;
  }

  /** Time at which this host's state was last known to be that of the store, on the process's clock. */
  get confirmedMs(): number {
    return this.confirmedAtMs;
  }

  /**
   * Notes that this host knew everything that the store held at a time.
   *
   * @param atMs - The time, on the process's clock, in milliseconds.
   */
  confirm(atMs: number): void {
    if (atMs > this.confirmedAtMs) this.confirmedAtMs = atMs;
  }

  /** Notes an answer of the store to this host. */
  succeeded(): void {
    this.failing = false;
    this.pauseMs = firstPauseMs;
  }

  /**
   * Notes that the store did not answer this host.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   * @param draw - Random number in [0, 1), which spreads the calls of hosts.
   */
  failed(nowMs: number, draw: number): void {
    this.failedAtMs = nowMs + this.pauseMs * (draw - 0.5);
    if (this.failing) {
      this.pauseMs = Math.min(longestPauseMs, this.pauseMs * 2);
    }
    this.failing = true;
  }

  /**
   * Tells when this host reads next.
   *
   * @param turn - Number of hosts that read before this one.
   * @param behind - Whether the store is known to hold records that this host has not read.
   * @returns Time on the process's clock, in milliseconds.
   */
  dueAtMs(turn: number, behind: boolean): number {
    const {boundMs, confirmedAtMs, failedAtMs} = this;
    const steps = Math.min(turn, maxSteps);
    const intervalMs = this.waits && turn === 0 ? 0 : boundMs * intervalPart;
    const wantedMs = behind
      ? -Infinity
      : confirmedAtMs + intervalMs + steps * boundMs * stepPart;
    if (!this.failing) return wantedMs;
    const pauseMs = turn < maxSteps ? this.pauseMs : latePauseMs;
    const retryMs = Math.max(wantedMs, failedAtMs + pauseMs);
    return Math.min(retryMs, failedAtMs + probeMs);
  }
}
