import type {Settings} from './settings.js';

/**
 * Memory that a host takes besides what it holds for callers, in bytes: the program, its heap, buffers of the sockets, and
 * garbage that is not collected yet.
 */
const programBytes = 140 * 1024 * 1024;
/** Share of the remaining memory that may be held for callers. The blocks of bodies stay allocated beside unread responses. */
const callerShare = 0.5;
/** The smallest bound, in bytes; a body of 4 MiB fits. */
const minBytes = 6 * 1024 * 1024;

/** The same of an entry host whose settings state none, in bytes. */
const defaultEntryBytes = 64 * 1024 * 1024;

/**
 * Computes how much memory a host may hold for callers.
 *
 * @param memoryBytes - Maximum resident memory of the process, in bytes.
 * @returns Bound in bytes.
 */
export function callerMemoryBytes(memoryBytes: number): number {
  const bytes = (memoryBytes - programBytes) * callerShare;
  return Math.max(minBytes, Math.floor(bytes));
}

/**
 * Computes how much memory an entry host may hold for callers.
 *
 * @param callers - Settings of the server for callers.
 * @returns Bound in bytes.
 */
export function entryCallerMemoryBytes({
  maxBodyBytes,
  memoryBytes,
}: Pick<Settings['callers'], 'maxBodyBytes' | 'memoryBytes'>): number {
  return memoryBytes ?? Math.max(defaultEntryBytes, 2 * maxBodyBytes);
}
