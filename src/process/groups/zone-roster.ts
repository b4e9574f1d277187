import type {Member, MemberView} from '../member-view.js';
import {deathGraceMs, recentDeathMs} from './permit-limits.js';

/**
 * Hosts of one zone for the sharing of limits: who is live, who died recently, and whether this
 * host is cut off from all others.
 */
export class ZoneRoster {
  private live = new Set<string>();
  private readonly deaths = new Map<string, number>();
  private readonly left = new Set<string>();
  private readonly missingSince = new Map<string, number>();
  private othersDied = false;
  private frozenCount: number | undefined;

  /**
   * @param view - Membership of this host.
   * @param zone - Zone to observe.
   */
  constructor(
    private readonly view: MemberView,
    readonly zone: string,
  ) {}

  /**
   * Takes in a change of a member.
   *
   * @param member - Member after the change.
   * @param nowMs - Current time.
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
   * Compares the member list with the last one.
   *
   * @param nowMs - Current time.
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

  /** Whether every other host that was known is confirmed dead, in this zone and in all others. */
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

  private isDeathSettled(host: string, nowMs: number): boolean {
    if (this.live.has(host)) return false;
    const diedMs = this.deaths.get(host);
    return diedMs === undefined || nowMs - diedMs >= deathGraceMs;
  }

  /** Whether a host of any zone is not live, with the grace for its connections to the engines. */
  isMissing(host: string, nowMs: number): boolean {
    if (this.view.live().some(({id}) => id === host)) {
      this.missingSince.delete(host);
      return false;
    }
    const sinceMs = this.missingSince.get(host) ?? nowMs;
    this.missingSince.set(host, sinceMs);
    return nowMs - sinceMs >= deathGraceMs;
  }

  /** Hosts that must list their permits before an owner knows them all. */
  expectedHosts(nowMs: number): string[] {
    const dying = [...this.deaths.keys()].filter(
      id => !this.isDeathSettled(id, nowMs),
    );
    return [...this.live, ...dying];
  }

  /** Denominator of an owner that is not followed by all hosts. */
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
