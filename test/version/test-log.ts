import {
  LogClient,
  type LogPage,
} from '../../src/connection/platform/log-client.js';
import {FailureError} from '../../src/process/errors/catalogue.js';

/** Fault of one append. */
export type AppendFault =
  | 'none'
  /** The record is appended, but the response is an error. */
  | 'lost'
  /** The record is not appended, and the response is an error. */
  | 'dropped'
  /** The response is an error, and the record is appended when `releaseDelayed` is called. */
  | 'delayed'
  | 'limited';

/** In-memory streams shared by several clients. */
export class SharedLog {
  readonly streams = new Map<string, {first: number; records: unknown[]}>();
  private delayed: (() => void)[] = [];
  private waiters: (() => void)[] = [];
  appends = 0;

  /** Returns a stream with its retained records. */
  stream(name: string) {
    let stream = this.streams.get(name);
    if (!stream) this.streams.set(name, (stream = {first: 0, records: []}));
    return stream;
  }

  /** Appends a record immediately. */
  put(name: string, data: unknown): number {
    const stream = this.stream(name);
    stream.records.push(structuredClone(data));
    this.appends++;
    this.wake();
    return stream.first + stream.records.length - 1;
  }

  /** Resumes all waiting reads. */
  wake(): void {
    for (const resume of this.waiters.splice(0)) resume();
  }

  /** Waits for the next record or for {@link wake}. */
  wait(): Promise<void> {
    return new Promise(resolve => this.waiters.push(resolve));
  }

  /** Appends a record when {@link releaseDelayed} is called. */
  delay(name: string, data: unknown): void {
    const copy: unknown = structuredClone(data);
    this.delayed.push(() => this.put(name, copy));
  }

  /** Appends all delayed records. */
  releaseDelayed(): void {
    for (const arrive of this.delayed.splice(0)) arrive();
  }

  /** Drops the records below an offset. */
  truncate(name: string, first: number): void {
    const stream = this.stream(name);
    stream.records.splice(0, first - stream.first);
    stream.first = first;
  }
}

/** Client of a {@link SharedLog} with injected faults. */
export class TestLog extends LogClient {
  down = false;
  /** Whether a read at the end waits for the next record, as a follower expects. */
  blocking = false;
  /** Chooses the fault of each append. */
  fault: () => AppendFault = () => 'none';

  constructor(readonly shared = new SharedLog()) {
    super();
  }

  override async append(stream: string, data: unknown): Promise<number> {
    const fault = this.down ? 'dropped' : this.fault();
    await Promise.resolve();
    if (fault === 'limited') {
      throw new FailureError({
        kind: 'log-rate-limited',
        stream,
        retryAfterMs: 10,
      });
    }
    if (fault === 'delayed') this.shared.delay(stream, data);
    if (fault === 'lost') this.shared.put(stream, data);
    if (fault !== 'none') throw this.unavailable(stream);
    return this.shared.put(stream, data);
  }

  override async read(
    name: string,
    from: number,
    {limit = 500, waitMs = 0}: {limit?: number; waitMs?: number} = {},
  ): Promise<LogPage> {
    await Promise.resolve();
    if (this.down) throw this.unavailable(name);
    const {first, records} = this.shared.stream(name);
    if (this.blocking && waitMs > 0 && from >= first + records.length) {
      await this.shared.wait();
      if (this.down) throw this.unavailable(name);
    }
    if (from < first) {
      throw new FailureError({
        kind: 'log-truncated',
        stream: name,
        from,
        first,
      });
    }
    return {
      records: records
        .slice(from - first, from - first + limit)
        .map((data, index) => ({offset: from + index, data})),
      first,
      next: first + records.length,
    };
  }

  private unavailable(stream: string) {
    return new FailureError({kind: 'log-unavailable', stream, reason: 'test'});
  }
}
