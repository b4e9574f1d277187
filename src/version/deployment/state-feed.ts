import {
  feeds,
  type Feed,
  type SharedStore,
} from '../../connection/store/shared-store.js';
import {InterruptibleSleep, type Clock} from '../../process/clock.js';
import {FailureError} from '../../process/errors/catalogue.js';
import type {Bounds} from '../../process/gateway-settings.js';
import type {Logger} from '../../process/logger.js';
import type {DeploymentState} from './deployment-state.js';
import {FeedReader, ownRead, readOutcomes} from './feed-reader.js';
import {maxAgeMs, roundAgeMs, type FeedUpdate} from './feed-update.js';
import {PeerTargetUpdates} from './peer-target-updates.js';
import {ReadSchedule} from './read-schedule.js';
import {applyStateCopy, copyState, type StateCopy} from './state-copy.js';
import {StoreOutage} from './store-outage.js';
import {TargetsView} from './targets-view.js';

/** Logs that one host reads on behalf of all; it shares the result by gossip. */
type SharedFeed = typeof feeds.orders | typeof feeds.targets;

/** Interval between reads of rollout statuses while a rollout runs, in milliseconds. */
const statusesIntervalMs = 700;
/** Interval between reads of the list of hosts, in milliseconds. New hosts also announce themselves by gossip. */
const hostsIntervalMs = 30_000;
/** Delays before retries of failed calls, in milliseconds: the first, and the maximum. */
const minRetryDelayMs = 150;
const maxRetryDelayMs = 800;

/** Dependencies of a {@link StateFeed}. */
export interface StateFeedParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: SharedStore;
  readonly state: DeploymentState;
  readonly bounds: Pick<Bounds, 'configMs' | 'drainMs'>;
  /**
   * Number of live hosts that precede this one in the reading order of a log. While this host's calls fail
   * (`failing`), all live hosts count; otherwise only those that reach the store.
   */
  readonly position: (feed: Feed, failing: boolean) => number;
  /** Called after each read, so that the result is sent to other hosts. */
  readonly onRead: (changed: boolean) => void;
  /** Random number in [0, 1): jitter for the calls of hosts that started together. */
  readonly random: () => number;
  readonly onUnreadable: (feed: Feed) => void;
  /** Called when the store was restored from a copy, once for each time. */
  readonly onRestored: () => void;
}

/** Keeps the deployment state up to date from the logs of the store and the reports of other hosts. */
export class StateFeed {
  private readonly reader: FeedReader;
  /** Whether and since when reads of the store fail. */
  readonly outage: StoreOutage;
  private stopped = false;
  private readonly schedules: Readonly<Record<SharedFeed, ReadSchedule>>;
  /** Sleeps of the loops that read the shared logs. */
  private readonly sleeps: Readonly<Record<SharedFeed, InterruptibleSleep>>;
  /** Highest position up to which another host reported to have read orders. */
  private reportedOrders = -1;
  /** Whether the targets are to be read before this host's next turn. */
  private areTargetsDue = false;
  private readonly heard: PeerTargetUpdates;
  /** This host's view of the targets, and whether it may be used. */
  readonly targetsView: TargetsView;

  /** @param parts - Dependencies. */
  constructor(private readonly parts: StateFeedParts) {
    const {configMs, drainMs} = parts.bounds;
    this.sleeps = {
      orders: new InterruptibleSleep(parts.clock),
      targets: new InterruptibleSleep(parts.clock),
    };
    this.outage = new StoreOutage(parts.clock, parts.logger, drainMs);
    this.heard = new PeerTargetUpdates(parts.state, parts.logger);
    this.schedules = {
      orders: new ReadSchedule(configMs, true),
      // No long polling: the heartbeats of targets would end every poll at once.
      targets: new ReadSchedule(drainMs, false),
    };
    this.targetsView = new TargetsView({
      clock: parts.clock,
      logger: parts.logger,
      schedule: this.schedules.targets,
      outage: this.outage,
      boundMs: drainMs,
    });
    const {heard, outage, targetsView} = this;
    this.reader = new FeedReader({...parts, heard, outage, targetsView});
  }

  /** Time for which a target goes on serving after it announced that it leaves, in milliseconds. */
  get drainMs(): number {
    return this.parts.bounds.drainMs;
  }

  /** Starts reading orders, targets and rollout statuses. */
  start(): void {
    void this.followShared(feeds.orders);
    void this.followShared(feeds.targets);
    void this.follow(feeds.statuses, statusesIntervalMs, () =>
      this.hasOpenRollout(),
    );
  }

  /** Starts reading the list of hosts; called once this host has registered itself. */
  startHosts(): void {
    void this.follow(feeds.hosts, hostsIntervalMs);
  }

  /** Stops reading after the calls in progress. */
  stop(): void {
    this.stopped = true;
    for (const sleep of Object.values(this.sleeps)) sleep.interrupt();
  }

  /** Builds the report of this host's read positions and recent changes for the other hosts. */
  composeUpdate(): FeedUpdate {
    const nowMs = this.parts.clock.nowMs();
    const {orders, targets} = this.schedules;
    return {
      ...this.offsets,
      ordersAgeMs: roundAgeMs(nowMs - orders.confirmedMs),
      ordersReadAtMs: orders.confirmedBy.readAtMs,
      configuration: this.parts.state.configuration?.version ?? 0,
      targetsAgeMs: roundAgeMs(nowMs - targets.confirmedMs),
      targetsReadAtMs: targets.confirmedBy.readAtMs,
      digest: this.parts.state.targetsDigest,
      ...this.reader.recent.list(nowMs),
    };
  }

  /**
   * Applies what another host has read.
   *
   * @param peer - Report of the other host.
   * @param from - Name of the other host.
   * @param composedAtMs - Monotonic time before which the report was not composed, in milliseconds.
   */
  receiveUpdate(peer: FeedUpdate, from: string, composedAtMs: number): void {
    const {orders, targets} = this.offsets;
    const ageMs = Math.min(peer.ordersAgeMs, peer.targetsAgeMs);
    this.outage.responded(composedAtMs - ageMs);
    if (orders >= 0 && peer.orders > orders) {
      this.reportedOrders = Math.max(this.reportedOrders, peer.orders);
      this.sleeps.orders.interrupt();
    } else if (peer.orders === orders) {
      this.schedules.orders.confirm(composedAtMs - peer.ordersAgeMs, {
        by: from,
        readAtMs: peer.ordersReadAtMs,
      });
    }
    if (targets >= 0 && peer.targets >= targets) {
      this.syncTargets(peer, from, composedAtMs);
    }
  }

  private syncTargets(
    peer: FeedUpdate,
    from: string,
    composedAtMs: number,
  ): void {
    const nowMs = this.parts.clock.nowMs();
    const schedule = this.schedules.targets;
    const digest = this.parts.state.targetsDigest;
    const same = this.heard.apply(
      peer,
      this.offsets.targets,
      schedule.confirmedMs,
      nowMs,
    );
    this.targetsView.reported(composedAtMs - peer.targetsAgeMs);
    if (this.parts.state.targetsDigest !== digest)
      this.targetsView.logChange(from);
    if (same) {
      schedule.confirm(composedAtMs - peer.targetsAgeMs, {
        by: from,
        readAtMs: peer.targetsReadAtMs,
      });
      this.reader.advance(feeds.targets, peer.targets);
    } else if (this.heard.needsRead) {
      this.sleeps.targets.interrupt();
    }
  }

  private isBehind(feed: SharedFeed): boolean {
    return feed === feeds.orders
      ? this.reportedOrders > this.offsets.orders
      : this.areTargetsDue || this.heard.needsRead;
  }

  /** Positions up to which orders and targets were read; -1 before the first read. */
  get offsets(): {readonly orders: number; readonly targets: number} {
    return {
      orders: this.reader.position(feeds.orders) ?? -1,
      targets: this.reader.position(feeds.targets) ?? -1,
    };
  }

  /** Whether the list of hosts was read. */
  get knowsHosts(): boolean {
    return this.reader.position(feeds.hosts) !== undefined;
  }

  /** Position at which the log of statuses ended when it was last read, if it was. */
  get statusesEnd(): number | undefined {
    return this.reader.position(feeds.statuses);
  }

  /** Copies the deployment state of this host for another one. */
  copyState(): StateCopy {
    const {clock, state} = this.parts;
    return copyState(state, this.composeUpdate(), clock.nowMs());
  }

  /**
   * Applies a copy of another host's state.
   *
   * @param copy - Copy of the other host.
   * @param from - Name of the other host.
   * @param requestedAtMs - Monotonic time before which the copy was not made, in milliseconds.
   */
  adoptCopy(copy: StateCopy, from: string, requestedAtMs: number): void {
    const {clock, state} = this.parts;
    const {offsets} = this;
    applyStateCopy(state, copy, offsets, clock.nowMs());
    for (const feed of [feeds.orders, feeds.targets] as const) {
      if (copy.offsets[feed] <= offsets[feed]) continue;
      this.reader.advance(feed, copy.offsets[feed]);
      const atMs = requestedAtMs - (copy.ages?.[feed] ?? maxAgeMs);
      this.schedules[feed].confirm(atMs, {by: from, readAtMs: 0});
    }
  }

  /** Reads the log of targets at once instead of at this host's next turn. */
  readTargets(): void {
    this.areTargetsDue = true;
    this.sleeps.targets.interrupt();
  }

  /**
   * Reads the log of rollout statuses immediately.
   *
   * @throws {@link FailureError} of kind `store-*`.
   */
  async readStatuses(): Promise<void> {
    await this.reader.read(feeds.statuses, 0);
  }

  private hasOpenRollout(): boolean {
    return this.parts.state.orders.size > 0;
  }

  /** Reads a shared log whenever the schedule says that this host is due. */
  private async followShared(feed: SharedFeed): Promise<void> {
    const {clock, random} = this.parts;
    const plan = this.schedules[feed];
    while (!this.stopped) {
      const failing = this.outage.affects(feed);
      const position = this.parts.position(feed, failing);
      const startMs = clock.nowMs();
      const readAtMs = clock.wallMs();
      const leftMs = plan.dueAtMs(position, this.isBehind(feed)) - startMs;
      if (leftMs > 0) {
        await this.sleeps[feed].sleep(leftMs);
        continue;
      }
      try {
        this.outage.started(feed);
        if (feed === feeds.targets) this.areTargetsDue = false;
        const read = await this.reader.read(feed, plan.waitMs);
        plan.succeeded();
        this.outage.succeeded(feed);
        if (read === readOutcomes.overtaken) continue;
        const spentMs = clock.nowMs() - startMs;
        // A long poll that timed out proves that nothing was written until its end. One that returned
        // records proves nothing about the time after its start, however late it is processed.
        const timedOut = read === readOutcomes.empty && spentMs >= plan.waitMs;
        plan.confirm(startMs + (timedOut ? plan.waitMs : 0), {
          by: ownRead,
          readAtMs,
        });
        if (feed === feeds.targets) this.heard.markCaughtUp();
        this.parts.onRead(read === readOutcomes.changed);
      } catch (err) {
        if (!(err instanceof FailureError)) throw err;
        plan.failed(clock.nowMs(), random());
        this.outage.failed(feed, err.failure);
      }
    }
  }

  /** Reads a log at a fixed interval, independently of other hosts. */
  private async follow(
    feed: Feed,
    intervalMs: number,
    isNeeded: () => boolean = () => true,
  ): Promise<void> {
    const {clock, random} = this.parts;
    let retryDelayMs = minRetryDelayMs;
    while (!this.stopped) {
      const startMs = clock.nowMs();
      if (isNeeded()) {
        try {
          await this.reader.read(feed, 0);
          this.outage.succeeded(feed);
          retryDelayMs = minRetryDelayMs;
        } catch (err) {
          if (!(err instanceof FailureError)) throw err;
          this.outage.failed(feed, err.failure);
          await this.sleep(retryDelayMs * (0.5 + random()));
          retryDelayMs = Math.min(maxRetryDelayMs, retryDelayMs * 2);
          continue;
        }
      }
      const spentMs = clock.nowMs() - startMs;
      await this.sleep(
        Math.max(10, intervalMs * (0.9 + 0.2 * random()) - spentMs),
      );
    }
  }

  private sleep(ms: number): Promise<void> {
    return new Promise(resolve => this.parts.clock.after(ms, resolve));
  }
}
