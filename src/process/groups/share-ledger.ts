import {remoteZoneSettleMs, shareHoldMs} from './permit-limits.js';
import type {ZoneRoster} from './zone-roster.js';

interface Follower {
  readonly foreign: boolean;
  readonly sinceMs: number;
  zoneHosts: number;
  /** Whether it has listed all its permits and requests. */
  listed: boolean;
  /** Whether this owner may use its share. */
  share: boolean;
  /** Whether its former owner was settled and had no outstanding permit of another zone's host. */
  settled: boolean;
}

/** Share of the limits that an owner may use: `held` of `hosts`. */
export interface Share {
  /** Number of followers whose share the owner holds. */
  readonly held: number;
  /** Number of hosts among which the limits are divided. */
  readonly hosts: number;
  /** Whether the cold limits apply, because some permits may not be known yet. */
  readonly recovering: boolean;
}

/**
 * Tracks which followers' shares of the limits an owner holds. Each share is held by at most one
 * owner:
 *
 * - An owner that every live host of the zone follows, with all permits listed, holds all shares.
 * - A follower that moves brings its share once its former owner has confirmed the release.
 * - Without that confirmation its share counts after {@link shareHoldMs}. Within this time the former
 *   owner, if it still runs, has closed the link and reduced its own share.
 */
export class ShareLedger {
  private readonly followers = new Map<string, Follower>();
  private wasComplete = false;

  /**
   * @param roster - Hosts of the group's zone.
   * @param createdMs - Time at which this host became the owner, in milliseconds of its clock.
   */
  constructor(
    private readonly roster: ZoneRoster,
    private readonly createdMs: number,
  ) {}

  /** Adds a follower, whose share is not held yet. */
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

  /** Marks that a follower has listed all its permits and requests. */
  listed(host: string): void {
    const follower = this.followers.get(host);
    if (follower) follower.listed = true;
  }

  /** Adds the share of a follower, which its former owner has released. */
  release(host: string, settled: boolean): void {
    const follower = this.followers.get(host);
    if (!follower || follower.foreign) return;
    follower.share = true;
    follower.settled = settled;
  }

  /** Updates the number of live zone hosts that a follower reports. */
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

  /** Number of followers, including those of other zones. */
  get size(): number {
    return this.followers.size;
  }

  /** Whether hosts of other zones have listed their permits or have had the time to. */
  isSettled(nowMs: number): boolean {
    if (nowMs - this.createdMs >= remoteZoneSettleMs) return true;
    if (!this.roster.hasRemoteZones) return true;
    const local = [...this.followers.values()].filter(f => !f.foreign);
    return local.length > 0 && local.every(f => f.settled);
  }

  /** @returns The share of the limits that may be used now. */
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
    // A host that is cut off has no other host to wait for: its static share applies, and the
    // scheduler itself starts with cold targets.
    const recovering = !this.wasComplete && !this.roster.cutOff;
    return {held, hosts, recovering};
  }
}
