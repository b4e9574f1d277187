import {callerMemoryBytes} from '../../process/caller-memory-bytes.js';
import type {Clock} from '../../process/clock.js';
import type {DecisionLog} from '../../process/decision-log.js';
import type {HostLimits} from '../../process/gateway-settings.js';
import type {MetricRegistry} from '../../process/metric-registry.js';
import {CallerMemory} from './caller-memory.js';

/** What {@link createCallerMemory} connects. */
export interface CallerMemoryHost {
  readonly clock: Clock;
  readonly metrics: MetricRegistry;
  readonly decisions: DecisionLog;
}

/**
 * Creates the accounts of a gateway's callers, bounded by the memory of its host.
 *
 * @param limits - Limits of the host.
 * @param parts - Clock, metrics and log of the host.
 * @returns Accounts that hold nothing.
 */
export function createCallerMemory(
  {memoryBytes}: HostLimits,
  {clock, metrics, decisions}: CallerMemoryHost,
): CallerMemory {
  return new CallerMemory(callerMemoryBytes(memoryBytes), {
    clock,
    metrics,
    onEvicted: (kind, bytes) =>
      decisions.log('callerMemoryEvicted', {kind, bytes}),
  });
}
