import {remoteZoneSettleMs, shareHoldMs} from './permit-limits.js';
import type {ZoneRoster} from './zone-roster.js';

interface Follower {
  readonly foreign: boolean;
  readonly sinceMs: number;
  zoneHosts: number;
  /** Whether all its permits and requests are listed. */
  listed: boolean;
  /** Whether this owner may use its share. */
  share: boolean;
  /** Whether its former owner had no permit of another zone's host outstanding. */
  settled: boolean;
}

/** Part of the limits that an owner may use. */
export interface Share {
  /** Followers whose share is held. */
  readonly held: number;
  /** Hosts among which the limits are divided. */
  readonly hosts: number;
  /** Whether the cold limit applies, because some permits may not be known yet. */
  readonly recovering: boolean;
}

/**
 * Keeps which followers' shares an owner holds. A share is at one owner at most:
 *
 * - an owner that is followed by every live host of the zone, with all permits listed, holds all;
 * - a follower that moves brings its share when its former owner confirmed that it gave it up;
 * - without that confirmation its share counts after a hold time in which the former owner, if it
 *   still runs, has closed the link and reduced its own part.
 */
export class ShareLedger {
  private readonly followers = new Map<string, Follower>();
  private wasComplete = false;

  /**
   * @param roster - Hosts of the group's zone.
   * @param createdMs - Time at which this host became an owner.
   */
  constructor(
    private readonly roster: ZoneRoster,
    private readonly createdMs: number,
  ) {}

  /** Adds a follower, without a share at first. */
  follow(
    host: string,
    foreign: boolean,
    zoneHosts: number,
    nowMs: number,
  ): void {
    this.followers.set(host, {
      foreign,
      zoneHosts,
      sinceMs: nowMs,
      listed: false,
      share: false,
      settled: false,
    });
  }

  /** Notes that a follower listed all its permits. */
  listed(host: string): void {
    const follower = this.followers.get(host);
    if (follower) follower.listed = true;
  }

  /** Notes that the former owner of a follower gave up the follower's share. */
  release(host: string, settled: boolean): void {
    const follower = this.followers.get(host);
    if (!follower || follower.foreign) return;
    follower.share = true;
    follower.settled = settled;
  }

  /** Notes how many live zone hosts a follower knows. */
  setZoneHosts(host: string, count: number): void {
    const follower = this.followers.get(host);
    if (follower) follower.zoneHosts = count;
  }

  /**
   * Removes a follower and its share.
   *
   * @returns Whether its share was held.
   */
  leave(host: string): boolean {
    const follower = this.followers.get(host);
    this.followers.delete(host);
    return follower?.share ?? false;
  }

  /** Number of followers, those of other zones included. */
  get size(): number {
    return this.followers.size;
  }

  /** Whether permits of other zones' hosts were listed or had the time to be. */
  isSettled(nowMs: number): boolean {
    if (nowMs - this.createdMs >= remoteZoneSettleMs) return true;
    if (!this.roster.hasRemoteZones) return true;
    const local = [...this.followers.values()].filter(f => !f.foreign);
    return local.length > 0 && local.every(f => f.settled);
  }

  /** @returns The part of the limits that may be used now. */
  evaluate(nowMs: number): Share {
    const local = [...this.followers.values()].filter(f => !f.foreign);
    const expected = this.roster.expectedHosts(nowMs);
    const reported = Math.max(0, ...local.map(f => f.zoneHosts));
    const complete =
      !this.roster.cutOff &&
      this.isSettled(nowMs) &&
      local.length > 0 &&
      local.length >= reported &&
      local.every(f => f.listed) &&
      expected.every(host => this.followers.get(host)?.foreign === false);
    if (complete) {
      this.wasComplete = true;
      for (const follower of local) follower.share = true;
      return {held: local.length, hosts: local.length, recovering: false};
    }
    for (const follower of local) {
      if (follower.listed && nowMs - follower.sinceMs >= shareHoldMs) {
        follower.share = true;
      }
    }
    const held = local.filter(f => f.share).length;
    const hosts = Math.max(held, reported, this.roster.shareDenominator(nowMs));
    // A host that is cut off has no other to wait for: its static part applies, and the scheduler
    // itself starts cold.
    const recovering = !this.wasComplete && !this.roster.cutOff;
    return {held, hosts, recovering};
  }
}
