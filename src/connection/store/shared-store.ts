import type {Change, RolloutStatus} from '../../version/deployment/types.js';

/** Logs of the store that hosts read. */
export const feeds = {
  /** Configuration, rollout orders and evacuations, written by operators. */
  orders: 'orders',
  /** Entries that targets write about themselves. */
  targets: 'targets',
  /** Statuses of rollouts, written by hosts. */
  statuses: 'statuses',
  /** Hosts that started, written by hosts. */
  hosts: 'hosts',
} as const;

/** One of {@link feeds}. */
export type Feed = (typeof feeds)[keyof typeof feeds];

/** A record in the order of the log. */
export interface FeedRecord {
  readonly offset: number;
  readonly change: Change;
}

/** Newest record of each key. */
export interface Snapshot {
  readonly records: readonly FeedRecord[];
  /** Offset from which reading goes on. */
  readonly next: number;
}

/** Answer to a read from an offset. */
export type ReadResult =
  | {
      readonly kind: 'records';
      readonly records: readonly FeedRecord[];
      readonly next: number;
    }
  /** The log no longer holds the offset. */
  | {readonly kind: 'truncated'; readonly first: number};

/** Answer to a conditional append. */
export type AppendResult =
  | {readonly kind: 'appended'}
  /** Another record was appended first. */
  | {readonly kind: 'conflict'; readonly end: number};

/** The store that outlives every host. All calls fail with a {@link FailureError} of kind `store-*`. */
export abstract class SharedStore {
  /**
   * Reads the newest record of each key.
   *
   * @param feed - Log to read.
   * @returns The records and where reading goes on.
   */
  abstract newest(feed: Feed): Promise<Snapshot>;

  /**
   * Reads records from an offset on.
   *
   * @param feed - Log to read.
   * @param from - First offset.
   * @param waitMs - Time to wait for a record if there is none, in milliseconds.
   */
  abstract read(feed: Feed, from: number, waitMs: number): Promise<ReadResult>;

  /**
   * Appends a rollout status if the log of statuses still ends at an offset.
   *
   * @param status - Status to record.
   * @param end - Offset at which the log must end.
   */
  abstract appendStatus(
    status: RolloutStatus,
    end: number,
  ): Promise<AppendResult>;

  /**
   * Registers a host, or removes it.
   *
   * @param host - Name of the host.
   * @param entry - Where it listens; absent to remove it.
   */
  abstract register(
    host: string,
    entry: {readonly ip: string; readonly zone: string} | undefined,
  ): Promise<void>;

  /** Closes all connections. */
  abstract close(): Promise<void>;
}
