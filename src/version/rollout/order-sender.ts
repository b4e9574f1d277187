import type {Logger} from '../../process/logger.js';
import type {Clock} from '../../process/clock.js';
import {FailureError} from '../../process/errors/catalogue.js';
import {OrderTracker} from './order-tracker.js';
import type {EngineOrders, LoadGate} from './ports.js';
import type {LoadOrder} from './in-place.js';
import type {RolloutTarget} from './rollout-view.js';

/** Delay before a failed order is tried again, in milliseconds. */
const orderRetryMs = 2000;

/** Result of asynchronous work for a target, posted back to the task. */
export type OrderMessage =
  | {
      readonly kind: 'order-read';
      readonly rollout: string;
      readonly order: LoadOrder;
      readonly waitMs: number;
      readonly inEffect: boolean;
    }
  | {
      readonly kind: 'order-ended';
      readonly rollout: string;
      readonly target: string;
      readonly err?: FailureError;
    }
  | {
      readonly kind: 'surveyed';
      readonly rollout: string;
      readonly fencing: number;
    };

/** Sends the orders of the rollouts that this host leads. */
export class OrderSender {
  private readonly book = new OrderTracker();
  private readonly surveyed = new Map<string, number>();
  private readonly surveying = new Set<string>();

  /**
   * @param orders - Engines.
   * @param gate - Weight store.
   * @param clock - Clock.
   * @param logger - Log of this part.
   * @param post - Delivers results to the task.
   */
  constructor(
    private readonly orders: EngineOrders,
    private readonly gate: LoadGate,
    private readonly clock: Clock,
    private readonly logger: Logger | undefined,
    private readonly post: (message: OrderMessage) => void,
  ) {}

  /** Measured time of a load, in milliseconds. */
  get measuredLoadMs(): number | undefined {
    return this.book.measuredLoadMs;
  }

  /**
   * Adds orders on their way to a list of targets.
   *
   * @param targets - Targets.
   */
  overlay(targets: readonly RolloutTarget[]): RolloutTarget[] {
    return this.book.overlay(targets, this.clock.nowMs());
  }

  /**
   * Reads all engines once after this host became the leader, because orders of the leader before
   * it may not be visible yet.
   *
   * @param rollout - Rollout.
   * @param fencing - Fencing number of this host.
   * @param targets - Targets of the service.
   * @returns Whether the engines have been read.
   */
  survey(
    rollout: string,
    fencing: number,
    targets: readonly RolloutTarget[],
  ): boolean {
    if (this.surveyed.get(rollout) === fencing) return true;
    if (this.surveying.has(rollout)) return false;
    this.surveying.add(rollout);
    const reads = targets.map(({name}) =>
      this.orders.read(name).then(
        engine => this.book.observe(name, engine),
        () => this.book.observe(name, undefined),
      ),
    );
    void Promise.all(reads).then(() =>
      this.post({kind: 'surveyed', rollout, fencing}),
    );
    return false;
  }

  /**
   * Notes the end of a survey.
   *
   * @param rollout - Rollout.
   * @param fencing - Fencing number under which it was made.
   */
  endSurvey(rollout: string, fencing: number): void {
    this.surveying.delete(rollout);
    this.surveyed.set(rollout, fencing);
  }

  /**
   * Prepares an order: the engine is read again, and the weight store is asked for the load.
   *
   * @param rollout - Rollout.
   * @param order - Order.
   */
  prepare(rollout: string, order: LoadOrder): void {
    const {target, version} = order;
    if (!this.book.begin(target, this.clock.nowMs())) return;
    const prepared = async () => {
      const engine = await this.orders.read(target);
      const inEffect =
        engine.loading === version ||
        (engine.version === version && !engine.loading);
      if (inEffect) this.book.observe(target, engine);
      const waitMs = inEffect ? 0 : await this.gate.request(target, version);
      this.post({kind: 'order-read', rollout, order, waitMs, inEffect});
    };
    prepared().catch((err: unknown) => this.fail(rollout, target, err));
  }

  /**
   * Sends a prepared order.
   *
   * @param message - Result of the preparation.
   * @param fencing - Fencing number; `undefined` if this host no longer leads.
   */
  send(
    message: OrderMessage & {kind: 'order-read'},
    fencing: number | undefined,
  ): void {
    const {rollout, order, waitMs, inEffect} = message;
    const {target, version} = order;
    const nowMs = this.clock.nowMs();
    if (fencing === undefined || inEffect || waitMs > 0) {
      this.book.end(target, nowMs + waitMs);
      return;
    }
    this.book.order(target, version, nowMs);
    this.logger?.event('rolloutOrderSent', {rollout, target, version, fencing});
    this.orders.load(target, version, fencing).then(
      () => this.post({kind: 'order-ended', rollout, target}),
      (err: unknown) => this.fail(rollout, target, err),
    );
  }

  /**
   * Ends an order.
   *
   * @param message - Its result.
   * @returns Whether the engine knows a newer leader.
   */
  ended(message: OrderMessage & {kind: 'order-ended'}): boolean {
    const {target, err, rollout} = message;
    if (!err) {
      this.book.end(target);
      return false;
    }
    this.logger?.event('rolloutOrderFailed', {
      rollout,
      target,
      reason: err.message,
    });
    this.book.end(target, this.clock.nowMs() + orderRetryMs);
    // Whether a failed order took effect is not known; the engine is read before the next one.
    this.book.forget(target);
    return err.failure.kind === 'order-rejected';
  }

  private fail(rollout: string, target: string, err: unknown): void {
    const failure =
      err instanceof FailureError
        ? err
        : new FailureError({kind: 'order-failed', target, reason: String(err)});
    this.post({kind: 'order-ended', rollout, target, err: failure});
  }
}
