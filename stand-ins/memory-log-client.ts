import {
  LogClient,
  type LogPage,
} from '../src/connection/platform/log-client.js';
import type {Cancel, Clock} from '../src/process/clock.js';
import {FailureError} from '../src/process/errors/catalogue.js';
import {LogStore, type LogFaults} from './log-store.js';

/**
 * Log client without a network, for tests in virtual time. Clients that share a store see the same
 * streams; each has its own faults if it is given its own {@link LogFaults} (a host cut off from
 * the log), else those of the store.
 */
export class MemoryLogClient extends LogClient {
  /**
   * @param clock - Clock for slow calls and waiting reads.
   * @param store - Streams.
   * @param faults - Faults of this client; only `down` and `slowMs` differ from the store's.
   */
  constructor(
    private readonly clock: Clock,
    readonly store: LogStore = new LogStore(),
    readonly faults: LogFaults = store.faults,
  ) {
    super();
  }

  override async append(stream: string, data: unknown): Promise<number> {
    // The record is copied as it would be by a network, so that later changes do not reach it.
    const copy: unknown = structuredClone(data);
    await this.begin(stream);
    const outcome = this.store.append(stream, copy, this.clock.nowMs());
    if (outcome.kind === 'rate-limited') {
      const {retryAfterMs} = outcome;
      throw new FailureError({kind: 'log-rate-limited', stream, retryAfterMs});
    }
    if (outcome.answerLost) throw unavailable(stream, 'answer lost');
    return outcome.offset;
  }

  override async read(
    stream: string,
    from: number,
    options: {limit?: number; waitMs?: number; signal?: AbortSignal} = {},
  ): Promise<LogPage> {
    const {limit = 500, waitMs = 0, signal} = options;
    await this.begin(stream, signal);
    if (waitMs > 0 && this.store.isAtEnd(stream, from)) {
      await this.wait(waitMs, signal, wake =>
        this.store.onAppend(stream, wake),
      );
      if (signal?.aborted) throw unavailable(stream, 'aborted');
      if (this.faults.down) throw unavailable(stream, 'down');
    }
    const page = this.store.read(stream, from, limit);
    if (from < page.first) {
      const {first} = page;
      throw new FailureError({kind: 'log-truncated', stream, from, first});
    }
    return page;
  }

  private async begin(stream: string, signal?: AbortSignal): Promise<void> {
    const {slowMs} = this.faults;
    if (slowMs > 0) await this.wait(slowMs, signal);
    if (signal?.aborted) throw unavailable(stream, 'aborted');
    if (this.faults.down) throw unavailable(stream, 'down');
  }

  private wait(
    ms: number,
    signal?: AbortSignal,
    register: (wake: () => void) => () => void = () => () => {},
  ): Promise<void> {
    if (signal?.aborted) return Promise.resolve();
    return new Promise(resolve => {
      let cancel: Cancel = () => {};
      const end = () => {
        cancel();
        unregister();
        signal?.removeEventListener('abort', end);
        resolve();
      };
      const unregister = register(end);
      cancel = this.clock.after(ms, end);
      signal?.addEventListener('abort', end);
    });
  }
}

function unavailable(stream: string, reason: string): FailureError {
  return new FailureError({kind: 'log-unavailable', stream, reason});
}
