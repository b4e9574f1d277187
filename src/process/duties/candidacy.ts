/** Item by which the hosts are ranked that may take over the duties; the same everywhere, so that all agree. */
export const candidacyItem = 'duties';

/** Time for which a started host listens to the others before it reads the log, in milliseconds. */
const settleMs = 1000;
/** Time between two hosts that begin to read the log, in milliseconds; a holder is heard by all within it or soon after. */
const stepMs = 400;
/** Rank from which hosts no longer wait longer. */
const maxRank = 20;

/** Dependencies of a {@link Candidacy}. */
export interface CandidacyParts {
  /** Monotonic time at which the host started, in milliseconds. */
  readonly startMs: number;
  /** Additional time of a host that leaves the duties to others where it can, in milliseconds. */
  readonly reserveMs: number;
  /** Random number in [0, 1). */
  readonly random: () => number;
}

/** Decides when a host that hears no holder begins to read the log, so that not all do at the same time. */
export class Candidacy {
  private sinceMs: number | undefined;
  private readonly jitterMs: number;

  /** @param parts - Dependencies. */
  constructor(private readonly parts: CandidacyParts) {
    this.sinceMs = parts.startMs + settleMs;
    this.jitterMs = parts.random() * stepMs;
  }

  /** Called while a holder is heard. */
  reset(): void {
    this.sinceMs = undefined;
  }

  /**
   * Checks whether this host may read the log to take over. Called at intervals while no holder is heard.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   * @param rank - Number of other hosts that precede this one.
   */
  isDue(nowMs: number, rank: number): boolean {
    this.sinceMs ??= nowMs;
    const {reserveMs} = this.parts;
    const delayMs = Math.min(rank, maxRank) * stepMs + this.jitterMs;
    return nowMs - this.sinceMs >= delayMs + reserveMs;
  }
}
