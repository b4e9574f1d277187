import {AppendBudget} from './append-budget.js';
import {ClaimWriter, type ClaimWriterParts} from './claim-writer.js';
import type {LedgerDecision, LedgerEntry} from './claim-ledger.js';

/**
 * Appends per second of the whole fleet to all claim streams. The log takes several hundred over
 * all streams; the rest is left to configuration, leases and rollouts.
 */
export const claimAppendsPerSecond = 200;

/** Brings an entry to a writer of its partition: in this process, or at the partition's owner. */
export abstract class ClaimSubmitter {
  /**
   * Submits one entry.
   *
   * @param partition - Number of the partition.
   * @param entry - Claim or release.
   * @returns The decision of the log.
   * @throws {@link ClaimUndecided}, for claims only. A lost answer of another host counts as
   *   possibly appended.
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
  /** Reads this process's present share of the fleet's append rate, in appends per second. */
  readonly appendsPerSecond: () => number;
}

/** Writes all partitions from this process. */
export class LocalClaimSubmitter extends ClaimSubmitter {
  private readonly writers = new Map<number, ClaimWriter>();
  private readonly budget: AppendBudget;

  /**
   * @param options - Parts and settings of the writers.
   */
  constructor(private readonly options: LocalSubmitterOptions) {
    super();
    this.budget = new AppendBudget(options.appendsPerSecond);
  }

  /** Records appended so far. */
  get appends(): number {
    let sum = 0;
    for (const writer of this.writers.values()) sum += writer.appends;
    return sum;
  }

  /** Keys remembered in all ledgers. */
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

  /** Stops all writers. */
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
 * Names the stream of a partition.
 *
 * @param partition - Number of the partition.
 * @returns For example `claims-07`.
 */
export function claimStream(partition: number): string {
  return `claims-${String(partition).padStart(2, '0')}`;
}
