import type {LogClient} from '../../connection/platform/log-client.js';
import type {Clock} from '../../process/clock.js';
import {FailureError} from '../../process/errors/catalogue.js';

/** Delay between attempts to read the stream after a failed append, in milliseconds. */
const verifyDelayMs = 500;
/** Maximum number of records in one read. */
const pageLimit = 1000;

/** Outcome of an append: written at an offset, or not in the stream. */
export type AppendOutcome =
  | {readonly kind: 'written'; readonly offset: number}
  | {readonly kind: 'absent'};

/** Appends records, and reads the stream to check for a record whose response was lost. */
export class IdempotentAppender {
  private readonly pendingWaits = new Set<() => void>();
  private stopped = false;

  /**
   * @param log - Client of the log.
   * @param clock - Clock for delays.
   * @param onUnconfirmed - Called when the response to an append is lost.
   */
  constructor(
    private readonly log: LogClient,
    private readonly clock: Clock,
    private readonly onUnconfirmed: (stream: string) => void = () => {},
  ) {}

  /**
   * Stops looking for records whose append is not confirmed. Otherwise a host whose log connection
   * is closed would retry the reads forever, and its process would not exit.
   */
  stop(): void {
    this.stopped = true;
    for (const wake of [...this.pendingWaits]) wake();
  }

  /**
   * Appends a record. If the response is lost, the stream is read to find out whether it contains
   * the record; failed reads are retried for as long as the log is down, or until {@link stop}.
   *
   * @param stream - Name of the stream.
   * @param record - Record with a unique write id.
   * @param from - Lowest offset that the record can have.
   * @returns The offset of the record, or `absent` if it was not found.
   */
  async append(
    stream: string,
    record: {readonly writeId: string},
    from: number,
  ): Promise<AppendOutcome> {
    try {
      const offset = await this.log.append(stream, record);
      return {kind: 'written', offset};
    } catch (err) {
      if (!(err instanceof FailureError)) throw err;
      if (err.failure.kind === 'log-rate-limited') {
        await this.pause(err.failure.retryAfterMs);
        return {kind: 'absent'};
      }
      this.onUnconfirmed(stream);
    }
    while (!this.stopped) {
      try {
        return await this.find(stream, record.writeId, from);
      } catch (err) {
        if (!(err instanceof FailureError)) throw err;
        if (err.failure.kind === 'log-truncated') from = err.failure.first;
        await this.pause(verifyDelayMs);
      }
    }
    return {kind: 'absent'};
  }

  private async find(
    stream: string,
    writeId: string,
    from: number,
  ): Promise<AppendOutcome> {
    for (;;) {
      const page = await this.log.read(stream, from, {limit: pageLimit});
      for (const {offset, data} of page.records) {
        if ((data as {writeId?: string} | null)?.writeId === writeId)
          return {kind: 'written', offset};
        from = offset + 1;
      }
      if (page.records.length === 0 || from >= page.next)
        return {kind: 'absent'};
    }
  }

  private pause(ms: number): Promise<void> {
    return new Promise(resolve => {
      const wake = () => {
        cancel();
        this.pendingWaits.delete(wake);
        resolve();
      };
      const cancel = this.clock.after(ms, wake);
      this.pendingWaits.add(wake);
    });
  }
}
