import {rendezvousRank} from '../fleet/rendezvous.js';

/** Fraction of the allowed excess that is used, because hosts may differ in which hosts they know. */
const usableShare = 0.75;

/** Maximum rate of requests of all hosts together to one target. */
export interface TargetRate {
  /** Requests per second. */
  readonly perSecond: number;
  /** Requests by which all hosts together may exceed the rate in any period over which they are counted. */
  readonly excess: number;
  /** Requests that each host may accumulate at least, while it has none to send; 1 or more. */
  readonly burst: number;
}

interface Bucket {
  level: number;
  filledAtMs: number;
}

/**
 * Limits the rate of requests of all hosts together to a target. Only a fixed number of hosts, chosen by
 * rendezvous hashing, may use the target, each with an equal share of the rate and of the excess. In any period
 * these hosts send at most what the rate allows plus the excess, even if they receive no messages from each other.
 */
export class TargetRateLimiter {
  private readonly buckets = new Map<string, Bucket>();

  /** @param host - Name of this host. */
  constructor(private readonly host: string) {}

  /**
   * Checks whether this host may send a request to a target now.
   *
   * @param target - Id of the target.
   * @param rate - Maximum rate of all hosts together.
   * @param hosts - Names of all hosts that may be running, including this one.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  admits(
    target: string,
    rate: TargetRate,
    hosts: readonly string[],
    nowMs: number,
  ): boolean {
    const usable = rate.excess * usableShare;
    const most = Math.max(1, Math.floor(usable / rate.burst));
    const users = Math.min(hosts.length, most);
    if (rendezvousRank(target, this.host, hosts) >= users) return false;
    // A burst below one request would never admit any.
    const burst = Math.max(1, usable / users);
    return this.refill(target, rate.perSecond / users, burst, nowMs).level >= 1;
  }

  /**
   * Counts a request that {@link admits} allowed.
   *
   * @param target - Id of the target.
   */
  take(target: string): void {
    const bucket = this.buckets.get(target);
    if (bucket) bucket.level -= 1;
  }

  /**
   * Drops the bucket of a target whose rate is no longer limited, or that was removed.
   *
   * @param target - Id of the target.
   */
  forget(target: string): void {
    this.buckets.delete(target);
  }

  private refill(
    target: string,
    perSecond: number,
    burst: number,
    nowMs: number,
  ): Bucket {
    let bucket = this.buckets.get(target);
    if (!bucket) {
      bucket = {level: 1, filledAtMs: nowMs};
      this.buckets.set(target, bucket);
    }
    const passedMs = Math.max(0, nowMs - bucket.filledAtMs);
    bucket.filledAtMs = nowMs;
    bucket.level = Math.min(
      burst,
      bucket.level + (perSecond * passedMs) / 1000,
    );
    return bucket;
  }
}
