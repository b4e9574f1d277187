import type {Bounds} from '../gateway-settings.js';
import {rendezvousRank} from '../fleet/rendezvous.js';

/** Fraction of the allowed excess that is used, because hosts may differ in which hosts they know. */
const usableShare = 0.75;

interface Bucket {
  level: number;
  filledAtMs: number;
}

/**
 * Limits the rate of requests of all hosts together to a cold target. Only a fixed number of hosts, chosen by
 * rendezvous hashing, may use the target, each with a token bucket of one request. In any second these hosts
 * send at most the rate plus one request each, even if they receive no messages from each other.
 */
export class ColdTargetLimiter {
  private readonly buckets = new Map<string, Bucket>();

  /**
   * @param host - Name of this host.
   * @param bounds - Bounds of the deployment.
   */
  constructor(
    private readonly host: string,
    private readonly bounds: Pick<Bounds, 'coldOver' | 'coldSlack'>,
  ) {}

  /**
   * Checks whether this host may send a request to a cold target now.
   *
   * @param target - Id of the target.
   * @param coldPerSecond - Maximum rate of requests of all hosts together, per second.
   * @param hosts - Names of all hosts that may be running, including this one.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  admits(
    target: string,
    coldPerSecond: number,
    hosts: readonly string[],
    nowMs: number,
  ): boolean {
    const allowedHosts = this.allowedHosts(coldPerSecond, hosts.length);
    if (rendezvousRank(target, this.host, hosts) >= allowedHosts) return false;
    return this.refill(target, coldPerSecond / allowedHosts, nowMs).level >= 1;
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
   * Drops the bucket of a target that is warm or was removed.
   *
   * @param target - Id of the target.
   */
  forget(target: string): void {
    this.buckets.delete(target);
  }

  private allowedHosts(coldPerSecond: number, hosts: number): number {
    const {coldOver, coldSlack} = this.bounds;
    const excess = coldPerSecond * (coldOver - 1) + coldSlack;
    return Math.max(1, Math.min(hosts, Math.floor(excess * usableShare)));
  }

  private refill(target: string, rate: number, nowMs: number): Bucket {
    let bucket = this.buckets.get(target);
    if (!bucket) {
      bucket = {level: 1, filledAtMs: nowMs};
      this.buckets.set(target, bucket);
    }
    const passedMs = Math.max(0, nowMs - bucket.filledAtMs);
    bucket.filledAtMs = nowMs;
    bucket.level = Math.min(1, bucket.level + (rate * passedMs) / 1000);
    return bucket;
  }
}
