import type {Clock} from '../../process/clock.js';
import type {MemberView} from '../../process/member-view.js';
import {findOwner} from '../../process/ownership.js';
import type {LedgerDecision, LedgerEntry} from './claim-ledger.js';
import {ClaimSubmitter, claimStream} from './claim-submitter.js';
import {ClaimUndecidedError} from './claim-writer.js';

/** Exponential backoff of releases: maximum of the first and of any delay, in milliseconds. */
const firstDelayMs = 100;
const maxDelayMs = 5000;
/** Time after which a won claim is not granted because this host was paused, in milliseconds. */
const maxDecisionMs = 5000;

/** Transfers entries to the owner of a partition. */
export abstract class ClaimTransport {
  /**
   * Submits an entry at another host.
   *
   * @param host - Id of the owner.
   * @param partition - Index of the partition.
   * @param entry - Claim or release.
   * @returns The outcome, decided by the order of the log.
   * @throws {@link ClaimUndecidedError} as reported by the owner, or with `maybeAppended` if no
   *   response arrived.
   */
  abstract submit(
    host: string,
    partition: number,
    entry: LedgerEntry,
  ): Promise<LedgerDecision>;
}

/** Dependencies of a {@link RoutedClaimSubmitter}. */
export interface RoutedSubmitterParts {
  readonly members: MemberView;
  readonly transport: ClaimTransport;
  /** Writers of this process, for the partitions that it owns and as a fallback. */
  readonly local: ClaimSubmitter;
  readonly clock: Clock;
  /** Returns uniform random numbers from 0 to 1, for the jitter. */
  readonly random: () => number;
  /** Number of partitions; the same in the whole fleet. */
  readonly partitions: number;
}

/**
 * Routes entries to the owner of their partition, so that the claims of many hosts share appends.
 * The log decides, so it is safe that two hosts write to a partition: during a change of the owner,
 * and when a host writes a claim itself because the owner did not decide it.
 */
export class RoutedClaimSubmitter extends ClaimSubmitter {
  private readonly owners = new Map<number, string | undefined>();
  /** Ids of the live hosts for which the owners were computed. */
  private liveHosts: string | undefined;
  private owned = 0;
  private stopped = false;
  private pauses = 0;

  /**
   * @param parts - Dependencies and number of partitions.
   */
  constructor(private readonly parts: RoutedSubmitterParts) {
    super();
  }

  /** Share of the partitions that this host owns, from 0 to 1. */
  get ownedShare(): number {
    this.updateOwners();
    return this.owned / this.parts.partitions;
  }

  /** Number of claims that this host submitted itself because the owner did not decide them. */
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
   * Abandons all undecided claims, because this host was paused or declared dead. A claim that wins
   * nevertheless is released.
   */
  selfPaused(): void {
    this.pauses++;
  }

  /** Stops the retries of releases. */
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
    // After a pause, responses that waited in the sockets may be handled before any timer.
    const isLate = clock.nowMs() - startMs > maxDecisionMs;
    if (decision.kind === 'won' && (isLate || pauses !== this.pauses)) {
      throw new ClaimUndecidedError(true);
    }
    return decision;
  }

  private async send(
    partition: number,
    entry: LedgerEntry,
  ): Promise<LedgerDecision> {
    const {members, transport, local} = this.parts;
    this.updateOwners();
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
      return this.submitLocally(partition, entry, err.maybeAppended);
    }
  }

  private async submitLocally(
    partition: number,
    entry: LedgerEntry,
    maybeAppended: boolean,
  ): Promise<LedgerDecision> {
    try {
      return await this.parts.local.submit(partition, entry);
    } catch (err) {
      if (!(err instanceof ClaimUndecidedError)) throw err;
      // The owner may still append the entry, whatever the outcome of the local submission.
      throw new ClaimUndecidedError(maybeAppended || err.maybeAppended);
    }
  }

  /** Recomputes the owners of all partitions if the set of live hosts has changed. */
  private updateOwners(): void {
    const {members, partitions} = this.parts;
    const ids = members.live().map(({id}) => id);
    const key = ids.join('\n');
    if (key === this.liveHosts) return;
    this.liveHosts = key;
    this.owned = 0;
    for (let partition = 0; partition < partitions; partition++) {
      const owner = findOwner(claimStream(partition), ids);
      this.owners.set(partition, owner);
      if (owner === members.self.id) this.owned++;
    }
  }

  private backOff(attempt: number): Promise<void> {
    const {clock, random} = this.parts;
    const bound = Math.min(maxDelayMs, firstDelayMs * 2 ** attempt);
    return new Promise(resolve => {
      clock.after(Math.max(1, bound * random()), resolve);
    });
  }
}
