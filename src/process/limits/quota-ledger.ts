/** Quota of one organisation over all hosts. */
export interface Quota {
  /** Units a second. */
  readonly rate: number;
  /** Units that may be used at once after a pause. */
  readonly burst: number;
}

/** One organisation's level as this host sees it. */
interface Account {
  /** Units that may be used now; below 0 if hosts used more than was there. */
  level: number;
  filledAtMs: number;
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
export class QuotaLedger {
  private readonly accounts = new Map<string, Account>();
  private readonly used = new Map<string, number>();
  private readonly heard = new Map<string, HeardUse>();
  private share = 1;

  /**
   * @param startMs - Time of the start, on the process's clock, in milliseconds.
   * @param incarnation - Start of this host in Unix milliseconds.
   * @param startsFull - Whether nothing was used before the start. A host that was restarted does not
   *   know what was used, so its buckets start empty.
   */
  constructor(
    private readonly startMs: number,
    private readonly incarnation: number,
    private readonly startsFull: boolean,
  ) {}

  /** Units that this host used since its start, by organisation. */
  get totals(): ReadonlyMap<string, number> {
    return this.used;
  }

  /**
   * Sets the part of the quota that is shared with the hosts that are heard.
   *
   * @param heard - Hosts that are heard, this one included.
   * @param known - All hosts that may be running, this one included.
   */
  setShare(heard: number, known: number): void {
    this.share = Math.min(1, heard / Math.max(1, known));
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
    // A request larger than what is left may pass; its excess is paid before the next one.
    if (account.level <= reservedPart * quota.burst * this.share) {
      const perMs = (quota.rate * this.share) / 1000;
      const missing = units - account.level;
      return Math.max(1, perMs > 0 ? missing / perMs : 60_000);
    }
    this.add(organisation, account, units);
    return 0;
  }

  /**
   * Gives back units of a request that did not run.
   *
   * @param organisation - Name of the organisation.
   * @param units - Units that were taken.
   */
  giveBack(organisation: string, units: number): void {
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
  hear(
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
        this.fill(organisation, quota, nowMs).level -= more;
      }
      before.set(organisation, total);
    }
    if (restarted) this.heard.set(host, {incarnation, totals: before});
  }

  private fill(organisation: string, quota: Quota, nowMs: number): Account {
    let account = this.accounts.get(organisation);
    if (!account) {
      account = {
        level: this.startsFull ? quota.burst * this.share : 0,
        filledAtMs: this.startsFull ? nowMs : this.startMs,
      };
      this.accounts.set(organisation, account);
    }
    const passedMs = Math.max(0, nowMs - account.filledAtMs);
    account.filledAtMs = nowMs;
    account.level = Math.min(
      quota.burst * this.share,
      account.level + (quota.rate * this.share * passedMs) / 1000,
    );
    return account;
  }

  private add(organisation: string, account: Account, units: number): void {
    account.level -= units;
    this.used.set(organisation, (this.used.get(organisation) ?? 0) + units);
  }
}
