import type {Writable} from 'node:stream';
import {
  describeFailure,
  type FailureError,
} from '../process/errors/catalogue.js';

/** Exit codes of all commands. */
export const exitCodes = {
  ok: 0,
  /** The command ran and did not reach its goal. */
  failed: 1,
  /** Arguments, settings or files are invalid; nothing was done. */
  usage: 2,
  /** `diff` found differences. */
  different: 3,
  /** A part was applied; the output lists what was not. */
  partial: 4,
  /** The credential was refused. */
  refused: 5,
  /** No host answered, or the log is unavailable. */
  unavailable: 6,
  /** A racing write came first; nothing of this command was applied. */
  conflict: 7,
  /** Applied, but the awaited state was not reached in time. */
  waitTimedOut: 8,
} as const;

/**
 * Prints a failure with its hint.
 *
 * @param out - Stream to write to.
 * @param err - Failure to print.
 */
export function printFailure(out: Writable, err: FailureError): void {
  const {title, message, hint} = describeFailure(err.failure);
  out.write(`error: ${title}\n  ${message}\n  hint: ${hint}\n`);
}

/** Waits for SIGTERM or SIGINT. */
export function waitForSignal(): Promise<void> {
  return new Promise(resolve => {
    process.once('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
  });
}
