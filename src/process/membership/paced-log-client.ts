import {LogClient, type LogPage} from '../../connection/platform/log-client.js';
import type {Clock} from '../clock.js';
import type {RecordRelay} from './record-relay.js';

const checkIntervalMs = 250;

/**
 * Log client that delays the reads of relayed streams until the record relay decides that this host
 * reads the log itself.
 */
export class PacedLogClient extends LogClient {
  /** Streams whose last page did not reach the end of the log; they are read on without delay. */
  private readonly behind = new Set<string>();

  /**
   * @param log - Client of the log service.
   * @param relay - Decides when this host reads the log.
   * @param clock - Clock for the interval between the checks.
   */
  constructor(
    private readonly log: LogClient,
    private readonly relay: RecordRelay,
    private readonly clock: Clock,
  ) {
    super();
  }

  override append(stream: string, data: unknown): Promise<number> {
    return this.log.append(stream, data);
  }

  override async read(
    stream: string,
    from: number,
    options: {limit?: number; waitMs?: number; signal?: AbortSignal} = {},
  ): Promise<LogPage> {
    if (!this.relay.isRelayed(stream)) {
      return this.log.read(stream, from, options);
    }
    while (!this.behind.has(stream) && !this.relay.shouldRead(stream)) {
      if (options.signal?.aborted) break;
      await new Promise<void>(resolve =>
        this.clock.after(checkIntervalMs, resolve),
      );
    }
    this.behind.delete(stream);
    this.relay.markRead(stream);
    // Only permanent readers long-poll the log; other hosts return at once.
    const waitMs = this.relay.isReader(stream) ? options.waitMs : 0;
    const page = await this.log.read(stream, from, {...options, waitMs});
    const reached = page.records.at(-1)?.offset ?? from - 1;
    if (reached + 1 < page.next) this.behind.add(stream);
    return page;
  }
}
