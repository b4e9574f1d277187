import type {Logger} from '../../process/logger.js';
import type {Clock} from '../../process/clock.js';
import {FailureError} from '../../process/errors/catalogue.js';
import {OrderTracker} from './order-tracker.js';
import type {EngineOrders, LoadGate} from './ports.js';
import type {LoadOrder} from './in-place.js';
import type {RolloutTarget} from './rollout-view.js';

/** Delay before a failed order is retried, in milliseconds. */
const orderRetryMs = 2000;

/** Result of asynchronous work, posted back to the task. */
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

/** Sends the load orders of the rollouts that this host leads. */
export class OrderSender {
  private readonly tracker = new OrderTracker();
  private readonly surveyed = new Map<string, number>();
  private readonly surveying = new Set<string>();

  /**
   * @param orders - Reads engines and sends them orders.
   * @param gate - Admission control of the weight store.
   * @param clock - Clock of the process.
   * @param logger - Logger for sent and failed orders.
   * @param post - Delivers results to the task.
   */
  constructor(
    private readonly orders: EngineOrders,
    private readonly gate: LoadGate,
    private readonly clock: Clock,
    private readonly logger: Logger | undefined,
    private readonly post: (message: OrderMessage) => void,
  ) {}

  /** Moving average of load times, in milliseconds; `undefined` before the first load. */
  get measuredLoadMs(): number | undefined {
    return this.tracker.measuredLoadMs;
  }

  /**
   * Applies pending orders to a list of targets.
   *
   * @param targets - Targets of a service.
   * @returns Targets, with the versions that pending orders make them load.
   */
  overlay(targets: readonly RolloutTarget[]): RolloutTarget[] {
    return this.tracker.overlay(targets, this.clock.nowMs());
  }

  /**
   * Reads all engines once after this host has become the leader, because orders of the previous
   * leader may not be visible yet.
   *
   * @param rollout - Name of the rollout.
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
        engine => this.tracker.observe(name, engine),
        () => this.tracker.observe(name, undefined),
      ),
    );
    void Promise.all(reads).then(() =>
      this.post({kind: 'surveyed', rollout, fencing}),
    );
    return false;
  }

  /**
   * Marks all engines of a rollout as read.
   *
   * @param rollout - Name of the rollout.
   * @param fencing - Fencing number under which they were read.
   */
  endSurvey(rollout: string, fencing: number): void {
    this.surveying.delete(rollout);
    this.surveyed.set(rollout, fencing);
  }

  /**
   * Prepares an order: reads the engine again, and requests the load from the weight store unless
   * the order has already taken effect. The result is posted as `order-read`.
   *
   * @param rollout - Name of the rollout.
   * @param order - Order to prepare.
   */
  prepare(rollout: string, order: LoadOrder): void {
    const {target, version} = order;
    if (!this.tracker.begin(target, this.clock.nowMs())) return;
    const checkAndRequest = async () => {
      const engine = await this.orders.read(target);
      const inEffect =
        engine.loading === version ||
        (engine.version === version && !engine.loading);
      if (inEffect) this.tracker.observe(target, engine);
      const waitMs = inEffect ? 0 : await this.gate.request(target, version);
      this.post({kind: 'order-read', rollout, order, waitMs, inEffect});
    };
    checkAndRequest().catch((err: unknown) => this.fail(rollout, target, err));
  }

  /**
   * Sends a prepared order, unless it has taken effect, the weight store delays it or this host no
   * longer leads.
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
      this.tracker.end(target, nowMs + waitMs);
      return;
    }
    this.tracker.order(target, version, nowMs);
    this.logger?.event('rolloutOrderSent', {rollout, target, version, fencing});
    this.orders.load(target, version, fencing).then(
      () => this.post({kind: 'order-ended', rollout, target}),
      (err: unknown) => this.fail(rollout, target, err),
    );
  }

  /**
   * Handles the end of an order; a failed one is retried after a delay.
   *
   * @param message - Result of the order.
   * @returns Whether the engine rejected the order because it knows a newer leader.
   */
  handleEnded(message: OrderMessage & {kind: 'order-ended'}): boolean {
    const {target, err, rollout} = message;
    if (!err) {
      this.tracker.end(target);
      return false;
    }
    this.logger?.event('rolloutOrderFailed', {
      rollout,
      target,
      reason: err.message,
    });
    this.tracker.end(target, this.clock.nowMs() + orderRetryMs);
    // A failed order may have taken effect; the engine is read before the next one.
    this.tracker.forget(target);
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
