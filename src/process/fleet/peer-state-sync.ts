import {fetchState} from '../../connection/peer/state-server.js';
import {CallError} from '../../connection/http/http-client.js';
import type {DeploymentState} from '../../version/deployment/deployment-state.js';
import type {StateFeed} from '../../version/deployment/state-feed.js';
import {every, type Cancel, type Clock} from '../clock.js';
import type {Logger} from '../logger.js';
import type {PeerTable} from './peer-table.js';

/** Interval between two checks whether another host has newer state, in milliseconds. */
const intervalMs = 400;
/** Duration of an outage of the store after which state is copied from other hosts, in milliseconds. */
const outageThresholdMs = 300;

/** Dependencies of a {@link PeerStateSync}. */
export interface PeerStateSyncParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly state: DeploymentState;
  readonly feed: StateFeed;
  readonly peers: PeerTable;
  /** Port at which other hosts serve their state. */
  readonly peerPort: number;
  readonly random: () => number;
  /** Called when hosts were added. */
  readonly onHosts: () => void;
}

/** Copies the deployment state from other hosts while this one cannot reach the store. */
export class PeerStateSync {
  private cancel: Cancel = () => {};
  private fetching = false;
  /** Newest version of the configuration that other hosts had in force at the last check. */
  private newestSeen = 0;

  /** @param parts - Dependencies. */
  constructor(private readonly parts: PeerStateSyncParts) {}

  /** Starts checking at intervals. */
  start(): void {
    this.cancel = every(this.parts.clock, intervalMs, () => void this.sync());
  }

  /** Stops checking. */
  stop(): void {
    this.cancel();
  }

  /**
   * Checks whether other hosts have had a newer configuration in force since the last check. Usually this host is about to
   * read it; after the store was restored from a copy, it may not be there.
   */
  private lacksVersion(newest: number, version: number): boolean {
    const isMissing = this.newestSeen > version;
    this.newestSeen = newest;
    return isMissing && newest > version;
  }

  private async sync(): Promise<void> {
    const {clock, feed, logger, onHosts, peerPort, peers, random, state} =
      this.parts;
    const version = state.configuration?.version ?? 0;
    const heard = peers.heard(clock.nowMs());
    const newest = Math.max(
      ...heard.map(({message}) => message?.feedUpdate.configuration ?? 0),
    );
    const isBehind = version === 0 || this.lacksVersion(newest, version);
    if (
      this.fetching ||
      (feed.outage.durationMs < outageThresholdMs && !isBehind)
    )
      return;
    const {orders, targets} = feed.offsets;
    const ahead = heard.filter(({message}) => {
      if (!message) return false;
      const {feedUpdate: update} = message;
      if (update.configuration > version) return true;
      const differs = update.digest !== state.targetsDigest;
      return update.orders > orders || (update.targets > targets && differs);
    });
    const peer = ahead[Math.floor(random() * ahead.length)];
    if (!peer) return;
    this.fetching = true;
    try {
      const requestedAtMs = clock.nowMs();
      const copy = await fetchState({address: peer.ip, port: peerPort});
      if (!copy) return;
      feed.adoptCopy(copy, peer.host, requestedAtMs);
      peers.adopt(copy.hosts, clock.nowMs());
      onHosts();
      logger.event('stateCopied', {from: peer.host, ...copy.offsets});
    } catch (err) {
      if (!(err instanceof CallError || err instanceof SyntaxError)) throw err;
      const reason = err.message;
      logger.event('stateNotCopied', {from: peer.host, reason});
    } finally {
      this.fetching = false;
    }
  }
}
