import type {
  HostListClient,
  ListedHost,
} from '../../connection/platform/host-list-client.js';
import type {Cancel, Clock} from '../clock.js';
import {FailureError} from '../errors/catalogue.js';
import type {Logger} from '../logger.js';

/** Maximum time between two reads; long, because the list lags and only helps to find hosts. */
const readIntervalMs = 10_000;
/** Minimum delay of the first retry; doubles with each further failure. */
const retryBaseMs = 500;

/** Dependencies of a {@link HostListPoller}. */
export interface HostListPollerParts {
  readonly client: HostListClient;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Returns numbers from 0 to 1. */
  readonly random: () => number;
  /** Called with each list that was read. */
  readonly onHosts: (hosts: readonly ListedHost[]) => void;
}

/** Polls the platform's host list; while it is unavailable, the last list stays in use. */
export class HostListPoller {
  private readonly stopped = new AbortController();
  private cancel: Cancel = () => {};
  private failures = 0;

  /**
   * @param parts - Client, clock, log and callback for the lists.
   */
  constructor(private readonly parts: HostListPollerParts) {}

  /** Reads the list immediately, and then periodically. */
  start(): void {
    void this.read();
  }

  /** Stops polling and aborts a read in progress. */
  stop(): void {
    this.stopped.abort();
    this.cancel();
  }

  private async read(): Promise<void> {
    const {client, clock, logger, random, onHosts} = this.parts;
    const {signal} = this.stopped;
    try {
      const hosts = await client.hosts(signal);
      if (signal.aborted) return;
      this.failures = 0;
      onHosts(hosts);
    } catch (err) {
      if (signal.aborted) return;
      if (!(err instanceof FailureError)) throw err;
      if (this.failures++ === 0) {
        logger.event('hostListUnavailable', {reason: err.message});
      }
    }
    const maxDelayMs =
      this.failures === 0
        ? readIntervalMs
        : Math.min(readIntervalMs, retryBaseMs * 2 ** this.failures);
    const delayMs = maxDelayMs * (0.5 + random() / 2);
    this.cancel = clock.after(delayMs, () => void this.read());
  }
}
