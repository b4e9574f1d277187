/** A record that was read from the log. */
export interface LogRecord {
  readonly offset: number;
  /** Content of the record: a JSON value. */
  readonly data: unknown;
}

/** Consecutive records of a stream, and the offsets that the stream covers. */
export interface LogPage {
  readonly records: readonly LogRecord[];
  /** Oldest offset that the log still retains. */
  readonly first: number;
  /** Offset that the next append will get. */
  readonly next: number;
}

/** Client of the platform's append-only log service. */
export abstract class LogClient {
  /**
   * Appends a record. After a rejection of kind `log-unavailable`, it is unknown whether the append
   * took effect: the calling code has to look for its record before it retries.
   *
   * @param stream - Name of the stream.
   * @param data - Content of the record: a JSON value.
   * @returns Offset of the appended record.
   * @throws {@link FailureError} of kind `log-unavailable` or `log-rate-limited`.
   */
  abstract append(stream: string, data: unknown): Promise<number>;

  /**
   * Reads records in offset order.
   *
   * @param stream - Name of the stream.
   * @param from - Offset of the first record to read.
   * @param options - `limit`: maximum number of records; `waitMs`: how long the log may wait for
   *   a record if there is none, in milliseconds; `signal`: aborts the call.
   * @returns Records from `from` on.
   * @throws {@link FailureError} of kind `log-unavailable` or `log-truncated`.
   */
  abstract read(
    stream: string,
    from: number,
    options?: {limit?: number; waitMs?: number; signal?: AbortSignal},
  ): Promise<LogPage>;
}
