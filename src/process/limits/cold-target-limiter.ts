import type {Bounds} from '../gateway-settings.js';
import {rendezvousRank} from '../fleet/rendezvous.js';

/** Part of the bound that is used, because hosts may differ in which hosts they know. */
const usedPart = 0.75;

interface Bucket {
  level: number;
  filledAtMs: number;
}

/**
 * Bounds the requests a second that a cold target gets from all hosts together. A target may be used
 * by a fixed number of hosts, chosen by hashing, each with a bucket of one request; in any second
 * these send at most the rate and one request each, whether or not they hear each other.
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
   * Tells whether a cold target may get a request from this host now.
   *
   * @param target - Id of the target.
   * @param coldPerSecond - Requests a second that it bears.
   * @param hosts - Names of all hosts that may be running, this one included.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  admits(
    target: string,
    coldPerSecond: number,
    hosts: readonly string[],
    nowMs: number,
  ): boolean {
    const users = this.users(coldPerSecond, hosts.length);
    if (rendezvousRank(target, this.host, hosts) >= users) return false;
    return this.fill(target, coldPerSecond / users, nowMs).level >= 1;
  }

  /**
   * Takes a request that {@link admits} allowed.
   *
   * @param target - Id of the target.
   */
  take(target: string): void {
    const bucket = this.buckets.get(target);
    if (bucket) bucket.level -= 1;
  }

  /**
   * Forgets a target that is warm or gone.
   *
   * @param target - Id of the target.
   */
  forget(target: string): void {
    this.buckets.delete(target);
  }

  private users(coldPerSecond: number, hosts: number): number {
    const {coldOver, coldSlack} = this.bounds;
    const excess = coldPerSecond * (coldOver - 1) + coldSlack;
    return Math.max(1, Math.min(hosts, Math.floor(excess * usedPart)));
  }

  private fill(target: string, rate: number, nowMs: number): Bucket {
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
