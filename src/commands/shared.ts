import type {Writable} from 'node:stream';
import {
  describeFailure,
  type FailureError,
} from '../process/errors/catalogue.js';

/** Exit codes of all commands. */
export const exitCodes = {
  ok: 0,
  /** The command ran but failed. */
  failed: 1,
  /** Invalid arguments, settings or files; nothing was changed. */
  usage: 2,
  /** `diff` found differences. */
  different: 3,
  /** Some changes were applied; the output lists those that were not. */
  partial: 4,
  /** The credential was refused. */
  refused: 5,
  /** No host responded, or the log is unavailable. */
  unavailable: 6,
  /** Conflict with a concurrent write; no change of this command was applied. */
  conflict: 7,
  /** Applied, but the state that `--wait` awaits was not reached before the timeout. */
  waitTimedOut: 8,
} as const;

/**
 * Prints the title, message and hint of a failure.
 *
 * @param out - Destination, usually stderr.
 * @param err - Error that carries the failure.
 */
export function printFailure(out: Writable, err: FailureError): void {
  const {title, message, hint} = describeFailure(err.failure);
  out.write(`error: ${title}\n  ${message}\n  hint: ${hint}\n`);
}

/**
 * Resolves at the first SIGTERM or SIGINT; a second one ends the process. Commands that serve use
 * `handleSignals` instead.
 */
export function waitForSignal(): Promise<void> {
  return new Promise(resolve => {
    process.once('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
  });
}
