import {gossipIntervalMs} from './gossip-interval.js';
import type {GossipMessage} from './gossip-message.js';

/** Least time after which a host that says nothing is not heard any more, in milliseconds. */
const heardWithinMs = 900;
/** Intervals between two messages after which it is not heard any more; two may be lost. */
const heardIntervals = 3.5;
/** Time after which a host that says nothing is not counted any more, in milliseconds. */
const countedWithinMs = 30_000;

/** Time for which a host counts as new, in milliseconds; a few messages of each other host. */
const newForMs = 2000;

/** What is known of another host. */
export interface Peer {
  readonly host: string;
  ip: string;
  zone: string;
  /** Newest message, if one was heard. */
  message?: GossipMessage;
  /** Time of the newest message, or of the entry in the store, on the process's clock. */
  lastSeenAtMs: number;
  /** Time at which its present incarnation was heard first, on the process's clock. */
  incarnationSeenAtMs: number;
  left: boolean;
}

/** Other hosts of the deployment. */
export class PeerTable {
  private readonly peers = new Map<string, Peer>();

  /** @param self - Name of this host. */
  constructor(private readonly self: string) {}

  /** All other hosts that may be running. */
  get all(): readonly Peer[] {
    return [...this.peers.values()].filter(({left}) => !left);
  }

  /**
   * Adds a host that registered itself in the store.
   *
   * @param host - Name of the host.
   * @param ip - Its address.
   * @param zone - Its availability zone.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  listed(host: string, ip: string, zone: string, nowMs: number): void {
    if (host === this.self) return;
    const known = this.peers.get(host);
    if (!known) {
      this.peers.set(host, newPeer(host, ip, zone, nowMs));
    } else if (!known.message) {
      known.ip = ip;
    }
  }

  /**
   * Removes a host that was removed from the store.
   *
   * @param host - Name of the host.
   */
  unlisted(host: string): void {
    const known = this.peers.get(host);
    if (known) known.left = true;
  }

  /**
   * Takes a message.
   *
   * @param message - Message of another host.
   * @param nowMs - Time on the process's clock, in milliseconds.
   * @returns Whether it is newer than what was heard of the host.
   */
  receive(message: GossipMessage, nowMs: number): boolean {
    const {host, ip, zone, incarnation, sequence} = message;
    if (host === this.self) return false;
    const known = this.peers.get(host);
    const last = known?.message;
    if (
      last &&
      (incarnation < last.incarnation ||
        (incarnation === last.incarnation && sequence <= last.sequence))
    ) {
      return false;
    }
    const peer: Peer = known ?? newPeer(host, ip, zone, nowMs);
    if (last?.incarnation !== incarnation) peer.incarnationSeenAtMs = nowMs;
    peer.ip = ip;
    peer.zone = zone;
    peer.message = message;
    peer.lastSeenAtMs = nowMs;
    peer.left = message.leaving;
    this.peers.set(host, peer);
    return true;
  }

  /**
   * Lists the hosts that were heard lately.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  heard(nowMs: number): Peer[] {
    const {all} = this;
    const everyMs = gossipIntervalMs(all.length);
    const withinMs = Math.max(heardWithinMs, everyMs * heardIntervals);
    return all.filter(
      ({message, lastSeenAtMs: heardAtMs}) =>
        message !== undefined && nowMs - heardAtMs <= withinMs,
    );
  }

  /**
   * Tells whether a host has started lately.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  hasRecentlyStarted(nowMs: number): boolean {
    return this.all.some(
      ({message, incarnationSeenAtMs: newAtMs}) =>
        message && nowMs - newAtMs <= newForMs,
    );
  }

  /**
   * Lists the names of all hosts that may be running, this one included.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  names(nowMs: number): string[] {
    const names = [this.self];
    for (const {host, lastSeenAtMs: heardAtMs} of this.all) {
      if (nowMs - heardAtMs <= countedWithinMs) names.push(host);
    }
    return names;
  }
}

function newPeer(host: string, ip: string, zone: string, nowMs: number): Peer {
  return {
    host,
    ip,
    zone,
    lastSeenAtMs: nowMs,
    incarnationSeenAtMs: nowMs,
    left: false,
  };
}
