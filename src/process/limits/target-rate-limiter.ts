import {rendezvousRank} from '../fleet/rendezvous.js';

/** Fraction of the allowed excess that is used, because hosts may differ in which hosts they know. */
const usableShare = 0.75;

/**
 * Time by which a request may be sent before the rate allows it, in milliseconds. The time from slot to send differs from
 * request to request, and the differences need not cost requests.
 */
const sendJitterMs = 100;

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
  /** Requests that may still be given a slot. */
  level: number;
  /** Requests that may still be sent. */
  sendLevel: number;
  /** This host's share of the rate, in requests per millisecond. */
  perMs: number;
  filledAtMs: number;
}

/**
 * Limits the rate of requests of all hosts together to a target. Only a fixed number of hosts, chosen by
 * rendezvous hashing, may use the target, each with an equal share of the rate and of the excess. In any period
 * these hosts send at most what the rate allows plus the excess, even if they receive no messages from each other.
 *
 * Requests are counted when they get their slot, so that others are chosen for a target only as fast as it takes them, and
 * again when they are sent, as they may have waited meanwhile or got their slot before the rate applied.
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
    const bucket = this.refill(target, rate, hosts, nowMs);
    return bucket !== undefined && bucket.level >= 1;
  }

  /**
   * Checks whether this host may send a request that has a slot now, whether or not it was counted then.
   *
   * @param target - Id of the target.
   * @param rate - Maximum rate of all hosts together.
   * @param hosts - Names of all hosts that may be running, including this one.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  admitsSend(
    target: string,
    rate: TargetRate,
    hosts: readonly string[],
    nowMs: number,
  ): boolean {
    const bucket = this.refill(target, rate, hosts, nowMs);
    if (!bucket) return false;
    return bucket.sendLevel + bucket.perMs * sendJitterMs >= 1;
  }

  /**
   * Counts a request that {@link admitsSend} allowed.
   *
   * @param target - Id of the target.
   */
  sent(target: string): void {
    const bucket = this.buckets.get(target);
    if (bucket) bucket.sendLevel -= 1;
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

  /** Refills the bucket of a target; `undefined` if this host may not use the target. */
  private refill(
    target: string,
    rate: TargetRate,
    hosts: readonly string[],
    nowMs: number,
  ): Bucket | undefined {
    const usable = rate.excess * usableShare;
    const most = Math.max(1, Math.floor(usable / rate.burst));
    const users = Math.min(hosts.length, most);
    if (rendezvousRank(target, this.host, hosts) >= users) return undefined;
    // A burst below one request would never admit any.
    const burst = Math.max(1, usable / users);
    let bucket = this.buckets.get(target);
    if (!bucket) {
      bucket = {level: 1, sendLevel: 1, perMs: 0, filledAtMs: nowMs};
      this.buckets.set(target, bucket);
    }
    const passedMs = Math.max(0, nowMs - bucket.filledAtMs);
    bucket.filledAtMs = nowMs;
    bucket.perMs = rate.perSecond / users / 1000;
    const added = bucket.perMs * passedMs;
    bucket.level = Math.min(burst, bucket.level + added);
    bucket.sendLevel = Math.min(burst, bucket.sendLevel + added);
    return bucket;
  }
}
