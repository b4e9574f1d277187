import type {
  LogPage,
  LogRecord,
} from '../src/connection/platform/log-client.js';

/** Faults of the log, to be changed at any time. */
export interface LogFaults {
  /** No call succeeds. */
  down: boolean;
  /** Added to every call, in milliseconds. */
  slowMs: number;
  /** Number of next appends whose answer is lost after they took effect. */
  loseAnswers: number;
  /** Appends accepted per second over all streams; 0 is unlimited. */
  appendsPerSecond: number;
}

/** What became of an append. */
export type AppendOutcome =
  | {kind: 'appended'; offset: number; answerLost: boolean}
  | {kind: 'rate-limited'; retryAfterMs: number};

interface StoredStream {
  first: number;
  records: LogRecord[];
  readonly waiters: Set<() => void>;
}

/** Streams of an append-only log in memory, without transport or timers. */
export class LogStore {
  readonly faults: LogFaults = {
    down: false,
    slowMs: 0,
    loseAnswers: 0,
    appendsPerSecond: 0,
  };
  private readonly streams = new Map<string, StoredStream>();
  private nextAppendMs = 0;

  /** Adds a record unless the append rate is reached. */
  append(name: string, data: unknown, nowMs: number): AppendOutcome {
    const retryAfterMs = this.takeAppend(nowMs);
    if (retryAfterMs > 0) return {kind: 'rate-limited', retryAfterMs};
    const stream = this.stream(name);
    const offset = stream.first + stream.records.length;
    stream.records.push({offset, data});
    for (const wake of [...stream.waiters]) wake();
    const answerLost = this.faults.loseAnswers > 0;
    if (answerLost) this.faults.loseAnswers--;
    return {kind: 'appended', offset, answerLost};
  }

  /** Reads a page; `from` below `first` of the result means that records are gone. */
  read(name: string, from: number, limit: number): LogPage {
    const {first, records} = this.stream(name);
    return {
      records:
        from < first ? [] : records.slice(from - first, from - first + limit),
      first,
      next: first + records.length,
    };
  }

  /** Whether a read from `from` would have to wait. */
  isAtEnd(name: string, from: number): boolean {
    const {first, records} = this.stream(name);
    return from >= first + records.length;
  }

  /** Calls a function at the next append; returns a function that takes it back. */
  onAppend(name: string, fn: () => void): () => void {
    const {waiters} = this.stream(name);
    const wake = () => {
      waiters.delete(wake);
      fn();
    };
    waiters.add(wake);
    return () => waiters.delete(wake);
  }

  /** Forgets the records of a stream below `first`. */
  truncate(name: string, first: number): void {
    const stream = this.stream(name);
    const end = stream.first + stream.records.length;
    const to = Math.min(Math.max(first, stream.first), end);
    stream.records = stream.records.slice(to - stream.first);
    stream.first = to;
  }

  /** Names of the streams. */
  get streamNames(): string[] {
    return [...this.streams.keys()];
  }

  /** Spaces appends evenly, with a burst of a tenth of a second; returns how long to wait. */
  private takeAppend(nowMs: number): number {
    const {appendsPerSecond} = this.faults;
    if (appendsPerSecond <= 0) return 0;
    const startMs = Math.max(this.nextAppendMs, nowMs - 100);
    if (startMs > nowMs) return Math.ceil(startMs - nowMs);
    this.nextAppendMs = startMs + 1000 / appendsPerSecond;
    return 0;
  }

  private stream(name: string): StoredStream {
    let stream = this.streams.get(name);
    if (!stream) {
      stream = {first: 0, records: [], waiters: new Set()};
      this.streams.set(name, stream);
    }
    return stream;
  }
}
