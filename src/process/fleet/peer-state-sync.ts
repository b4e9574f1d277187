import {fetchState} from '../../connection/peer/state-server.js';
import {CallError} from '../../connection/http/http-client.js';
import type {DeploymentState} from '../../version/deployment/deployment-state.js';
import {applyStateCopy} from '../../version/deployment/state-copy.js';
import type {StateFeed} from '../../version/deployment/state-feed.js';
import {every, type Cancel, type Clock} from '../clock.js';
import type {Logger} from '../logger.js';
import type {PeerTable} from './peer-table.js';

/** Interval in which a host that does not reach the store looks for news, in milliseconds. */
const intervalMs = 400;
/** Time without an answer of the store after which other hosts are asked, in milliseconds. */
const askAfterMs = 300;

/** Parts that the watch uses. */
export interface PeerStateSyncParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly state: DeploymentState;
  readonly feed: StateFeed;
  readonly peers: PeerTable;
  /** Port at which other hosts serve their state. */
  readonly peerPort: number;
  readonly random: () => number;
}

/** Takes the state over from another host while this one does not reach the store. */
export class PeerStateSync {
  private cancel: Cancel = () => {};
  private asking = false;

  /** @param parts - Parts of the process. */
  constructor(private readonly parts: PeerStateSyncParts) {}

  /** Starts to look. */
  start(): void {
    this.cancel = every(this.parts.clock, intervalMs, () => void this.look());
  }

  /** Stops to look. */
  stop(): void {
    this.cancel();
  }

  private async look(): Promise<void> {
    const {clock, feed, logger, peerPort, peers, random, state} = this.parts;
    const isBehind = state.configuration === undefined;
    if (this.asking || (feed.awayMs() < askAfterMs && !isBehind)) return;
    const {orders, targets} = feed.offsets;
    const ahead = peers.heard(clock.nowMs()).filter(({message}) => {
      if (!message) return false;
      const {feedUpdate: news} = message;
      const differs = news.digest !== state.targetsDigest;
      return news.orders > orders || (news.targets > targets && differs);
    });
    const peer = ahead[Math.floor(random() * ahead.length)];
    if (!peer) return;
    this.asking = true;
    try {
      const copy = await fetchState({address: peer.ip, port: peerPort});
      if (!copy) return;
      applyStateCopy(state, copy, feed.offsets, clock.nowMs());
      feed.advance(copy.offsets);
      logger.event('stateCopied', {from: peer.host, ...copy.offsets});
    } catch (err) {
      if (!(err instanceof CallError || err instanceof SyntaxError)) throw err;
      const reason = err.message;
      logger.event('stateNotCopied', {from: peer.host, reason});
    } finally {
      this.asking = false;
    }
  }
}
