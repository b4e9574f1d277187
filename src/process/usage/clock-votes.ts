/** Error of a clock that is not corrected, in milliseconds. */
const toleranceMs = 50;
/** Number of clocks from which their median is taken for true time. */
const minVotes = 3;
/** Time for which the statement of a host counts, in milliseconds. */
const maxVoteAgeMs = 10_000;
/** Time after which a statement is replaced even by one that bounds the clock less closely, in milliseconds. */
const refreshMs = 3000;
/** Time after which a host without others follows a step backwards of its wall clock, in milliseconds. */
const backwardsMs = 60_000;

/** What another host stated about its clocks. */
export interface ClockStatement {
  /** Its true time when it composed the message, in milliseconds. */
  readonly trueMs: number;
  /** Its wall clock minus its true time, in milliseconds. */
  readonly wallLeadMs: number;
  /** Revision of its true time. */
  readonly revision: number;
}

/** Clocks of this host, as Unix time minus monotonic time, in milliseconds. */
export interface OwnClocks {
  /** By its true time. */
  readonly offsetMs: number;
  /** By its wall clock. */
  readonly wallOffsetMs: number;
}

/** Correction of the true time of a host. */
export interface ClockCorrection {
  /** What to add, in milliseconds. */
  readonly byMs: number;
  readonly revision: number;
}

interface Vote {
  /** True time of the host minus monotonic time of this one, in milliseconds. */
  readonly offsetMs: number;
  /** Error of the offset, in milliseconds. */
  readonly errorMs: number;
  readonly wallLeadMs: number;
  readonly revision: number;
  readonly atMs: number;
}

/** Compares the clocks of the live hosts at the holder of the duties, and finds which have to be corrected. */
export class ClockVotes {
  private readonly votes = new Map<string, Vote>();
  private backwardsSinceMs: number | undefined;

  /**
   * Records a statement.
   *
   * @param host - Name of the host.
   * @param statement - What it stated.
   * @param composedAtMs - Monotonic time before which it was not composed, in milliseconds; `-Infinity` if unknown.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  record(
    host: string,
    {trueMs, wallLeadMs, revision}: ClockStatement,
    composedAtMs: number,
    nowMs: number,
  ): void {
    const errorMs = (nowMs - composedAtMs) / 2;
    if (!Number.isFinite(errorMs)) return;
    const last = this.votes.get(host);
    if (
      last &&
      last.revision === revision &&
      last.wallLeadMs === wallLeadMs &&
      last.errorMs < errorMs &&
      nowMs - last.atMs < refreshMs
    ) {
      return;
    }
    const offsetMs = trueMs - (nowMs + composedAtMs) / 2;
    const vote = {offsetMs, errorMs, wallLeadMs, revision, atMs: nowMs};
    this.votes.set(host, vote);
  }

  /**
   * Finds the correction of another host.
   *
   * @param host - Name of the host.
   * @param own - Clocks of this host.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns The correction, or `undefined` if its time is right or not known.
   */
  correction(
    host: string,
    own: OwnClocks,
    nowMs: number,
  ): ClockCorrection | undefined {
    const medianMs = this.medianMs(own, nowMs);
    const vote = this.votes.get(host);
    if (medianMs === undefined || !vote) return undefined;
    const byMs = medianMs - vote.offsetMs;
    if (Math.abs(byMs) <= Math.max(toleranceMs, vote.errorMs)) return undefined;
    return {byMs: Math.round(byMs), revision: vote.revision};
  }

  /**
   * Finds the correction of this host.
   *
   * @param own - Clocks of this host.
   * @param hosts - Number of hosts that may be running, including this one.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns What to add to its true time, in milliseconds; 0 if it is right or not known.
   */
  ownCorrectionMs(own: OwnClocks, hosts: number, nowMs: number): number {
    const medianMs = this.medianMs(own, nowMs);
    // The statements of other hosts are yet to come.
    if (medianMs === undefined && hosts >= minVotes) return 0;
    const byMs = (medianMs ?? own.wallOffsetMs) - own.offsetMs;
    const isBackwards = medianMs === undefined && byMs < -toleranceMs;
    if (!isBackwards) this.backwardsSinceMs = undefined;
    else this.backwardsSinceMs ??= nowMs;
    if (Math.abs(byMs) <= toleranceMs) return 0;
    const sinceMs = this.backwardsSinceMs ?? -Infinity;
    return nowMs - sinceMs < backwardsMs ? 0 : byMs;
  }

  /**
   * Finds the median of the wall clocks, as Unix time minus monotonic time of this host, if there are enough. Of two in
   * the middle, the one nearer to the present true time counts: the other may have been set.
   */
  private medianMs(
    {offsetMs, wallOffsetMs}: OwnClocks,
    nowMs: number,
  ): number | undefined {
    const offsets = [wallOffsetMs];
    for (const [host, vote] of this.votes) {
      if (nowMs - vote.atMs > maxVoteAgeMs) this.votes.delete(host);
      else offsets.push(vote.offsetMs + vote.wallLeadMs);
    }
    if (offsets.length < minVotes) return undefined;
    offsets.sort((a, b) => a - b);
    const middle = offsets.length / 2;
    const low = offsets[Math.ceil(middle) - 1];
    const high = offsets[Math.floor(middle)];
    return offsetMs - low < high - offsetMs ? low : high;
  }
}
