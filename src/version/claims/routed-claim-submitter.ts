import type {Clock} from '../../process/clock.js';
import type {MemberView} from '../../process/member-view.js';
import {findOwner} from '../../process/ownership.js';
import type {LedgerDecision, LedgerEntry} from './claim-ledger.js';
import {ClaimSubmitter, claimStream} from './claim-submitter.js';
import {ClaimUndecidedError} from './claim-writer.js';

/** First and greatest upper bound of the delay before a release is sent again, in milliseconds. */
const firstDelayMs = 100;
const lastDelayMs = 5000;
/** A decision that comes later than this was read by a host that was paused, in milliseconds. */
const lateMs = 5000;

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
 * log decides, so two hosts may write to one partition: during a change of the owner, and when a
 * host writes a claim itself because the owner did not decide it.
 */
export class RoutedClaimSubmitter extends ClaimSubmitter {
  private readonly owners = new Map<number, string | undefined>();
  private ownersOf: string | undefined;
  private owned = 0;
  private stopped = false;
  private pauses = 0;

  /**
   * @param parts - Parts of the process.
   */
  constructor(private readonly parts: RoutedSubmitterParts) {
    super();
  }

  /** Share of the partitions that this host owns, 0..1. */
  get ownedShare(): number {
    this.refresh();
    return this.owned / this.parts.partitions;
  }

  /** Claims that this host wrote itself because the owner did not decide them. */
  fallbacks = 0;

  override async submit(
    partition: number,
    entry: LedgerEntry,
  ): Promise<LedgerDecision> {
    if (entry.op === 'claim') return this.claim(partition, entry);
    for (let attempt = 0; !this.stopped; attempt++) {
      try {
        return await this.send(partition, entry);
      } catch (err) {
        if (!(err instanceof ClaimUndecidedError)) throw err;
        await this.backOff(attempt);
      }
    }
    throw new ClaimUndecidedError(true);
  }

  /**
   * Gives up all claims that are not decided: this host was paused or taken for dead. What it wins
   * by them is released.
   */
  selfPaused(): void {
    this.pauses++;
  }

  /** Ends the repetition of releases. */
  stop(): void {
    this.stopped = true;
  }

  private async claim(
    partition: number,
    entry: LedgerEntry,
  ): Promise<LedgerDecision> {
    const {clock} = this.parts;
    const {pauses} = this;
    const startMs = clock.nowMs();
    const decision = await this.send(partition, entry);
    // After a pause the answers that waited in the sockets may come before the timers.
    const late = clock.nowMs() - startMs > lateMs;
    if (decision.kind === 'won' && (late || pauses !== this.pauses)) {
      throw new ClaimUndecidedError(true);
    }
    return decision;
  }

  private async send(
    partition: number,
    entry: LedgerEntry,
  ): Promise<LedgerDecision> {
    const {members, transport, local} = this.parts;
    this.refresh();
    const owner = this.owners.get(partition);
    if (owner === undefined || owner === members.self.id) {
      return local.submit(partition, entry);
    }
    try {
      return await transport.submit(owner, partition, entry);
    } catch (err) {
      if (!(err instanceof ClaimUndecidedError) || entry.op !== 'claim')
        throw err;
      this.fallbacks++;
      return this.writeSelf(partition, entry, err.maybeAppended);
    }
  }

  private async writeSelf(
    partition: number,
    entry: LedgerEntry,
    maybeAppended: boolean,
  ): Promise<LedgerDecision> {
    try {
      return await this.parts.local.submit(partition, entry);
    } catch (err) {
      if (!(err instanceof ClaimUndecidedError)) throw err;
      // The owner may still append the entry, whatever became of the own attempt.
      throw new ClaimUndecidedError(maybeAppended || err.maybeAppended);
    }
  }

  /** Computes the owners of all partitions, once for each set of live hosts. */
  private refresh(): void {
    const {members, partitions} = this.parts;
    const ids = members.live().map(({id}) => id);
    const key = ids.join('\n');
    if (key === this.ownersOf) return;
    this.ownersOf = key;
    this.owned = 0;
    for (let partition = 0; partition < partitions; partition++) {
      const owner = findOwner(claimStream(partition), ids);
      this.owners.set(partition, owner);
      if (owner === members.self.id) this.owned++;
    }
  }

  private backOff(attempt: number): Promise<void> {
    const {clock, random} = this.parts;
    const bound = Math.min(lastDelayMs, firstDelayMs * 2 ** attempt);
    return new Promise(resolve => {
      clock.after(Math.max(1, bound * random()), resolve);
    });
  }
}
