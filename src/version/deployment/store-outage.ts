import {feeds, type Feed} from '../../connection/store/shared-store.js';
import type {Clock} from '../../process/clock.js';
import type {Failure} from '../../process/errors/catalogue.js';
import type {Logger} from '../../process/logger.js';
import {expiryGraceMs} from './deployment-state.js';

/** Time after which a read without a response counts as unanswered, in milliseconds; a slow store needs 240 ms. */
const patienceMs = 350;

/**
 * Time without any known response of the store after which it counts as down for all, as a fraction of the
 * time within which a change must be known. While it responds to any host, a read of it is known sooner.
 */
const silentShare = 0.8;

/** Tracks whether this host's reads of the store fail, and whether the store responds to any host. */
export class StoreOutage {
  private readonly pendingSinceMs = new Map<Feed, number>();
  private readonly failingSinceMs = new Map<Feed, number>();
  /** Monotonic time of the last known response to this or another host, in milliseconds. */
  private respondedAtMs: number;
  /** Monotonic time of the first response after the store was last silent, in milliseconds. */
  private returnedAtMs = -Infinity;

  /**
   * @param clock - Clock of the process.
   * @param logger - Logger of the process.
   * @param boundMs - Time within which a change must be known, in milliseconds.
   */
  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly boundMs: number,
  ) {
    this.respondedAtMs = clock.nowMs();
  }

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
   * Checks whether the store does not respond to reads of a log: the last one failed, or the current one is
   * taking too long.
   *
   * @param feed - Log that is read without long polls.
   */
  isUnanswered(feed: Feed): boolean {
    const pendingSinceMs = this.pendingSinceMs.get(feed) ?? Infinity;
    return (
      this.failingSinceMs.has(feed) ||
      this.clock.nowMs() - pendingSinceMs > patienceMs
    );
  }

  /**
   * Records that a read begins; {@link succeeded} or {@link failed} ends it.
   *
   * @param feed - Log that is read.
   */
  started(feed: Feed): void {
    this.pendingSinceMs.set(feed, this.clock.nowMs());
  }

  /**
   * Records that the store responded to this or another host.
   *
   * @param atMs - Monotonic time before which the response was not given, in milliseconds.
   */
  responded(atMs: number): void {
    if (atMs <= this.respondedAtMs) return;
    if (this.isSilentAt(atMs)) this.returnedAtMs = atMs;
    this.respondedAtMs = atMs;
  }

  /** Records that the store was restored from a copy: targets that the copy does not list write their entries again. */
  restored(): void {
    this.returnedAtMs = this.clock.nowMs();
  }

  /**
   * Computes until when targets whose entries expire are kept: after an outage of the store they are written
   * again. A host that alone does not reach the store keeps none, because the entries of the others went on.
   *
   * @returns Monotonic time, in milliseconds; in the past if there was no recent outage.
   */
  keepExpiredUntilMs(): number {
    const nowMs = this.clock.nowMs();
    return expiryGraceMs + (this.isSilentAt(nowMs) ? nowMs : this.returnedAtMs);
  }

  private isSilentAt(atMs: number): boolean {
    return atMs - this.respondedAtMs > this.boundMs * silentShare;
  }

  /**
   * Records a successful read.
   *
   * @param feed - Log that was read.
   */
  succeeded(feed: Feed): void {
    const startedAtMs = this.pendingSinceMs.get(feed);
    if (startedAtMs !== undefined) this.responded(startedAtMs);
    this.pendingSinceMs.delete(feed);
    const sinceMs = this.failingSinceMs.get(feed);
    if (sinceMs === undefined) return;
    this.failingSinceMs.delete(feed);
    const awayMs = Math.round(this.clock.nowMs() - sinceMs);
    this.logger.event('storeRegained', {feed, awayMs});
  }

  /**
   * Records a failed read.
   *
   * @param feed - Log that was read.
   * @param failure - Why it failed.
   */
  failed(feed: Feed, failure: Failure): void {
    this.pendingSinceMs.delete(feed);
    if (this.failingSinceMs.has(feed)) return;
    this.failingSinceMs.set(feed, this.clock.nowMs());
    this.logger.event('storeLost', {feed, ...failure});
  }
}
