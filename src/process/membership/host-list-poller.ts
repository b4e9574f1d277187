import type {
  HostListClient,
  ListedHost,
} from '../../connection/platform/host-list-client.js';
import type {Cancel, Clock} from '../clock.js';
import {FailureError} from '../errors/catalogue.js';
import type {Logger} from '../logger.js';

/** Mean time between two reads; the list lags anyway and only helps to find hosts. */
const intervalMs = 10_000;
const firstRetryMs = 500;

/** What the poller uses. */
export interface HostListPollerParts {
  readonly client: HostListClient;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Returns numbers from 0 to 1. */
  readonly random: () => number;
  readonly onHosts: (hosts: readonly ListedHost[]) => void;
}

/** Reads the platform's host list regularly; while it is down, the last list stays in use. */
export class HostListPoller {
  private readonly stopped = new AbortController();
  private cancel: Cancel = () => {};
  private failures = 0;

  /**
   * @param parts - Client, clock and receiver of the lists.
   */
  constructor(private readonly parts: HostListPollerParts) {}

  /** Reads the list now and then regularly. */
  start(): void {
    void this.read();
  }

  /** Stops to read. */
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
    const boundMs =
      this.failures === 0
        ? intervalMs
        : Math.min(intervalMs, firstRetryMs * 2 ** this.failures);
    const delayMs = boundMs * (0.5 + random() / 2);
    this.cancel = clock.after(delayMs, () => void this.read());
  }
}
