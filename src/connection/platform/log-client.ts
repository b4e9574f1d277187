/** A record as the log returns it. */
export interface LogRecord {
  readonly offset: number;
  /** Record content, JSON. */
  readonly data: unknown;
}

/** Part of a stream. */
export interface LogPage {
  readonly records: readonly LogRecord[];
  /** Oldest offset that the log still keeps. */
  readonly first: number;
  /** Offset that the next append will get. */
  readonly next: number;
}

/** Client of the platform's append-only log service. */
export abstract class LogClient {
  /**
   * Appends a record. A rejection of kind `log-unavailable` does not tell whether the append took
   * effect: the caller has to look for its record before it appends again.
   *
   * @param stream - Name of the stream.
   * @param data - Content, JSON.
   * @returns Offset of the record.
   * @throws {@link FailureError} of kind `log-unavailable` or `log-rate-limited`.
   */
  abstract append(stream: string, data: unknown): Promise<number>;

  /**
   * Reads records in offset order.
   *
   * @param stream - Name of the stream.
   * @param from - First offset wanted.
   * @param options - `limit`: greatest number of records; `waitMs`: how long the log may wait for
   *   a record if there is none, in milliseconds; `signal`: ends the call.
   * @returns Records from `from` on.
   * @throws {@link FailureError} of kind `log-unavailable` or `log-truncated`.
   */
  abstract read(
    stream: string,
    from: number,
    options?: {limit?: number; waitMs?: number; signal?: AbortSignal},
  ): Promise<LogPage>;
}
