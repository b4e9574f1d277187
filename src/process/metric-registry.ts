import type {Histogram} from 'hdr-histogram-js';
// The package's own entry compiles writers of log files, which takes 0.1 s of processor time.
import histograms from 'hdr-histogram-js/dist/Int32Histogram.js';
import {Counter, Gauge, Registry} from 'prom-client';

/** Upper bound of a recorded latency, in microseconds: one hour. */
const maxLatencyUs = 3_600_000_000;

/** Digits to which a recorded latency is kept. */
const significantDigits = 2;

/** Declares the metrics of one process. */
export abstract class MetricRegistry {
  /** Registry in which other parts declare their own metrics. */
  readonly registry = new Registry();

  /**
   * Declares a counter in this host's registry.
   *
   * @param name - Metric name, with unit.
   * @param help - One line for operators.
   * @param labelNames - Labels.
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
   * Declares a gauge that is read when metrics are rendered.
   *
   * @param name - Metric name, with unit.
   * @param help - One line for operators.
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
 * Converts a latency to what a histogram records.
 *
 * @param ms - Latency, in milliseconds.
 * @returns Microseconds within the bounds of the histogram.
 */
export function toMicroseconds(ms: number): number {
  return Math.min(maxLatencyUs, Math.max(1, Math.round(ms * 1000)));
}
