import type {Logger} from '../../process/logger.js';
import type {DeploymentState} from './deployment-state.js';
import type {FeedUpdate} from './feed-update.js';

/**
 * Time for which this host's targets may differ from those of a host that has read further, in
 * milliseconds. Its next message may contain what is missing; after that the store is read.
 */
const catchUpMs = 300;

/** Applies changes of targets that other hosts have read from the store. */
export class PeerTargetUpdates {
  /** Monotonic time since which this host's targets differ from those of a host that has read further. */
  private differsSinceMs: number | undefined;
  /** Highest offset of a change that was applied from an update of another host; -1 for none. */
  private latestOffset = -1;
  private readIsNeeded = false;

  /**
   * @param state - State to change.
   * @param logger - Logger of the process.
   */
  constructor(
    private readonly state: DeploymentState,
    private readonly logger: Logger,
  ) {}

  /**
   * Checks whether changes from beyond the end of a read were applied meanwhile; applying the read would
   * undo them. If so, the offset of these changes is lowered to the end of the read, so that the next read
   * is applied in any case and a reported offset that the log never reaches cannot block all reads.
   *
   * @param next - Offset up to which the log was read.
   * @returns Whether the read has to be discarded.
   */
  discardBeyond(next: number): boolean {
    const beyond = this.latestOffset >= next;
    if (beyond) this.latestOffset = next - 1;
    return beyond;
  }

  /** Whether this host has to read the store, because the updates of other hosts left a difference. */
  get needsRead(): boolean {
    return this.readIsNeeded;
  }

  /** Records that this host is up to date, so that it need not read the store. */
  markCaughtUp(): void {
    this.readIsNeeded = false;
    this.differsSinceMs = undefined;
  }

  /**
   * Applies the update of another host.
   *
   * @param update - Update of a host that has read at least as far as this one.
   * @param next - Offset up to which this host has read the targets.
   * @param confirmedMs - Monotonic time at which this host was last known to be up to date, in milliseconds.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Whether this host now knows the same targets as the other one.
   */
  apply(
    update: FeedUpdate,
    next: number,
    confirmedMs: number,
    nowMs: number,
  ): boolean {
    const {state} = this;
    // Fixed before the loop: removals that one read found at once share an offset, and all must be applied.
    const known = Math.max(next - 1, this.latestOffset);
    for (const {offset, id, entry, keepMs} of update.changes) {
      if (offset <= known) {
        // Positions can pass a record before it comes. A cold time may be applied late, as it only ever grows.
        if (entry) state.extendCold(entry, nowMs);
        continue;
      }
      const change = {kind: 'target', id, entry} as const;
      state.apply([{offset, change}], nowMs, keepMs > 0 ? nowMs + keepMs : 0);
      this.latestOffset = Math.max(this.latestOffset, offset);
    }
    for (const cold of update.coldTimes ?? []) state.extendCold(cold, nowMs);
    if (update.digest === state.targetsDigest) {
      this.markCaughtUp();
      return true;
    }
    // The other host was up to date less recently than this one, so it is the one that is behind.
    if (nowMs - update.targetsAgeMs <= confirmedMs) return false;
    this.differsSinceMs ??= nowMs;
    if (nowMs - this.differsSinceMs < catchUpMs) return false;
    this.logger.event('targetsDiffer', {targets: next, heard: update.targets});
    this.differsSinceMs = undefined;
    this.readIsNeeded = true;
    return false;
  }
}
