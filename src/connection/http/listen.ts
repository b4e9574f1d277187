import type {Server} from 'node:net';
import type {Clock} from '../../process/clock.js';
import {FailureError} from '../../process/errors/catalogue.js';
import type {Endpoint} from '../../process/gateway-settings.js';
import type {Logger} from '../../process/logger.js';

/** Delay before the second attempt to bind an address, in milliseconds; it doubles with each attempt. */
const firstDelayMs = 50;
/** Maximum delay between two attempts, in milliseconds. */
const maxDelayMs = 500;
/** Time for which binding an address is tried, in milliseconds; a predecessor stops sooner. */
const bindTimeoutMs = 60_000;

/** Errors that end by themselves: another socket has the address, or the interface is not up yet. */
const temporaryErrors = new Set(['EADDRINUSE', 'EADDRNOTAVAIL']);

/** Dependencies of {@link bindAddress}. */
export interface BindParts {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Ends the attempts. */
  readonly signal: AbortSignal;
  /** Time for which binding is tried, in milliseconds. */
  readonly timeoutMs?: number;
}

/**
 * Decides when to try again to bind an address.
 *
 * @param code - Error code of the failed attempt.
 * @param attempts - Number of attempts that failed.
 * @param leftMs - Time left for binding, in milliseconds.
 * @returns The delay in milliseconds, or `undefined` if there is no point in another attempt.
 */
export function bindDelayMs(
  code: string | undefined,
  attempts: number,
  leftMs: number,
): number | undefined {
  if (!code || !temporaryErrors.has(code)) return undefined;
  const delayMs = Math.min(firstDelayMs * 2 ** (attempts - 1), maxDelayMs);
  return delayMs <= leftMs ? delayMs : undefined;
}

/**
 * Binds an address, and tries again while another socket has it. That may be the previous process of
 * this host, or an outgoing connection that got the port as its local one.
 *
 * @param endpoint - Address and port.
 * @param attempt - Tries once to bind it.
 * @param parts - Clock, logger and limits.
 * @returns What the successful attempt returned, or `undefined` if the signal came first.
 * @throws {@link FailureError} of kind `address-unavailable`.
 */
export async function bindAddress<T>(
  endpoint: Endpoint,
  attempt: () => Promise<T>,
  {clock, logger, signal, timeoutMs = bindTimeoutMs}: BindParts,
): Promise<T | undefined> {
  const endMs = clock.nowMs() + timeoutMs;
  for (let attempts = 1; !signal.aborted; attempts++) {
    try {
      const bound = await attempt();
      if (attempts > 1) logger.event('addressBound', {...endpoint, attempts});
      return bound;
    } catch (err) {
      const {code, message: reason} = err as NodeJS.ErrnoException;
      const delayMs = bindDelayMs(code, attempts, endMs - clock.nowMs());
      if (delayMs === undefined) {
        const kind = 'address-unavailable';
        throw new FailureError({kind, ...endpoint, reason}, {cause: err});
      }
      if (attempts === 1) logger.event('addressInUse', {...endpoint, reason});
      await pause(clock, delayMs, signal);
    }
  }
  return undefined;
}

/**
 * Starts to listen, once. Errors of accepting a connection afterwards are reported as warnings of the
 * process: without a listener the second one would end it.
 *
 * @param server - Server that does not listen.
 * @param endpoint - Address and port.
 * @returns A promise that rejects if the address cannot be bound.
 */
export function listenOnce(
  server: Server,
  {address, port}: Endpoint,
): Promise<void> {
  return new Promise((resolve, reject) => {
    const onListening = () => {
      server.removeListener('error', onError);
      server.on('error', err => process.emitWarning(err));
      resolve();
    };
    const onError = (err: Error) => {
      server.removeListener('listening', onListening);
      reject(err);
    };
    server.once('listening', onListening);
    server.once('error', onError);
    server.listen(port, address);
  });
}

function pause(
  clock: Clock,
  delayMs: number,
  signal: AbortSignal,
): Promise<void> {
  return new Promise(resolve => {
    const cancel = clock.after(delayMs, () => finish());
    const finish = () => {
      cancel();
      signal.removeEventListener('abort', finish);
      resolve();
    };
    signal.addEventListener('abort', finish);
  });
}
