import {feeds, type Feed} from '../../connection/store/shared-store.js';
import type {Clock} from '../../process/clock.js';
import type {Failure} from '../../process/errors/catalogue.js';
import type {Logger} from '../../process/logger.js';
import {expiryGraceMs} from './deployment-state.js';

/** Tracks whether this host's reads of the store fail, and since when. */
export class StoreOutage {
  private readonly failingSinceMs = new Map<Feed, number>();
  /** Monotonic time at which the last outage ended, in milliseconds. */
  private endedAtMs = -Infinity;

  /**
   * @param clock - Clock of the process.
   * @param logger - Logger of the process.
   */
  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /**
   * Duration of the current outage.
   *
   * @returns Milliseconds since reads of orders or targets began to fail; 0 if they succeed.
   */
  get durationMs(): number {
    const since = Math.min(
      this.failingSinceMs.get(feeds.orders) ?? Infinity,
      this.failingSinceMs.get(feeds.targets) ?? Infinity,
    );
    return since === Infinity ? 0 : this.clock.nowMs() - since;
  }

  /**
   * Checks whether the last read of a log failed.
   *
   * @param feed - Log.
   */
  affects(feed: Feed): boolean {
    return this.failingSinceMs.has(feed);
  }

  /**
   * Computes until when targets whose entries expire are kept: they are written again soon after an outage.
   *
   * @returns Monotonic time, in milliseconds; in the past if there was no recent outage.
   */
  keepExpiredUntilMs(): number {
    if (this.durationMs > 0) return this.clock.nowMs() + expiryGraceMs;
    return this.endedAtMs + expiryGraceMs;
  }

  /**
   * Records a successful read.
   *
   * @param feed - Log that was read.
   */
  succeeded(feed: Feed): void {
    const sinceMs = this.failingSinceMs.get(feed);
    if (sinceMs === undefined) return;
    this.failingSinceMs.delete(feed);
    this.endedAtMs = this.clock.nowMs();
    const awayMs = Math.round(this.endedAtMs - sinceMs);
    this.logger.event('storeRegained', {feed, awayMs});
  }

  /**
   * Records a failed read.
   *
   * @param feed - Log that was read.
   * @param failure - Why it failed.
   */
  failed(feed: Feed, failure: Failure): void {
    if (this.failingSinceMs.has(feed)) return;
    this.failingSinceMs.set(feed, this.clock.nowMs());
    this.logger.event('storeLost', {feed, ...failure});
  }
}
