import type {HostEntry} from '../../version/deployment/types.js';
import {gossipIntervalMs} from './gossip-interval.js';
import type {GossipMessage} from './gossip-message.js';

/** Minimum time without a message after which a host no longer counts as live, in milliseconds. */
const minLivenessTimeoutMs = 900;
/** Gossip intervals after which it no longer counts as live, if longer; so two messages may be lost. */
const livenessIntervals = 3.5;
/** Time without a message after which a host no longer counts as possibly running, in milliseconds. */
const possiblyRunningMs = 30_000;

/**
 * Time for which a host counts as recently started, in milliseconds; long enough for a few messages of each
 * other host.
 */
const recentStartMs = 2000;

/** Another host as this one knows it. */
export interface Peer {
  readonly host: string;
  ip: string;
  zone: string;
  /** Newest message, if one was received. */
  message?: GossipMessage;
  /** Monotonic time of the newest message, or else of the entry in the store, in milliseconds. */
  lastSeenAtMs: number;
  /** Monotonic time of the first message of its current incarnation, in milliseconds. */
  incarnationSeenAtMs: number;
  /** Whether it announced its permanent stop or was removed from the store. */
  left: boolean;
}

/** The other hosts of the deployment, from the store and from gossip. */
export class PeerTable {
  private readonly peers = new Map<string, Peer>();
  /** Whether the names of all hosts were copied from another one. */
  private isCopied = false;

  /** @param self - Name of this host. */
  constructor(private readonly self: string) {}

  /** All other hosts that have not left. */
  get all(): readonly Peer[] {
    return [...this.peers.values()].filter(({left}) => !left);
  }

  /**
   * Adds a host that registered itself in the store.
   *
   * @param host - Name of the host.
   * @param ip - Its address.
   * @param zone - Its availability zone.
   * @param nowMs - Monotonic time, in milliseconds.
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

  /** The other hosts, for a copy of this host's state. */
  get entries(): HostEntry[] {
    return this.all.map(({host, ip, zone}) => ({host, ip, zone}));
  }

  /** Whether the names of all hosts were copied from another one. */
  get areCopied(): boolean {
    return this.isCopied;
  }

  /**
   * Adds the hosts that another one knows, because the store does not list them.
   *
   * @param hosts - From a copy of that host's state; `undefined` if it may not know all of them.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  adopt(hosts: readonly HostEntry[] | undefined, nowMs: number): void {
    if (!hosts) return;
    for (const {host, ip, zone} of hosts) this.listed(host, ip, zone, nowMs);
    this.isCopied = true;
  }

  /**
   * Marks a host as left, because its entry was removed from the store.
   *
   * @param host - Name of the host.
   */
  unlisted(host: string): void {
    const known = this.peers.get(host);
    if (known) known.left = true;
  }

  /**
   * Applies a message.
   *
   * @param message - Message of another host.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Whether it is newer than the last message of the host; an older one is ignored.
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
   * Lists the live hosts: those with a recent message.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   */
  heard(nowMs: number): Peer[] {
    const {all} = this;
    const intervalMs = gossipIntervalMs(all.length);
    const timeoutMs = Math.max(
      minLivenessTimeoutMs,
      intervalMs * livenessIntervals,
    );
    return all.filter(
      ({message, lastSeenAtMs}) =>
        message !== undefined && nowMs - lastSeenAtMs <= timeoutMs,
    );
  }

  /**
   * Finds when a message of any live host was received last.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Monotonic time in milliseconds, or `undefined` if no host is live.
   */
  lastHeardMs(nowMs: number): number | undefined {
    const times = this.heard(nowMs).map(({lastSeenAtMs}) => lastSeenAtMs);
    return times.length > 0 ? Math.max(...times) : undefined;
  }

  /**
   * Checks whether another host has started recently.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   */
  hasRecentlyStarted(nowMs: number): boolean {
    return this.all.some(
      ({message, incarnationSeenAtMs}) =>
        message && nowMs - incarnationSeenAtMs <= recentStartMs,
    );
  }

  /**
   * Lists the names of all hosts that may be running, including this one.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   */
  names(nowMs: number): string[] {
    const names = [this.self];
    for (const {host, lastSeenAtMs} of this.all) {
      if (nowMs - lastSeenAtMs <= possiblyRunningMs) names.push(host);
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
