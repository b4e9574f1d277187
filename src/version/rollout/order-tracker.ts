import type {EngineVersion} from './ports.js';
import type {RolloutTarget} from './rollout-view.js';

/** Time after which an order without visible effect is read again, in milliseconds. */
const orderTimeoutMs = 300_000;

interface SentOrder {
  readonly version: string;
  readonly atMs: number;
}

/**
 * Orders of this host that the view of the targets does not show yet. Without them two orders in
 * one zone could follow each other before the first is visible.
 */
export class OrderTracker {
  private readonly sent = new Map<string, SentOrder>();
  private readonly seen = new Map<string, EngineVersion>();
  private readonly busy = new Set<string>();
  private readonly notBefore = new Map<string, number>();
  private loadMs: number | undefined;

  /** Measured time of a load, in milliseconds. */
  get measuredLoadMs(): number | undefined {
    return this.loadMs;
  }

  /**
   * Reserves a target for one order.
   *
   * @param target - Target.
   * @param nowMs - Monotonic time.
   * @returns Whether no other order to it is on its way.
   */
  begin(target: string, nowMs: number): boolean {
    if (this.busy.has(target)) return false;
    if (nowMs < (this.notBefore.get(target) ?? -Infinity)) return false;
    this.busy.add(target);
    return true;
  }

  /**
   * Ends a reservation.
   *
   * @param target - Target.
   * @param retryAtMs - Time of the next attempt.
   */
  end(target: string, retryAtMs = -Infinity): void {
    this.busy.delete(target);
    this.notBefore.set(target, retryAtMs);
  }

  /**
   * Notes what an engine said.
   *
   * @param target - Target.
   * @param engine - Its state, `undefined` if it did not answer.
   */
  observe(target: string, engine: EngineVersion | undefined): void {
    if (engine) this.seen.set(target, engine);
    else this.seen.delete(target);
  }

  /**
   * Notes an order that is about to be sent.
   *
   * @param target - Target.
   * @param version - Version to load.
   * @param nowMs - Monotonic time.
   */
  order(target: string, version: string, nowMs: number): void {
    this.sent.set(target, {version, atMs: nowMs});
  }

  /**
   * Forgets an order that certainly had no effect.
   *
   * @param target - Target.
   */
  forget(target: string): void {
    this.sent.delete(target);
  }

  /**
   * Adds the orders on their way to a list of targets.
   *
   * @param targets - Targets as the rest of the host sees them.
   * @param nowMs - Monotonic time.
   * @returns Targets with orders that are not visible yet.
   */
  overlay(targets: readonly RolloutTarget[], nowMs: number): RolloutTarget[] {
    return targets.map(target => {
      const order = this.sent.get(target.name);
      const seen = this.seen.get(target.name);
      if (seen) this.seen.delete(target.name);
      if (order) return this.applyOrder(target, order, nowMs);
      if (seen?.loading && !target.loading) {
        this.sent.set(target.name, {version: seen.loading, atMs: nowMs});
        return {...target, loading: seen.loading};
      }
      return target;
    });
  }

  private applyOrder(
    target: RolloutTarget,
    order: SentOrder,
    nowMs: number,
  ): RolloutTarget {
    if (target.version === order.version && !target.loading) {
      this.sent.delete(target.name);
      const tookMs = nowMs - order.atMs;
      this.loadMs =
        this.loadMs === undefined ? tookMs : this.loadMs * 0.7 + tookMs * 0.3;
      return target;
    }
    if (nowMs - order.atMs > orderTimeoutMs) {
      this.sent.delete(target.name);
      return target;
    }
    return {...target, loading: target.loading ?? order.version};
  }
}
