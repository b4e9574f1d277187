import {FailureError} from '../../process/errors/catalogue.js';
import {partitionOf} from '../../version/claims/claim-key.js';
import type {
  ClaimEntry,
  LedgerDecision,
  LedgerEntry,
} from '../../version/claims/claim-ledger.js';
import type {ClaimSubmitter} from '../../version/claims/claim-submitter.js';
import {ClaimUndecidedError} from '../../version/claims/claim-writer.js';
import {ClaimTransport} from '../../version/claims/routed-claim-submitter.js';
import {MalformedCall, type PeerCalls} from './peer-calls.js';

/**
 * Longest wait for the owner of a partition, in milliseconds; after it the host writes the claim
 * itself. An owner's append waits for its turn for at most 0.4 s at 64 partitions.
 */
export const claimCallTimeoutMs = 1000;

const maxHashLength = 64;
const maxNameLength = 128;

interface WireEntry {
  readonly op: 'claim' | 'release';
  readonly scopeHash: string;
  readonly requestHash: string;
  readonly host: string;
  readonly attempt: string;
  readonly time: number;
}

interface WireCall {
  readonly partition: number;
  readonly entry: WireEntry | null;
}

interface WireReply {
  readonly decision: 'won' | 'lost' | 'released' | 'undecided';
  readonly holder?: WireEntry | null;
  readonly maybeAppended?: boolean;
}

/** Carries claims over the unary call `Claim`. */
export class GrpcClaimTransport extends ClaimTransport {
  /**
   * @param calls - Calls to other hosts.
   */
  constructor(private readonly calls: PeerCalls) {
    super();
  }

  override async submit(
    host: string,
    partition: number,
    entry: LedgerEntry,
  ): Promise<LedgerDecision> {
    let reply: WireReply;
    try {
      reply = await this.calls.call<WireCall, WireReply>(
        'Claim',
        host,
        {partition, entry: {requestHash: '', host: '', ...entry}},
        claimCallTimeoutMs,
      );
    } catch (err) {
      if (!(err instanceof FailureError)) throw err;
      throw new ClaimUndecidedError(true);
    }
    const {decision, holder, maybeAppended} = reply;
    if (decision === 'undecided') {
      throw new ClaimUndecidedError(maybeAppended !== false);
    }
    if ((decision === 'released') !== (entry.op === 'release')) {
      throw new ClaimUndecidedError(true);
    }
    return decision === 'lost'
      ? {kind: decision, holder: holder ? toClaim(holder) : undefined}
      : {kind: decision};
  }
}

/**
 * Serves the unary call `Claim` from the writers of this process.
 *
 * @param calls - Calls from other hosts.
 * @param local - Writers of this process.
 * @param partitions - Number of partitions in the settings of this host.
 */
export function serveClaims(
  calls: PeerCalls,
  local: ClaimSubmitter,
  partitions: number,
): void {
  calls.handle<WireCall, WireReply>('Claim', async (call, host) => {
    const entry = call.entry && toEntry(call.entry);
    // Hosts that disagree on the number of partitions would decide one key in two streams.
    if (
      !entry ||
      !isValid(call.entry as WireEntry, host) ||
      call.partition !== partitionOf(entry.scopeHash, partitions)
    ) {
      throw new MalformedCall('claim');
    }
    try {
      const decision = await local.submit(call.partition, entry);
      const {kind} = decision;
      return kind === 'lost'
        ? {decision: kind, holder: decision.holder}
        : {decision: kind};
    } catch (err) {
      if (!(err instanceof ClaimUndecidedError)) throw err;
      return {decision: 'undecided', maybeAppended: err.maybeAppended};
    }
  });
}

/** A host claims for its own processes only. */
function isValid(entry: WireEntry, caller: string): boolean {
  const {op, scopeHash, requestHash, host, attempt, time} = entry;
  if (!Number.isFinite(time) || scopeHash.length < 8) return false;
  if (scopeHash.length > maxHashLength || attempt === '') return false;
  if (attempt.length > maxNameLength) return false;
  if (op === 'release') return true;
  return (
    requestHash.length <= maxHashLength &&
    host.length <= maxNameLength &&
    host.startsWith(`${caller}/`)
  );
}

function toEntry(wire: WireEntry): LedgerEntry {
  if (wire.op === 'claim') return toClaim(wire);
  const {scopeHash, attempt, time} = wire;
  return {op: 'release', scopeHash, attempt, time};
}

function toClaim(wire: WireEntry): ClaimEntry {
  const {scopeHash, requestHash, attempt, host, time} = wire;
  return {op: 'claim', scopeHash, requestHash, attempt, host, time};
}
