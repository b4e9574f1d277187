import type {Bounds} from '../gateway-settings.js';

/** Quota of one organisation over all hosts. */
export interface Quota {
  /** Units per second. */
  readonly rate: number;
  /** Capacity of the token bucket, in units. */
  readonly burst: number;
}

/**
 * Time constant of the average of the other hosts' usage, in milliseconds. The average estimates what they
 * have used since their last messages. A burst empties a bucket within half a second, so a longer period
 * would react too late.
 */
const averagingMs = 300;
/**
 * Fraction of the quota tolerance with which the buckets start when all hosts restarted together. They do not
 * know what was used until then. The rest of the tolerance covers a second such restart within the quota
 * window and the requests in flight.
 */
const restartShare = 0.3;

/**
 * Fraction of the fixed tolerance that covers estimated use which is not reported yet. Requests are unequal, so one large
 * request in a late report is no rate at which all hosts use the quota. The rest of the tolerance covers what is used
 * until a sudden rise in demand is reported.
 */
const coveredShare = 0.6;

/** Local copy of the token bucket of one organisation. */
interface Bucket {
  quota: Quota;
  /** Units that may be used now; negative if hosts together used more than was available. */
  level: number;
  /** Monotonic time of the last refill, in milliseconds. */
  filledAtMs: number;
  /** Recent usage of other hosts with exponential decay, in units. */
  recentRemote: number;
  /** Monotonic time of `recentRemote`, in milliseconds. */
  recentRemoteAtMs: number;
}

/** Last reported usage of another host since it started. */
interface PeerUsage {
  readonly incarnation: number;
  /** Units by organisation. */
  readonly totals: Map<string, number>;
}

/**
 * Enforces the quotas of organisations, which apply to all hosts together. Every host has a copy of the same
 * token bucket and subtracts the usage that other hosts report. A host uses only the share of the quota that
 * belongs to the hosts it receives messages from, so partitioned groups of hosts stay within the quota
 * together.
 */
export class QuotaBuckets {
  private readonly buckets = new Map<string, Bucket>();
  private readonly used = new Map<string, number>();
  private readonly heard = new Map<string, PeerUsage>();
  private share = 1;
  private updateAgeMs = 0;
  private isSettled: boolean;

  /**
   * @param startMs - Monotonic time at which the process started, in milliseconds.
   * @param incarnation - Unix time at which this host started, in milliseconds.
   * @param startsFull - Whether nothing was used before the start, so that buckets start full. A restarted
   *   host does not know what was used, so its buckets start empty until it is settled.
   * @param bounds - Tolerance by which the quotas may be exceeded.
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

  /**
   * Whether the buckets have their starting levels: full, adopted from another host, or set without peers.
   * Until then they contain only what was refilled since the start.
   */
  get settled(): boolean {
    return this.isSettled;
  }

  /**
   * Lists the levels of the buckets for hosts that have just restarted.
   *
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Units that may be used now, by organisation.
   */
  levels(nowMs: number): Record<string, number> {
    const levels: Record<string, number> = {};
    for (const [organisation, {quota}] of this.buckets) {
      const {level} = this.refill(organisation, quota, nowMs);
      levels[organisation] = Math.round(level);
    }
    return levels;
  }

  /**
   * Adopts the levels of a settled host, unless this host is settled already.
   *
   * @param levels - Units that may be used now, by organisation.
   * @param quotaOf - Looks up the quota of an organisation.
   * @param nowMs - Monotonic time, in milliseconds.
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
      const bucket = this.refill(organisation, quota, nowMs);
      bucket.level = Math.min(quota.burst * this.share, level);
    }
  }

  /** Settles without levels of other hosts, because none has any: all of them have restarted. */
  settleWithoutPeers(): void {
    if (this.isSettled) return;
    this.isSettled = true;
    for (const bucket of this.buckets.values()) {
      const {quota} = bucket;
      bucket.level = Math.min(
        quota.burst * this.share,
        bucket.level + this.restartUnits(quota),
      );
    }
  }

  /** Units that this host has used since its start, by organisation. */
  get totals(): ReadonlyMap<string, number> {
    return this.used;
  }

  /**
   * Sets the share of the quota that the live hosts may use together.
   *
   * @param liveHosts - Number of hosts with recent messages, including this one.
   * @param knownHosts - Number of hosts that may be running, including this one.
   * @param updateAgeMs - Mean age of the last reported usage of a host, in milliseconds.
   */
  setShare(liveHosts: number, knownHosts: number, updateAgeMs = 0): void {
    this.share = Math.min(1, liveHosts / Math.max(1, knownHosts));
    this.updateAgeMs = updateAgeMs;
  }

  /**
   * Takes units if the quota is not exhausted.
   *
   * @param organisation - Name of the organisation.
   * @param quota - Its quota.
   * @param units - Units of the request.
   * @param nowMs - Monotonic time, in milliseconds.
   * @param reservedShare - Fraction of the burst that the request must leave to other requests.
   * @returns 0 if the units were taken, or else the time until they are available, in milliseconds.
   */
  take(
    organisation: string,
    quota: Quota,
    units: number,
    nowMs: number,
    reservedShare = 0,
  ): number {
    const bucket = this.refill(organisation, quota, nowMs);
    // The usage of other hosts since their last messages is not known, so it is estimated from the average.
    const unreported =
      (recentRemoteUsage(bucket, nowMs) * this.updateAgeMs) / averagingMs;
    const covered = coveredShare * this.bounds.quotaSlack * this.share;
    const level = bucket.level - Math.max(0, unreported - covered);
    // A request larger than the level may pass; the level becomes negative and delays the next request.
    if (level <= reservedShare * quota.burst * this.share) {
      const perMs = (quota.rate * this.share) / 1000;
      const missing = units - level;
      return Math.max(1, perMs > 0 ? missing / perMs : 60_000);
    }
    this.add(organisation, bucket, units);
    return 0;
  }

  /**
   * Takes the units of a retry that may execute the request once more, even if the quota is exhausted.
   *
   * @param organisation - Name of the organisation.
   * @param units - Units of the request.
   */
  charge(organisation: string, units: number): void {
    const bucket = this.buckets.get(organisation);
    if (bucket) this.add(organisation, bucket, units);
  }

  /**
   * Refunds the units of a request that was not executed.
   *
   * @param organisation - Name of the organisation.
   * @param units - Units that were taken.
   */
  refund(organisation: string, units: number): void {
    const bucket = this.buckets.get(organisation);
    if (bucket) this.add(organisation, bucket, -units);
  }

  /**
   * Subtracts what another host has used since its last report.
   *
   * @param host - Name of the other host.
   * @param incarnation - Unix time at which it started, in milliseconds.
   * @param totals - Units that it has used since then, by organisation.
   * @param quotaOf - Looks up the quota of an organisation.
   * @param nowMs - Monotonic time, in milliseconds.
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
    const previous = restarted ? new Map<string, number>() : known.totals;
    // A first report of a host that started earlier contains usage that may be old, so nothing is subtracted.
    const isBaseline = !known && incarnation < this.incarnation;
    for (const [organisation, total] of Object.entries(totals)) {
      const added = total - (previous.get(organisation) ?? 0);
      const quota = quotaOf(organisation);
      if (quota && added !== 0 && !isBaseline) {
        const bucket = this.refill(organisation, quota, nowMs);
        bucket.level -= added;
        bucket.recentRemote = Math.max(
          0,
          recentRemoteUsage(bucket, nowMs) + added,
        );
        bucket.recentRemoteAtMs = nowMs;
      }
      previous.set(organisation, total);
    }
    if (restarted) this.heard.set(host, {incarnation, totals: previous});
  }

  private refill(organisation: string, quota: Quota, nowMs: number): Bucket {
    let bucket = this.buckets.get(organisation);
    if (!bucket) {
      const restartUnits = this.isSettled ? this.restartUnits(quota) : 0;
      bucket = {
        quota,
        level: this.startsFull ? quota.burst * this.share : restartUnits,
        filledAtMs: this.startsFull ? nowMs : this.startMs,
        recentRemote: 0,
        recentRemoteAtMs: nowMs,
      };
      this.buckets.set(organisation, bucket);
    }
    bucket.quota = quota;
    const passedMs = Math.max(0, nowMs - bucket.filledAtMs);
    bucket.filledAtMs = nowMs;
    bucket.level = Math.min(
      quota.burst * this.share,
      bucket.level + (quota.rate * this.share * passedMs) / 1000,
    );
    return bucket;
  }

  private restartUnits({rate, burst}: Quota): number {
    const {quotaOver, quotaSlack, quotaWindowMs} = this.bounds;
    const allowed = (rate * quotaWindowMs) / 1000 + burst;
    return restartShare * (quotaOver * allowed + quotaSlack) * this.share;
  }

  private add(organisation: string, bucket: Bucket, units: number): void {
    bucket.level -= units;
    this.used.set(organisation, (this.used.get(organisation) ?? 0) + units);
  }
}

function recentRemoteUsage(
  {recentRemote, recentRemoteAtMs}: Bucket,
  nowMs: number,
): number {
  return recentRemote * Math.exp((recentRemoteAtMs - nowMs) / averagingMs);
}
