import type {LogClient} from '../../connection/platform/log-client.js';
import type {Clock} from '../../process/clock.js';
import {FailureError} from '../../process/errors/catalogue.js';

/** Delay between attempts to read the stream after a failed append, in milliseconds. */
const verifyDelayMs = 500;
const pageLimit = 1000;

/** Outcome of an append. */
export type AppendOutcome =
  | {readonly kind: 'written'; readonly offset: number}
  | {readonly kind: 'absent'};

/** Appends records and finds out whether an append with a lost answer took effect. */
export class IdempotentAppender {
  private readonly sleepers = new Set<() => void>();
  private stopped = false;

  /**
   * @param log - Client of the log.
   * @param clock - Clock for delays.
   * @param unconfirmed - Called when an answer was lost.
   */
  constructor(
    private readonly log: LogClient,
    private readonly clock: Clock,
    private readonly unconfirmed: (stream: string) => void = () => {},
  ) {}

  /**
   * Gives up records whose append is not confirmed; without this, a host whose log connection is
   * closed would look for them without end and its process would not exit.
   */
  stop(): void {
    this.stopped = true;
    for (const wake of [...this.sleepers]) wake();
  }

  /**
   * Appends a record. If the answer is lost, the stream is read until it tells whether the record
   * is there; this goes on for as long as the log is down, or until {@link stop}.
   *
   * @param stream - Stream.
   * @param record - Record with a unique write id.
   * @param from - Offset from which the record can be found.
   * @returns The offset, or that the record is not in the stream.
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
      this.unconfirmed(stream);
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
        this.sleepers.delete(wake);
        resolve();
      };
      const cancel = this.clock.after(ms, wake);
      this.sleepers.add(wake);
    });
  }
}
