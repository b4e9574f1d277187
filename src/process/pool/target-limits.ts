import type {Bounds} from '../gateway-settings.js';
import {
  TargetRateLimiter,
  type TargetRate,
} from '../limits/target-rate-limiter.js';
import type {PooledTarget} from './pooled-target.js';

/**
 * Lowest rate that is used of a target that states a lower one, in requests per second. Without any request, nobody
 * would learn that the limit has ended.
 */
const minStatedPerSecond = 0.25;

/**
 * Requests that a host may accumulate at least for a target that states a limit, because it gets suitable requests
 * irregularly.
 */
const statedBurst = 2;

/** Bounds of the deployment that limit the request rate of single targets. */
export type TargetRateBounds = Pick<
  Bounds,
  'coldOver' | 'coldSlack' | 'statedOver' | 'statedSlack' | 'statedWindowMs'
>;

/** Limits the request rates of targets that are cold or state a limit, over all hosts together. */
export class TargetLimits {
  private readonly cold: TargetRateLimiter;
  private readonly stated: TargetRateLimiter;

  /**
   * @param host - Name of this host.
   * @param bounds - Bounds of the deployment.
   */
  constructor(
    host: string,
    private readonly bounds: TargetRateBounds,
  ) {
    this.cold = new TargetRateLimiter(host);
    this.stated = new TargetRateLimiter(host);
  }

  /**
   * Checks whether this host may send a request to a target now.
   *
   * @param target - Target to check.
   * @param coldPerSecond - Maximum rate while the target is cold, per second; 0 if it is not cold.
   * @param hosts - Names of all hosts that may be running, including this one; `undefined` if they are not known yet.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  admits(
    target: PooledTarget,
    coldPerSecond: number,
    hosts: readonly string[] | undefined,
    nowMs: number,
  ): boolean {
    for (const [limiter, rate] of this.rates(target, coldPerSecond)) {
      // A host that takes itself for the only one would use the whole rate.
      if (!hosts) return false;
      if (!limiter.admits(target.entry.id, rate, hosts, nowMs)) return false;
    }
    return true;
  }

  /**
   * Counts a request that {@link admits} allowed.
   *
   * @param target - Target of the request.
   * @param coldPerSecond - Maximum rate while the target is cold, per second; 0 if it is not cold.
   */
  take(target: PooledTarget, coldPerSecond: number): void {
    for (const [limiter] of this.rates(target, coldPerSecond)) {
      limiter.take(target.entry.id);
    }
  }

  /**
   * Checks whether this host may send a request that has a slot now, and counts it if so.
   *
   * @param target - Target of the request.
   * @param coldPerSecond - As for {@link admits}.
   * @param hosts - As for {@link admits}.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  takeSend(
    target: PooledTarget,
    coldPerSecond: number,
    hosts: readonly string[] | undefined,
    nowMs: number,
  ): boolean {
    const {id} = target.entry;
    const rates = [...this.rates(target, coldPerSecond)];
    const admitted = rates.every(
      ([limiter, rate]) =>
        hosts !== undefined && limiter.admitsSend(id, rate, hosts, nowMs),
    );
    if (admitted) for (const [limiter] of rates) limiter.sent(id);
    return admitted;
  }

  /**
   * Drops what was counted for a target that was removed.
   *
   * @param target - Id of the target.
   */
  forget(target: string): void {
    this.cold.forget(target);
    this.stated.forget(target);
  }

  /** Lists the rates that bind a target, each with the limiter that counts its requests. */
  private *rates(
    {stated: {limitPerSecond}}: PooledTarget,
    coldPerSecond: number,
  ): Generator<[TargetRateLimiter, TargetRate]> {
    const {coldOver, coldSlack} = this.bounds;
    const {statedOver, statedSlack, statedWindowMs} = this.bounds;
    if (coldPerSecond > 0) {
      const excess = coldPerSecond * (coldOver - 1) + coldSlack;
      yield [this.cold, {perSecond: coldPerSecond, excess, burst: 1}];
    }
    if (limitPerSecond !== undefined) {
      const perWindow = (limitPerSecond * statedWindowMs) / 1000;
      const perSecond = Math.max(minStatedPerSecond, limitPerSecond);
      const excess = perWindow * (statedOver - 1) + statedSlack;
      yield [this.stated, {perSecond, excess, burst: statedBurst}];
    }
  }
}
