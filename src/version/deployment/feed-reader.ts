import {
  eraOf,
  feeds,
  offsetOf,
  type Feed,
  type FeedRecord,
  type SharedStore,
} from '../../connection/store/shared-store.js';
import type {Clock} from '../../process/clock.js';
import {FailureError} from '../../process/errors/catalogue.js';
import type {Logger} from '../../process/logger.js';
import type {DeploymentState} from './deployment-state.js';
import {RecentChanges} from './feed-update.js';
import type {PeerTargetUpdates} from './peer-target-updates.js';
import type {StoreOutage} from './store-outage.js';
import type {TargetsView} from './targets-view.js';

/** Result of one read of a log. */
export const readOutcomes = {
  changed: 'changed',
  unchanged: 'unchanged',
  /** The log held no further record until the end of the poll. */
  empty: 'empty',
  /** Discarded: while it ran, other hosts reported records beyond its end. */
  overtaken: 'overtaken',
} as const;

/** One of {@link readOutcomes}. */
export type ReadOutcome = (typeof readOutcomes)[keyof typeof readOutcomes];

/** Name of the evidence of a host's own reads; see {@link Confirmation.by}. */
export const ownRead = 'store';

/** Dependencies of a {@link FeedReader}. */
export interface FeedReaderParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: SharedStore;
  readonly state: DeploymentState;
  readonly outage: StoreOutage;
  readonly heard: PeerTargetUpdates;
  readonly targetsView: TargetsView;
  readonly onUnreadable: (feed: Feed) => void;
  /** Called when the store was restored from a copy, once for each time. */
  readonly onRestored: () => void;
}

/** Reads the logs of the store and applies their records to the deployment state. */
export class FeedReader {
  private readonly positions = new Map<Feed, number>();
  private era = -1;
  /** Changes that this host has read and announces to other hosts. */
  readonly recent = new RecentChanges();

  /** @param parts - Dependencies. */
  constructor(private readonly parts: FeedReaderParts) {}

  /**
   * Looks up the position up to which a log was read.
   *
   * @param feed - Log.
   * @returns The position, or `undefined` before the first read.
   */
  position(feed: Feed): number | undefined {
    return this.positions.get(feed);
  }

  /**
   * Moves the position in a log forward, because another host has read further.
   *
   * @param feed - Log.
   * @param position - Position up to which the state is known to be applied.
   */
  advance(feed: Feed, position: number): void {
    if (position > (this.positions.get(feed) ?? -1)) {
      this.positions.set(feed, position);
    }
  }

  /**
   * Reads a log from where the last read ended.
   *
   * @param feed - Log.
   * @param waitMs - Maximum time that the store waits for a record if there is none, in milliseconds.
   * @throws {@link FailureError} of kind `store-*`.
   */
  async read(feed: Feed, waitMs: number): Promise<ReadOutcome> {
    const {clock, logger, outage, state, store, targetsView} = this.parts;
    const from = this.positions.get(feed);
    if (from === undefined) return this.readNewest(feed);
    const result = await store.read(feed, from, waitMs);
    // Meanwhile a state copy or report of another host may have moved the position past this page.
    if ((this.positions.get(feed) ?? 0) > from) return readOutcomes.overtaken;
    if (result.kind === 'restored') return this.readNewest(feed);
    if (result.kind === 'truncated') {
      const {first} = result;
      logger.event('feedTruncated', {feed, from, first});
      return this.readNewest(feed);
    }
    if (this.isOvertaken(feed, result.next)) return readOutcomes.overtaken;
    const readable = this.readable(feed, result.records);
    const changed = state.apply(
      readable,
      clock.nowMs(),
      outage.keepExpiredUntilMs(),
    );
    this.positions.set(feed, result.next);
    if (feed === feeds.targets && changed.length > 0) {
      targetsView.logChange(ownRead);
    }
    this.announce(changed, readable);
    if (result.records.length === 0) return readOutcomes.empty;
    return changed.length > 0 ? readOutcomes.changed : readOutcomes.unchanged;
  }

  private isOvertaken(feed: Feed, next: number): boolean {
    return feed === feeds.targets && this.parts.heard.discardBeyond(next);
  }

  private async readNewest(feed: Feed): Promise<ReadOutcome> {
    const {clock, outage, state, store} = this.parts;
    const from = this.positions.get(feed);
    const {records, next} = await store.newest(feed);
    const known = this.positions.get(feed);
    if (known !== undefined && next < known) {
      if (known !== from) return readOutcomes.overtaken;
      throw new FailureError({
        kind: 'store-unreachable',
        reason: `the log ends at ${next}, before ${known} that was read`,
      });
    }
    if (this.isOvertaken(feed, next)) return readOutcomes.overtaken;
    const isRestored = known !== undefined && eraOf(next) > eraOf(known);
    this.enterEra(feed, next, known);
    const readable = this.readable(feed, records);
    const nowMs = clock.nowMs();
    const keepUntilMs = outage.keepExpiredUntilMs();
    const changed = isRestored
      ? state.restore(feed, readable, nowMs, keepUntilMs)
      : state.replace(feed, readable, nowMs, keepUntilMs);
    this.positions.set(feed, next);
    // The first read is new to this host only, so it is not announced.
    if (known === undefined) return readOutcomes.unchanged;
    // A removal without a record in the snapshot is announced at the last position before its end.
    this.announce(
      changed.map(record => ({
        ...record,
        offset: record.offset > 0 ? record.offset : next - 1,
      })),
      readable.filter(record => !changed.includes(record)),
    );
    return changed.length > 0 ? readOutcomes.changed : readOutcomes.unchanged;
  }

  /** Takes note of the era of the store; it rises when the store is restored from a copy. */
  private enterEra(feed: Feed, next: number, known: number | undefined): void {
    const {logger, onRestored, outage} = this.parts;
    const era = eraOf(next);
    if (known !== undefined && era > eraOf(known)) {
      const lostFrom = offsetOf(known);
      const fields = {feed, era, from: lostFrom, next: offsetOf(next)};
      logger.event('storeRestored', fields);
    }
    if (era <= this.era) return;
    const isFirst = this.era < 0;
    this.era = era;
    if (isFirst) return;
    outage.restored();
    onRestored();
  }

  private announce(changed: FeedRecord[], read: FeedRecord[] = []): void {
    const {clock, state} = this.parts;
    const keptUntilMs = (id: string) => state.targets.get(id)?.goneAtMs ?? 0;
    this.recent.add(changed, read, clock.nowMs(), keptUntilMs);
  }

  private readable(feed: Feed, records: readonly FeedRecord[]): FeedRecord[] {
    const {logger, onUnreadable} = this.parts;
    return records.filter(({offset, change}) => {
      if (change.kind !== 'unreadable') return true;
      onUnreadable(feed);
      logger.event('recordUnreadable', {feed, offset, ...change});
      return false;
    });
  }
}
