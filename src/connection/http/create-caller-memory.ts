import {
  callerMemoryBytes,
  entryCallerMemoryBytes,
} from '../../process/caller-memory-bytes.js';
import type {Clock} from '../../process/clock.js';
import type {DecisionLog} from '../../process/decision-log.js';
import type {HostLimits} from '../../process/gateway-settings.js';
import type {Logger} from '../../process/logger.js';
import type {MetricRegistry} from '../../process/metric-registry.js';
import type {Settings} from '../../process/settings.js';
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

/**
 * Creates the accounts of an entry host's callers.
 *
 * @param callers - Settings of the server for callers.
 * @param parts - Clock, metrics and log of the host.
 * @returns Accounts that hold nothing.
 */
export function createEntryMemory(
  callers: Pick<Settings['callers'], 'maxBodyBytes' | 'memoryBytes'>,
  parts: {clock: Clock; metrics: MetricRegistry; logger: Logger},
): CallerMemory {
  const {clock, metrics, logger} = parts;
  return new CallerMemory(entryCallerMemoryBytes(callers), {
    clock,
    metrics,
    onEvicted: (kind, bytes) =>
      logger.event('callerMemoryEvicted', {kind, bytes}),
  });
}
