import type {Clock} from '../../process/clock.js';
import {FailureError} from '../../process/errors/catalogue.js';
import {Subject} from '../../process/subject.js';
import type {LogClient, LogRecord} from './log-client.js';

/** How long the log may wait for a new record, in milliseconds. */
const pollWaitMs = 1000;
/** Delay before the log is asked again after a failure, in milliseconds. */
const retryDelayMs = 250;

/** What a follower publishes. */
export type FollowerEvent =
  | {kind: 'records'; records: readonly LogRecord[]; next: number}
  | {kind: 'truncated'; first: number}
  | {kind: 'unavailable'; failure: FailureError};

/** Reads one stream of the log from an offset onwards and publishes what it finds. */
export class LogFollower {
  private readonly subject = new Subject<FollowerEvent>();
  private readonly stopped = new AbortController();

  /** Records and failures, in order. */
  readonly events = this.subject.stream;

  /**
   * @param log - Client of the log service.
   * @param stream - Stream to follow.
   * @param clock - Clock for the delay after a failure.
   */
  constructor(
    private readonly log: LogClient,
    private readonly stream: string,
    private readonly clock: Clock,
  ) {}

  /**
   * Starts to follow. The position is asked before each read, so that records that arrived by
   * another way are not read again.
   *
   * @param position - Returns the next offset wanted.
   */
  start(position: () => number): void {
    void this.follow(position);
  }

  /** Stops to follow. */
  stop(): void {
    this.stopped.abort();
  }

  private async follow(position: () => number): Promise<void> {
    const {signal} = this.stopped;
    while (!signal.aborted) {
      try {
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
      } catch (err) {
        if (signal.aborted) return;
        if (!(err instanceof FailureError)) throw err;
        this.publishFailure(err);
        await new Promise<void>(resolve =>
          this.clock.after(retryDelayMs, resolve),
        );
      }
    }
  }

  private publishFailure(err: FailureError): void {
    if (err.failure.kind === 'log-truncated') {
      this.subject.next({kind: 'truncated', first: err.failure.first});
    } else {
      this.subject.next({kind: 'unavailable', failure: err});
    }
  }
}
