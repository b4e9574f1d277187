import {
  eraOf,
  offsetOf,
  positionOf,
  SharedStore,
  type AppendResult,
  type Feed,
  type FeedRecord,
  type ReadResult,
  type Snapshot,
} from '../../src/connection/store/shared-store.js';
import {FailureError} from '../../src/process/errors/catalogue.js';
import type {
  Change,
  RolloutStatus,
} from '../../src/version/deployment/types.js';

/** In-memory store. Waiting reads return at the next append. */
export class MemoryStore extends SharedStore {
  private readonly logs = new Map<Feed, Change[]>();
  private waiters: (() => void)[] = [];
  private era = 0;
  /** Whether all calls fail. */
  down = false;

  put(feed: Feed, change: Change): void {
    this.log(feed).push(change);
    this.wake();
  }

  /** Number of records of a log. */
  size(feed: Feed): number {
    return this.log(feed).length;
  }

  /** Restores the store from a copy that holds only the first records of each log; logs without a size lose none. */
  restore(sizes: Partial<Record<Feed, number>>): void {
    for (const [feed, size] of Object.entries(sizes)) {
      this.log(feed as Feed).splice(size);
    }
    this.era++;
    this.wake();
  }

  statuses(): RolloutStatus[] {
    return this.log('statuses').flatMap(change =>
      change.kind === 'rollout-status' && change.status ? change.status : [],
    );
  }

  override async newest(feed: Feed): Promise<Snapshot> {
    this.check();
    return {
      records: this.recordsFrom(feed, 0),
      next: positionOf(this.era, this.size(feed)),
    };
  }

  override async read(
    feed: Feed,
    from: number,
    waitMs: number,
  ): Promise<ReadResult> {
    this.check();
    const {era} = this;
    const isCurrent = () => this.era === era && era === eraOf(from);
    if (isCurrent() && this.size(feed) <= offsetOf(from) && waitMs > 0) {
      await new Promise<void>(resolve => this.waiters.push(resolve));
      this.check();
    }
    if (!isCurrent()) return {kind: 'restored', era: this.era};
    const records = this.recordsFrom(feed, offsetOf(from));
    return {kind: 'records', records, next: from + records.length};
  }

  override async appendStatus(
    status: RolloutStatus,
    end: number,
  ): Promise<AppendResult> {
    this.check();
    if (positionOf(this.era, this.size('statuses')) !== end) {
      return {kind: 'conflict'};
    }
    const {service} = status;
    this.put('statuses', {kind: 'rollout-status', service, status});
    return {kind: 'appended'};
  }

  override async register(
    host: string,
    entry: {readonly ip: string; readonly zone: string} | undefined,
  ): Promise<void> {
    this.check();
    this.put('hosts', {kind: 'host', host, entry: entry && {host, ...entry}});
  }

  override async close(): Promise<void> {}

  private recordsFrom(feed: Feed, offset: number): FeedRecord[] {
    return this.log(feed)
      .slice(offset)
      .map((change, i) => ({
        offset: positionOf(this.era, offset + i),
        change,
      }));
  }

  private wake(): void {
    for (const wake of this.waiters.splice(0)) wake();
  }

  private check(): void {
    if (!this.down) return;
    throw new FailureError({kind: 'store-refused', call: 'any', status: 503});
  }

  private log(feed: Feed): Change[] {
    let log = this.logs.get(feed);
    if (!log) {
      log = [];
      this.logs.set(feed, log);
    }
    return log;
  }
}
