import type {Change, RolloutStatus} from '../../version/deployment/types.js';

/** Logs of the shared store that hosts read. */
export const feeds = {
  /** Configuration, rollout orders and evacuations, written by operators. */
  orders: 'orders',
  /** Entries in which targets describe themselves, written by targets. */
  targets: 'targets',
  /** Statuses of rollouts, written by hosts. */
  statuses: 'statuses',
  /** Registrations of hosts, written by hosts. */
  hosts: 'hosts',
} as const;

/** One of {@link feeds}. */
export type Feed = (typeof feeds)[keyof typeof feeds];

/** A decoded record with its position in the log. */
export interface FeedRecord {
  readonly offset: number;
  readonly change: Change;
}

/** The newest record of each key of a log. */
export interface Snapshot {
  readonly records: readonly FeedRecord[];
  /** Offset from which to continue reading. */
  readonly next: number;
}

/** Result of a read from an offset. */
export type ReadResult =
  | {
      readonly kind: 'records';
      readonly records: readonly FeedRecord[];
      readonly next: number;
    }
  /** The log no longer holds the requested offset; `first` is the oldest one it holds. */
  | {readonly kind: 'truncated'; readonly first: number};

/** Result of a conditional append. */
export type AppendResult =
  | {readonly kind: 'appended'}
  /** Another record was appended first; `end` is the offset at which the log ends now. */
  | {readonly kind: 'conflict'; readonly end: number};

/** Durable store that all hosts share. All calls reject with a {@link FailureError} of kind `store-*`. */
export abstract class SharedStore {
  /**
   * Reads the newest record of each key.
   *
   * @param feed - Log to read.
   * @returns The records and the offset from which to continue reading.
   */
  abstract newest(feed: Feed): Promise<Snapshot>;

  /**
   * Reads records from an offset onwards.
   *
   * @param feed - Log to read.
   * @param from - Offset of the first record.
   * @param waitMs - Maximum time that the store waits for a record if there is none, in milliseconds.
   */
  abstract read(feed: Feed, from: number, waitMs: number): Promise<ReadResult>;

  /**
   * Appends a rollout status if the `statuses` log still ends at an offset.
   *
   * @param status - Status to append.
   * @param end - Offset at which the log must end for the append to succeed.
   */
  abstract appendStatus(
    status: RolloutStatus,
    end: number,
  ): Promise<AppendResult>;

  /**
   * Registers a host, or removes it.
   *
   * @param host - Name of the host.
   * @param entry - Address and zone of the host; `undefined` removes the host.
   */
  abstract register(
    host: string,
    entry: {readonly ip: string; readonly zone: string} | undefined,
  ): Promise<void>;

  /** Closes all connections. */
  abstract close(): Promise<void>;
}
