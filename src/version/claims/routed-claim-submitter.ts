import type {Clock} from '../../process/clock.js';
import type {MemberView} from '../../process/member-view.js';
import {findOwner} from '../../process/ownership.js';
import type {LedgerDecision, LedgerEntry} from './claim-ledger.js';
import {ClaimSubmitter, claimStream} from './claim-submitter.js';
import {ClaimUndecided} from './claim-writer.js';

/** First and greatest upper bound of the delay before a release is sent again, in milliseconds. */
const firstDelayMs = 100;
const lastDelayMs = 5000;

/** Carries entries to the owner of a partition. */
export abstract class ClaimTransport {
  /**
   * Submits an entry at another host.
   *
   * @param host - Id of the owner.
   * @param partition - Number of the partition.
   * @param entry - Claim or release.
   * @returns The decision of the log.
   * @throws {@link ClaimUndecided} as stated by the owner, or with `maybeAppended` if no answer
   *   came.
   */
  abstract submit(
    host: string,
    partition: number,
    entry: LedgerEntry,
  ): Promise<LedgerDecision>;
}

/** Parts that the routed submitter uses. */
export interface RoutedSubmitterParts {
  readonly members: MemberView;
  readonly transport: ClaimTransport;
  /** Writers of this process, for the partitions that it owns. */
  readonly local: ClaimSubmitter;
  readonly clock: Clock;
  /** Uniform random number in 0..1, for the jitter. */
  readonly random: () => number;
  /** Number of partitions; the same in the whole fleet. */
  readonly partitions: number;
}

/**
 * Sends entries to the owner of their partition, so that claims of many hosts share appends. The
 * log decides; during a change of the owner two hosts may write to one partition.
 */
export class RoutedClaimSubmitter extends ClaimSubmitter {
  private readonly owners = new Map<number, string | undefined>();
  private ownersOf = '';
  private stopped = false;

  /**
   * @param parts - Parts of the process.
   */
  constructor(private readonly parts: RoutedSubmitterParts) {
    super();
  }

  /** Share of the partitions that this host owns, 0..1. */
  get ownedShare(): number {
    const {members, partitions} = this.parts;
    let owned = 0;
    for (let partition = 0; partition < partitions; partition++) {
      if (this.owner(partition) === members.self.id) owned++;
    }
    return owned / partitions;
  }

  override async submit(
    partition: number,
    entry: LedgerEntry,
  ): Promise<LedgerDecision> {
    if (entry.op === 'claim') return this.send(partition, entry);
    for (let attempt = 0; !this.stopped; attempt++) {
      try {
        return await this.send(partition, entry);
      } catch (err) {
        if (!(err instanceof ClaimUndecided)) throw err;
        await this.backOff(attempt);
      }
    }
    throw new ClaimUndecided(true);
  }

  /** Ends the repetition of releases. */
  stop(): void {
    this.stopped = true;
  }

  private send(partition: number, entry: LedgerEntry): Promise<LedgerDecision> {
    const {members, transport, local} = this.parts;
    const owner = this.owner(partition);
    return owner === undefined || owner === members.self.id
      ? local.submit(partition, entry)
      : transport.submit(owner, partition, entry);
  }

  /** Owner of a partition; computed once for each set of live hosts. */
  private owner(partition: number): string | undefined {
    const ids = this.parts.members.live().map(({id}) => id);
    const key = ids.join('\n');
    if (key !== this.ownersOf) {
      this.owners.clear();
      this.ownersOf = key;
    }
    if (!this.owners.has(partition)) {
      this.owners.set(partition, findOwner(claimStream(partition), ids));
    }
    return this.owners.get(partition);
  }

  private backOff(attempt: number): Promise<void> {
    const {clock, random} = this.parts;
    const bound = Math.min(lastDelayMs, firstDelayMs * 2 ** attempt);
    return new Promise(resolve => {
      clock.after(Math.max(1, bound * random()), resolve);
    });
  }
}
