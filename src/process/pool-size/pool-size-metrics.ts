import {Gauge} from 'prom-client';
import type {GatewayMetrics} from '../gateway-metrics.js';
import type {PoolPlan} from './service-pool.js';

/** Metrics of the orders of targets; the gauges have values at the holder of the duties only. */
export class PoolSizeMetrics {
  private readonly targets;
  private readonly load;
  private readonly orders;

  /** @param metrics - Registry to declare them in. */
  constructor(metrics: GatewayMetrics) {
    const registers = [metrics.registry];
    this.targets = new Gauge({
      name: 'guavaseam_gateway_pool_size_targets',
      help: 'Number of targets in force by the last decision, at the holder of the duties',
      labelNames: ['service', 'zone'],
      registers,
    });
    this.load = new Gauge({
      name: 'guavaseam_gateway_pool_size_load_slots',
      help: 'Slots that callers need, at the holder of the duties',
      labelNames: ['service'],
      registers,
    });
    this.orders = metrics.counter(
      'guavaseam_gateway_pool_size_orders_total',
      'Orders for a number of targets that were recorded, by service and reason',
      ['service', 'reason'],
    );
  }

  /**
   * Shows a decision.
   *
   * @param service - Name of the service.
   * @param plan - The decision.
   */
  decided(service: string, {counts, loadSlots, orders}: PoolPlan): void {
    this.load.set({service}, loadSlots);
    for (const {zone, count} of [...counts, ...orders]) {
      this.targets.set({service, zone}, count);
    }
  }

  /**
   * Counts orders that were recorded.
   *
   * @param service - Name of the service.
   * @param plan - The decision.
   */
  ordered(service: string, {orders, reason}: PoolPlan): void {
    this.orders.inc({service, reason}, orders.length);
  }

  /** Removes the values, because this host no longer holds the duties. */
  clear(): void {
    this.targets.reset();
    this.load.reset();
  }
}
