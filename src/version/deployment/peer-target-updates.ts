import type {Logger} from '../../process/logger.js';
import type {DeploymentState} from './deployment-state.js';
import type {FeedUpdate} from './feed-update.js';

/**
 * Time for which this host's targets may differ from those of a host that has read further, in
 * milliseconds. Its next message may tell what is missing; after that the store is read.
 */
const missedMs = 300;

/** Takes over changes of targets that other hosts have read from the store. */
export class PeerTargetUpdates {
  /** Since when this host's targets differ from those of a host that has read further. */
  private missingSinceMs: number | undefined;
  private latestOffset = -1;
  private hasMissed = false;

  /**
   * @param state - What this host knows.
   * @param logger - Log of the process.
   */
  constructor(
    private readonly state: DeploymentState,
    private readonly logger: Logger,
  ) {}

  /**
   * Tells whether other hosts have told what lies beyond a read, which would be undone by it, and drops
   * that offset: the next read counts in any case, so that an offset which the log never reaches does not
   * stop the reads.
   *
   * @param next - Offset up to which the log was read.
   */
  discardBeyond(next: number): boolean {
    const beyond = this.latestOffset >= next;
    if (beyond) this.latestOffset = next - 1;
    return beyond;
  }

  /** Whether the store must be read because the news of other hosts were not enough. */
  get needsRead(): boolean {
    return this.hasMissed;
  }

  /** Notes that this host has read the store itself. */
  markCaughtUp(): void {
    this.hasMissed = false;
    this.missingSinceMs = undefined;
  }

  /**
   * Takes over the news of another host.
   *
   * @param news - News of a host that has read at least as far as this one.
   * @param next - Offset up to which this host knows the targets.
   * @param confirmedMs - Time at which its targets were last known to be those of the store.
   * @param nowMs - Time on the process's clock, in milliseconds.
   * @returns Whether this host now knows the same targets as the other one.
   */
  apply(
    news: FeedUpdate,
    next: number,
    confirmedMs: number,
    nowMs: number,
  ): boolean {
    const {state} = this;
    // Removals that one read has found missing share an offset, so the bound holds for the whole message.
    const known = Math.max(next - 1, this.latestOffset);
    for (const {offset, id, entry, keepMs} of news.changes) {
      if (offset <= known) continue;
      const change = {kind: 'target', id, entry} as const;
      state.apply([{offset, change}], nowMs, keepMs > 0 ? nowMs + keepMs : 0);
      this.latestOffset = Math.max(this.latestOffset, offset);
    }
    if (news.digest === state.targetsDigest) {
      this.markCaughtUp();
      return true;
    }
    // A host that has read less than this one differs because it is behind.
    if (nowMs - news.targetsAgeMs <= confirmedMs) return false;
    this.missingSinceMs ??= nowMs;
    if (nowMs - this.missingSinceMs < missedMs) return false;
    this.logger.event('newsMissed', {targets: next, heard: news.targets});
    this.missingSinceMs = undefined;
    this.hasMissed = true;
    return false;
  }
}
