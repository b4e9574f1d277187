import type {DutyRecord, PositionedRecord} from './duty-record.js';

/** The newest record of each key. */
export interface DutySnapshot {
  readonly records: readonly PositionedRecord[];
  /** Position at which the log ends; the condition of the next append. */
  readonly end: number;
}

/** Result of a conditional append. */
export type DutyAppendResult =
  | {
      readonly kind: 'appended';
      /** Position of the first record. */
      readonly position: number;
      /** Position at which the log ends now. */
      readonly end: number;
    }
  /** The log did not end at the position, or the store was restored; it has to be read again. */
  | {readonly kind: 'conflict'};

/** Log of the store in which hosts agree on the duties. All calls reject with a `FailureError` of kind `store-*`. */
export abstract class DutyLog {
  /** Reads the newest record of each key. */
  abstract newest(): Promise<DutySnapshot>;

  /**
   * Appends records, all or none, if the log still ends at a position. After a rejection it is not known whether they
   * were or will be appended.
   *
   * @param records - Records to append.
   * @param end - Position at which the log must end.
   */
  abstract append(
    records: readonly DutyRecord[],
    end: number,
  ): Promise<DutyAppendResult>;

  /** Closes all connections. */
  async close(): Promise<void> {}
}
