import {feeds} from '../../connection/store/shared-store.js';
import type {Clock} from '../../process/clock.js';
import type {Logger} from '../../process/logger.js';
import type {ReadSchedule} from './read-schedule.js';
import type {StoreOutage} from './store-outage.js';

/**
 * Age up to which a view of the targets is used for new requests, as a fraction of the time within which a
 * change must be known. The rest is for sending the request: a new connection and a slow event loop.
 */
const usableShare = 0.9;
/** Minimum time between two log lines about requests that are sent by an old view, in milliseconds. */
const useLogIntervalMs = 1000;

/** Dependencies of a {@link TargetsView}. */
export interface TargetsViewParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly schedule: ReadSchedule;
  readonly outage: StoreOutage;
  /** Time within which a change of the targets must be known, in milliseconds. */
  readonly boundMs: number;
}

/**
 * Knows how old this host's view of the targets is, and decides whether it is recent enough for new requests. A
 * view that is too old holds requests while a newer one can be had: from the store, or from a host that
 * has one. If nobody can have a newer one, because the store responds to none, serving goes on with the
 * targets that are known.
 */
export class TargetsView {
  /** Monotonic time of the newest view that another host reported, in milliseconds. */
  private newestReportedMs = -Infinity;
  private holding = false;
  private useLoggedMs = -Infinity;

  /** @param parts - Dependencies. */
  constructor(private readonly parts: TargetsViewParts) {}

  /**
   * Records the view of another host that has read at least as far as this one.
   *
   * @param atMs - Monotonic time at which that host was up to date, in milliseconds.
   */
  reported(atMs: number): void {
    this.newestReportedMs = Math.max(this.newestReportedMs, atMs);
  }

  /** Time since the view was last known to be up to date, in milliseconds. */
  get ageMs(): number {
    return this.parts.clock.nowMs() - this.parts.schedule.confirmedMs;
  }

  /**
   * Logs how old the view was when it changed, by the ages in messages and by wall clocks.
   *
   * @param by - What changed it; see {@link Confirmation.by}.
   */
  logChange(by: string): void {
    const {clock, logger, schedule} = this.parts;
    const {by: confirmedBy, readAtMs} = schedule.confirmedBy;
    logger.event('targetsViewChanged', {
      by,
      ageMs: Math.round(this.ageMs),
      readAgeMs: clock.wallMs() - readAtMs,
      confirmedBy,
    });
  }

  /**
   * Logs that a request is sent by a view that is too old, because the store counts as away. One line a second at most: an
   * outage concerns every request.
   *
   * @param target - Id of the target.
   */
  logUse(target: string): void {
    const {boundMs, clock, logger, outage} = this.parts;
    const {ageMs} = this;
    if (ageMs <= boundMs * usableShare) return;
    const nowMs = clock.nowMs();
    if (nowMs - this.useLoggedMs < useLogIntervalMs) return;
    this.useLoggedMs = nowMs;
    const newestReportedMs = nowMs - this.newestReportedMs;
    logger.event('sentByOldView', {
      target,
      ageMs: Math.round(ageMs),
      newestReportedAgeMs: Math.round(newestReportedMs),
      storeUnanswered: outage.isUnanswered(feeds.targets),
    });
  }

  /** Whether the view is recent enough for new requests. */
  get isCurrent(): boolean {
    const {boundMs, clock, logger, outage, schedule} = this.parts;
    const oldestMs = clock.nowMs() - boundMs * usableShare;
    const {confirmedMs} = schedule;
    const isCurrent =
      confirmedMs >= oldestMs ||
      (outage.isUnanswered(feeds.targets) && this.newestReportedMs < oldestMs);
    if (isCurrent === this.holding) {
      this.holding = !isCurrent;
      logger.event(isCurrent ? 'viewCurrent' : 'viewTooOld', {
        ageMs: Math.round(this.ageMs),
      });
    }
    return isCurrent;
  }
}
