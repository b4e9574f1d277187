import type {LogClient} from '../connection/platform/log-client.js';
import {
  LogFollower,
  type FollowerEvent,
} from '../connection/platform/log-follower.js';
import type {Clock} from '../process/clock.js';
import type {Logger} from '../process/logger.js';
import {subscribe} from '../process/subject.js';
import {configStream, type ConfigStore} from './config-store.js';
import {
  loadInitialState,
  type PeerSnapshots,
} from './snapshots/snapshot-loader.js';

/** Dependencies of the feed. */
export interface ConfigFeedParts {
  readonly log: LogClient;
  readonly store: ConfigStore;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Returns a uniform random number in 0..1, for the jitter of retries. */
  readonly random: () => number;
  /** Other hosts, from which a snapshot is fetched while the log cannot provide one. */
  readonly peers?: PeerSnapshots;
}

/** Feeds the store from the log, or from peers while the log is unavailable. */
export class ConfigFeed {
  private readonly follower: LogFollower;
  private unsubscribe = () => {};
  private stopped = false;
  private loading = false;
  private up: boolean | undefined;
  private caughtUp = false;

  /**
   * @param parts - Dependencies, shared with the rest of the process.
   */
  constructor(private readonly parts: ConfigFeedParts) {
    const {log, clock, random} = parts;
    this.follower = new LogFollower(log, configStream, clock, random);
  }

  /** Whether the last read of the log succeeded; true before the first read. */
  get logUp(): boolean {
    return this.up !== false;
  }

  /** Whether the store has once reached the end of the log or the configuration of a peer. */
  get complete(): boolean {
    return this.caughtUp;
  }

  /** Loads an initial state and follows the log from there. */
  async start(): Promise<void> {
    this.unsubscribe = subscribe(this.follower.events, event =>
      this.take(event),
    );
    await this.load();
    if (!this.stopped) this.follower.start(() => this.parts.store.state.offset);
  }

  /** Stops following the log. */
  stop(): void {
    this.stopped = true;
    this.unsubscribe();
    this.follower.stop();
  }

  private take(event: FollowerEvent): void {
    const {store, logger} = this.parts;
    if (event.kind === 'records') {
      if (this.up === false) logger.event('logRecovered');
      this.up = true;
      store.post({kind: 'records', records: event.records});
      if (store.state.offset >= event.next) this.caughtUp = true;
      return;
    }
    if (event.kind === 'truncated') {
      logger.event('logTruncated', {first: event.first});
      void this.load();
      return;
    }
    if (this.up !== false) {
      logger.event('logUnavailable', {reason: event.failure.message});
    }
    this.up = false;
    if (!this.caughtUp) void this.load();
  }

  private async load(): Promise<void> {
    if (this.loading) return;
    this.loading = true;
    try {
      const {log, peers, store, logger} = this.parts;
      const found = await loadInitialState(log, peers);
      if (!found || this.stopped) return;
      const {offset} = found.state;
      if (offset > store.state.offset) {
        store.post({kind: 'snapshot', state: found.state});
        logger.event('configSnapshotLoaded', {offset, source: found.source});
      }
      // The peer serves requests with this state, so this host may do so too.
      if (found.source === 'peer') this.caughtUp = true;
    } finally {
      this.loading = false;
    }
  }
}
