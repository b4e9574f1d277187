import type {Member, MemberView} from '../member-view.js';
import {deathGraceMs, recentDeathMs} from './permit-limits.js';

/**
 * Tracks the hosts of one zone among which limits are shared: which are live, which died recently,
 * and whether this host is cut off from all others.
 */
export class ZoneRoster {
  private live = new Set<string>();
  private readonly deaths = new Map<string, number>();
  private readonly left = new Set<string>();
  private readonly missingSince = new Map<string, number>();
  private othersDied = false;
  /** Share denominator of a host that is cut off, fixed when it lost the others. */
  private frozenCount: number | undefined;

  /**
   * @param view - Member list of this host.
   * @param zone - Zone to track.
   */
  constructor(
    private readonly view: MemberView,
    readonly zone: string,
  ) {}

  /**
   * Applies a change of a member.
   *
   * @param member - Member after the change.
   * @param nowMs - Current time of this host's clock, in milliseconds.
   */
  observe(member: Member, nowMs: number): void {
    if (member.state === 'left') this.left.add(member.id);
    else this.left.delete(member.id);
    if (member.state === 'dead' && member.id !== this.view.self.id) {
      this.othersDied = true;
    }
    this.refresh(nowMs);
  }

  /**
   * Updates the live hosts and the times of deaths from the member list.
   *
   * @param nowMs - Current time of this host's clock, in milliseconds.
   */
  refresh(nowMs: number): void {
    const live = new Set(this.view.live(this.zone).map(({id}) => id));
    for (const id of this.live) {
      if (!live.has(id) && !this.left.has(id)) this.deaths.set(id, nowMs);
    }
    for (const id of live) this.deaths.delete(id);
    this.live = live;
    if (!this.cutOff) {
      this.frozenCount = undefined;
      if (this.view.live().length > 1) this.othersDied = false;
    } else {
      this.frozenCount ??= live.size + this.recentDeaths(nowMs, recentDeathMs);
    }
  }

  /** Whether all other known hosts are confirmed dead, in this zone and in all others. */
  get cutOff(): boolean {
    return this.othersDied && this.view.live().length <= 1;
  }

  /** Whether there are live hosts in other zones. */
  get hasRemoteZones(): boolean {
    return this.view.live().some(({zone}) => zone !== this.zone);
  }

  /** Ids of the live hosts. */
  get hosts(): readonly string[] {
    return [...this.live];
  }

  /** Whether a host is not live and its death, if any, is past the grace period. */
  private isGone(host: string, nowMs: number): boolean {
    if (this.live.has(host)) return false;
    const diedMs = this.deaths.get(host);
    return diedMs === undefined || nowMs - diedMs >= deathGraceMs;
  }

  /**
   * Whether a host of any zone is not live since an earlier check at least {@link deathGraceMs} ago,
   * within which the engines detect its closed connections.
   */
  isMissing(host: string, nowMs: number): boolean {
    if (this.view.live().some(({id}) => id === host)) {
      this.missingSince.delete(host);
      return false;
    }
    const sinceMs = this.missingSince.get(host) ?? nowMs;
    this.missingSince.set(host, sinceMs);
    return nowMs - sinceMs >= deathGraceMs;
  }

  /** Hosts that must list their permits before an owner knows all outstanding ones. */
  expectedHosts(nowMs: number): string[] {
    const dying = [...this.deaths.keys()].filter(id => !this.isGone(id, nowMs));
    return [...this.live, ...dying];
  }

  /** Number of hosts by which an owner that not all hosts follow divides the limits. */
  shareDenominator(nowMs: number): number {
    return (
      this.frozenCount ??
      this.live.size + this.recentDeaths(nowMs, recentDeathMs)
    );
  }

  private recentDeaths(nowMs: number, withinMs: number): number {
    let count = 0;
    for (const [id, diedMs] of this.deaths) {
      if (nowMs - diedMs < withinMs) count++;
      else this.deaths.delete(id);
    }
    return count;
  }
}
