import type {Histogram} from 'hdr-histogram-js';
// The package's entry point also loads its log writers, which costs 0.1 s of processor time at start.
import histograms from 'hdr-histogram-js/dist/Int32Histogram.js';
import {Counter, Gauge, Registry} from 'prom-client';

/** Maximum latency that a histogram records, in microseconds: one hour. */
const maxLatencyUs = 3_600_000_000;

/** Decimal precision of a recorded latency. */
const significantDigits = 2;

/** Registry of the metrics of one process, with helpers to declare them. */
export abstract class MetricRegistry {
  /** Underlying Prometheus registry; other components declare their metrics in it. */
  readonly registry = new Registry();

  /**
   * Declares a counter in this host's registry.
   *
   * @param name - Metric name, with unit.
   * @param help - Description for operators, one line.
   * @param labelNames - Names of the labels.
   * @returns The counter.
   */
  counter<L extends string = never>(
    name: string,
    help: string,
    labelNames: readonly L[] = [],
  ): Counter<L> {
    return new Counter({name, help, labelNames, registers: [this.registry]});
  }

  /**
   * Declares a gauge whose value is read when the metrics are rendered.
   *
   * @param name - Metric name, with unit.
   * @param help - Description for operators, one line.
   * @param read - Returns the current value.
   */
  gauge(name: string, help: string, read: () => number): void {
    new Gauge({
      name,
      help,
      registers: [this.registry],
      collect() {
        this.set(read());
      },
    });
  }
}

/** @returns A histogram of latencies in microseconds. */
export function createLatencyHistogram(): Histogram {
  return new histograms.default(1, maxLatencyUs, significantDigits);
}

/**
 * Converts a latency to the unit of the histograms.
 *
 * @param ms - Latency, in milliseconds.
 * @returns Whole microseconds, clamped to the range of the histogram.
 */
export function toMicroseconds(ms: number): number {
  return Math.min(maxLatencyUs, Math.max(1, Math.round(ms * 1000)));
}
