import type {Bounds} from '../gateway-settings.js';

/** Quota of one organisation over all hosts. */
export interface Quota {
  /** Units a second. */
  readonly rate: number;
  /** Units that may be used at once after a pause. */
  readonly burst: number;
}

/**
 * Period over which the use of other hosts is averaged, in milliseconds. It tells what they have used
 * since their last messages. A burst uses up a bucket in half a second, so a longer one comes too late.
 */
const averagedMs = 300;
/**
 * Part of the deployment's tolerance that hosts which all start anew may use at once. What was used before
 * is not known then; two such starts in one period and the requests on their way stay within the rest.
 */
const restartPart = 0.3;

/** One organisation's level as this host sees it. */
interface Account {
  quota: Quota;
  /** Units that may be used now; below 0 if hosts used more than was there. */
  level: number;
  filledAtMs: number;
  /** Units that others used lately, weighted by age. */
  othersRecent: number;
  othersAtMs: number;
}

/** Use of another host since it started, as last heard. */
interface HeardUse {
  readonly incarnation: number;
  readonly totals: Map<string, number>;
}

/**
 * Keeps the quotas of organisations, which are sums over all hosts. Every host keeps a copy of the
 * same token bucket and subtracts what the others report. Hosts that cannot be heard keep their
 * equal part of it, so any groups of hosts that do not hear each other stay within the sum.
 */
export class QuotaBuckets {
  private readonly accounts = new Map<string, Account>();
  private readonly used = new Map<string, number>();
  private readonly heard = new Map<string, HeardUse>();
  private share = 1;
  private lagMs = 0;
  private isSettled: boolean;

  /**
   * @param startMs - Time of the start, on the process's clock, in milliseconds.
   * @param incarnation - Start of this host in Unix milliseconds.
   * @param startsFull - Whether nothing was used before the start. A host that was restarted does not
   *   know what was used, so its buckets start empty until it is settled.
   * @param bounds - Tolerance of the deployment.
   */
  constructor(
    private readonly startMs: number,
    private readonly incarnation: number,
    private readonly startsFull: boolean,
    private readonly bounds: Pick<
      Bounds,
      'quotaOver' | 'quotaSlack' | 'quotaWindowMs'
    >,
  ) {
    this.isSettled = startsFull;
  }

  /** Whether the levels of this host are more than what was filled since its start. */
  get settled(): boolean {
    return this.isSettled;
  }

  /**
   * Lists the levels for hosts that have just started.
   *
   * @param nowMs - Time on the process's clock, in milliseconds.
   * @returns Units that may be used now, by organisation.
   */
  levels(nowMs: number): Record<string, number> {
    const levels: Record<string, number> = {};
    for (const [organisation, {quota}] of this.accounts) {
      const {level} = this.fill(organisation, quota, nowMs);
      levels[organisation] = Math.round(level);
    }
    return levels;
  }

  /**
   * Takes over the levels of a host that was not restarted.
   *
   * @param levels - Units that may be used now, by organisation.
   * @param quotaOf - Looks up the quota of an organisation.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  adoptLevels(
    levels: Readonly<Record<string, number>>,
    quotaOf: (organisation: string) => Quota | undefined,
    nowMs: number,
  ): void {
    if (this.isSettled) return;
    this.isSettled = true;
    for (const [organisation, level] of Object.entries(levels)) {
      const quota = quotaOf(organisation);
      if (!quota) continue;
      const account = this.fill(organisation, quota, nowMs);
      account.level = Math.min(quota.burst * this.share, level);
    }
  }

  /** Goes on without levels of other hosts, because all of them have started anew. */
  settleWithoutPeers(): void {
    if (this.isSettled) return;
    this.isSettled = true;
    for (const account of this.accounts.values()) {
      const {quota} = account;
      account.level = Math.min(
        quota.burst * this.share,
        account.level + this.restartUnits(quota),
      );
    }
  }

  /** Units that this host used since its start, by organisation. */
  get totals(): ReadonlyMap<string, number> {
    return this.used;
  }

  /**
   * Sets the part of the quota that is shared with the hosts that are heard.
   *
   * @param heard - Hosts that are heard, this one included.
   * @param known - All hosts that may be running, this one included.
   * @param lagMs - Mean age of what was heard of a host, in milliseconds.
   */
  setShare(heard: number, known: number, lagMs = 0): void {
    this.share = Math.min(1, heard / Math.max(1, known));
    this.lagMs = lagMs;
  }

  /**
   * Takes units if the quota is not used up.
   *
   * @param organisation - Name of the organisation.
   * @param quota - Its quota.
   * @param units - Units that the request counts.
   * @param nowMs - Time on the process's clock, in milliseconds.
   * @param reservedPart - Part of the burst that the request must leave to others.
   * @returns 0 if the units were taken, or else the time until some are there, in milliseconds.
   */
  take(
    organisation: string,
    quota: Quota,
    units: number,
    nowMs: number,
    reservedPart = 0,
  ): number {
    const account = this.fill(organisation, quota, nowMs);
    // What others have used since their last messages is not known yet, only how much it usually is.
    const unheard = (recentOf(account, nowMs) * this.lagMs) / averagedMs;
    const level = account.level - unheard;
    // A request larger than what is left may pass; its excess is paid before the next one.
    if (level <= reservedPart * quota.burst * this.share) {
      const perMs = (quota.rate * this.share) / 1000;
      const missing = units - level;
      return Math.max(1, perMs > 0 ? missing / perMs : 60_000);
    }
    this.add(organisation, account, units);
    return 0;
  }

  /**
   * Takes units of a request that is sent again and may run once more, whether or not they are there.
   *
   * @param organisation - Name of the organisation.
   * @param units - Units that the request counts.
   */
  charge(organisation: string, units: number): void {
    const account = this.accounts.get(organisation);
    if (account) this.add(organisation, account, units);
  }

  /**
   * Gives back units of a request that did not run.
   *
   * @param organisation - Name of the organisation.
   * @param units - Units that were taken.
   */
  refund(organisation: string, units: number): void {
    const account = this.accounts.get(organisation);
    if (account) this.add(organisation, account, -units);
  }

  /**
   * Takes over what another host used.
   *
   * @param host - Name of the other host.
   * @param incarnation - Its start in Unix milliseconds.
   * @param totals - Units that it used since then, by organisation.
   * @param quotaOf - Looks up the quota of an organisation.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  recordPeerUsage(
    host: string,
    incarnation: number,
    totals: Readonly<Record<string, number>>,
    quotaOf: (organisation: string) => Quota | undefined,
    nowMs: number,
  ): void {
    const known = this.heard.get(host);
    const restarted = known?.incarnation !== incarnation;
    const before = restarted ? new Map<string, number>() : known.totals;
    // What a host used before this one started is not known to be recent.
    const isBaseline = !known && incarnation < this.incarnation;
    for (const [organisation, total] of Object.entries(totals)) {
      const more = total - (before.get(organisation) ?? 0);
      const quota = quotaOf(organisation);
      if (quota && more !== 0 && !isBaseline) {
        const account = this.fill(organisation, quota, nowMs);
        account.level -= more;
        account.othersRecent = Math.max(0, recentOf(account, nowMs) + more);
        account.othersAtMs = nowMs;
      }
      before.set(organisation, total);
    }
    if (restarted) this.heard.set(host, {incarnation, totals: before});
  }

  private fill(organisation: string, quota: Quota, nowMs: number): Account {
    let account = this.accounts.get(organisation);
    if (!account) {
      const restartUnits = this.isSettled ? this.restartUnits(quota) : 0;
      account = {
        quota,
        level: this.startsFull ? quota.burst * this.share : restartUnits,
        filledAtMs: this.startsFull ? nowMs : this.startMs,
        othersRecent: 0,
        othersAtMs: nowMs,
      };
      this.accounts.set(organisation, account);
    }
    account.quota = quota;
    const passedMs = Math.max(0, nowMs - account.filledAtMs);
    account.filledAtMs = nowMs;
    account.level = Math.min(
      quota.burst * this.share,
      account.level + (quota.rate * this.share * passedMs) / 1000,
    );
    return account;
  }

  private restartUnits({rate, burst}: Quota): number {
    const {quotaOver, quotaSlack, quotaWindowMs} = this.bounds;
    const allowed = (rate * quotaWindowMs) / 1000 + burst;
    return restartPart * (quotaOver * allowed + quotaSlack) * this.share;
  }

  private add(organisation: string, account: Account, units: number): void {
    account.level -= units;
    this.used.set(organisation, (this.used.get(organisation) ?? 0) + units);
  }
}

function recentOf({othersRecent, othersAtMs}: Account, nowMs: number): number {
  return othersRecent * Math.exp((othersAtMs - nowMs) / averagedMs);
}
