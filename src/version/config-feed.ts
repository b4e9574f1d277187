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

/** Parts that the feed uses. */
export interface ConfigFeedParts {
  readonly log: LogClient;
  readonly store: ConfigStore;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Uniform random number in 0..1, for the jitter after failures. */
  readonly random: () => number;
  /** Other hosts, asked for a snapshot while the log cannot provide one. */
  readonly peers?: PeerSnapshots;
}

/** Brings the configuration from the log, or from peers while the log is down, into the store. */
export class ConfigFeed {
  private readonly follower: LogFollower;
  private unsubscribe = () => {};
  private stopped = false;
  private loading = false;
  private up: boolean | undefined;
  private caughtUp = false;

  /**
   * @param parts - Parts of the process.
   */
  constructor(private readonly parts: ConfigFeedParts) {
    const {log, clock, random} = parts;
    this.follower = new LogFollower(log, configStream, clock, random);
  }

  /** Whether the last read of the log succeeded; true before the first read. */
  get logUp(): boolean {
    return this.up !== false;
  }

  /** Whether the configuration was once complete: up to the log's end, or as new as a peer's. */
  get complete(): boolean {
    return this.caughtUp;
  }

  /** Loads a start state and follows the log from there. */
  async start(): Promise<void> {
    this.unsubscribe = subscribe(this.follower.events, event =>
      this.take(event),
    );
    await this.load();
    if (!this.stopped) this.follower.start(() => this.parts.store.state.offset);
  }

  /** Stops to follow the log. */
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
      // A peer serves requests with this state, so this host may do the same.
      if (found.source === 'peer') this.caughtUp = true;
    } finally {
      this.loading = false;
    }
  }
}
