import type {EngineVersion} from './ports.js';
import type {RolloutTarget} from './rollout-view.js';

/** Time after which an order without visible effect is dropped, in milliseconds. */
const orderTimeoutMs = 300_000;

interface SentOrder {
  readonly version: string;
  readonly atMs: number;
}

/**
 * Tracks orders of this host that are not visible in the state of the targets yet. Without them a
 * second order could be sent in a zone before the first one is visible.
 */
export class OrderTracker {
  private readonly sent = new Map<string, SentOrder>();
  private readonly seen = new Map<string, EngineVersion>();
  private readonly busy = new Set<string>();
  private readonly notBefore = new Map<string, number>();
  private loadMs: number | undefined;

  /** Moving average of load times, in milliseconds; `undefined` before the first load. */
  get measuredLoadMs(): number | undefined {
    return this.loadMs;
  }

  /**
   * Reserves a target for one order.
   *
   * @param target - Name of the target.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Whether it was reserved; not if an order is pending or its retry time has not come.
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
   * @param target - Name of the target.
   * @param retryAtMs - Monotonic time before which it cannot be reserved again, in milliseconds.
   */
  end(target: string, retryAtMs = -Infinity): void {
    this.busy.delete(target);
    this.notBefore.set(target, retryAtMs);
  }

  /**
   * Stores the versions that an engine reported, until the next {@link overlay}.
   *
   * @param target - Name of the target.
   * @param engine - Reported versions, `undefined` if the engine did not respond.
   */
  observe(target: string, engine: EngineVersion | undefined): void {
    if (engine) this.seen.set(target, engine);
    else this.seen.delete(target);
  }

  /**
   * Records an order that is about to be sent.
   *
   * @param target - Name of the target.
   * @param version - Version to load.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  order(target: string, version: string, nowMs: number): void {
    this.sent.set(target, {version, atMs: nowMs});
  }

  /**
   * Removes an order, so that it no longer counts as pending.
   *
   * @param target - Name of the target.
   */
  forget(target: string): void {
    this.sent.delete(target);
  }

  /**
   * Applies pending orders to a list of targets.
   *
   * @param targets - Targets as the rest of the host sees them.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns Targets, with the versions that orders which are not visible yet make them load.
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
