import {AppendBudget} from './append-budget.js';
import {ClaimWriter, type ClaimWriterParts} from './claim-writer.js';
import type {LedgerDecision, LedgerEntry} from './claim-ledger.js';

/**
 * Maximum appends per second of the whole fleet to all claim streams. The log accepts several
 * hundred over all streams; the rest is reserved for configuration, leases and rollouts.
 */
export const claimAppendsPerSecond = 200;

/** Passes entries to a writer of their partition: in this process, or at the partition's owner. */
export abstract class ClaimSubmitter {
  /**
   * Submits one entry.
   *
   * @param partition - Index of the partition.
   * @param entry - Claim or release.
   * @returns The outcome, decided by the order of the log.
   * @throws {@link ClaimUndecidedError}, for claims only. A claim whose response from another host
   *   was lost counts as possibly appended.
   */
  abstract submit(
    partition: number,
    entry: LedgerEntry,
  ): Promise<LedgerDecision>;
}

/** Settings of the writers of all partitions. */
export interface LocalSubmitterOptions extends Omit<
  ClaimWriterParts,
  'stream' | 'budget'
> {
  /** Returns this process's current share of the fleet's append rate, in appends per second. */
  readonly appendsPerSecond: () => number;
}

/** Writes the entries of all partitions from this process. */
export class LocalClaimSubmitter extends ClaimSubmitter {
  private readonly writers = new Map<number, ClaimWriter>();
  private readonly budget: AppendBudget;

  /**
   * @param options - Dependencies and settings of the writers.
   */
  constructor(private readonly options: LocalSubmitterOptions) {
    super();
    this.budget = new AppendBudget(options.appendsPerSecond);
  }

  /** Number of appends attempted by all writers. */
  get appends(): number {
    let sum = 0;
    for (const writer of this.writers.values()) sum += writer.appends;
    return sum;
  }

  /** Number of keys in all ledgers. */
  get keys(): number {
    let sum = 0;
    for (const writer of this.writers.values()) sum += writer.keys;
    return sum;
  }

  override submit(
    partition: number,
    entry: LedgerEntry,
  ): Promise<LedgerDecision> {
    return this.writer(partition).submit(entry);
  }

  /** Stops all writers; see {@link ClaimWriter.stop}. */
  stop(): void {
    for (const writer of this.writers.values()) writer.stop();
  }

  private writer(partition: number): ClaimWriter {
    let writer = this.writers.get(partition);
    if (!writer) {
      writer = new ClaimWriter({
        ...this.options,
        stream: claimStream(partition),
        budget: this.budget,
      });
      this.writers.set(partition, writer);
    }
    return writer;
  }
}

/**
 * Returns the name of the stream of a partition.
 *
 * @param partition - Index of the partition.
 * @returns For example `claims-07`.
 */
export function claimStream(partition: number): string {
  return `claims-${String(partition).padStart(2, '0')}`;
}
