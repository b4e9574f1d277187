import type {Cancel, Clock} from '../../process/clock.js';
import {FailureError} from '../../process/errors/catalogue.js';
import {Subject} from '../../process/subject.js';
import type {LogClient, LogRecord} from './log-client.js';

/** How long the log may hold a read open for a new record, in milliseconds. */
const pollWaitMs = 1000;
/** Maximum delay after a first failure, in milliseconds; doubles with each consecutive one. */
const firstDelayMs = 100;
/** Maximum delay after any failure, in milliseconds; configuration may be at most 4 s late. */
const maxDelayMs = 2000;

/** Event that a follower publishes. */
export type FollowerEvent =
  | {kind: 'records'; records: readonly LogRecord[]; next: number}
  | {kind: 'truncated'; first: number}
  | {kind: 'unavailable'; failure: FailureError};

/**
 * Reads one stream of the log from an offset onwards and publishes its records. Reads are long
 * polls. After a failure, the next read follows with exponential backoff and full jitter, so that
 * the hosts do not overload a recovering log by reading all at once.
 *
 * A record is published again if the consumer has not advanced the position by the next read, so
 * consumers must detect duplicates by the offset.
 */
export class LogFollower {
  private readonly subject = new Subject<FollowerEvent>();
  private readonly stopped = new AbortController();

  /** Stream of records and failures, in order. */
  readonly events = this.subject.stream;

  /**
   * @param log - Client of the log service.
   * @param stream - Name of the stream to follow.
   * @param clock - Clock for the delay after a failure.
   * @param random - Source of jitter, from 0 to 1.
   */
  constructor(
    private readonly log: LogClient,
    private readonly stream: string,
    private readonly clock: Clock,
    private readonly random: () => number = Math.random,
  ) {}

  /**
   * Starts reading. The position is queried before each read, so that records which the consumer
   * received in another way are not read again.
   *
   * @param position - Returns the offset of the next record to read.
   */
  start(position: () => number): void {
    void this.follow(position);
  }

  /** Stops reading and cancels a read or delay in progress. */
  stop(): void {
    this.stopped.abort();
  }

  private async follow(position: () => number): Promise<void> {
    const {signal} = this.stopped;
    let failures = 0;
    while (!signal.aborted) {
      try {
        const startMs = this.clock.nowMs();
        const page = await this.log.read(this.stream, position(), {
          waitMs: pollWaitMs,
          signal,
        });
        if (signal.aborted) return;
        this.subject.next({
          kind: 'records',
          records: page.records,
          next: page.next,
        });
        // Without a delay, a log that returns empty pages early would be read in a tight loop.
        const early =
          page.records.length === 0 &&
          this.clock.nowMs() - startMs < pollWaitMs / 2;
        failures = early ? failures + 1 : 0;
      } catch (err) {
        if (signal.aborted) return;
        if (!(err instanceof FailureError)) throw err;
        failures++;
        this.publishFailure(err);
      }
      if (failures > 0) await this.delay(failures);
    }
  }

  private delay(failures: number): Promise<void> {
    const {signal} = this.stopped;
    if (signal.aborted) return Promise.resolve();
    const limitMs = Math.min(maxDelayMs, firstDelayMs * 2 ** (failures - 1));
    return new Promise(resolve => {
      let cancel: Cancel = () => {};
      const end = () => {
        cancel();
        signal.removeEventListener('abort', end);
        resolve();
      };
      cancel = this.clock.after(this.random() * limitMs, end);
      signal.addEventListener('abort', end);
    });
  }

  private publishFailure(err: FailureError): void {
    if (err.failure.kind === 'log-truncated') {
      this.subject.next({kind: 'truncated', first: err.failure.first});
    } else {
      this.subject.next({kind: 'unavailable', failure: err});
    }
  }
}
