import type {LogRecord} from '../../connection/platform/log-client.js';

/** Claim of a key by one attempt. */
export interface ClaimEntry {
  readonly op: 'claim';
  /** Hash of organisation, service and key. */
  readonly scopeHash: string;
  /** Hash of the request, to detect that a key is reused for another request. */
  readonly requestHash: string;
  /** Unique id of the attempt to claim the key. */
  readonly attempt: string;
  /** Process that may run the request if the claim wins; differs between restarts of a host. */
  readonly host: string;
  /** Wall time at that process when it created the entry, in milliseconds. */
  readonly time: number;
}

/** Release of a key by the process that claimed it; it did not and will not start the request. */
export interface ReleaseEntry {
  readonly op: 'release';
  readonly scopeHash: string;
  readonly attempt: string;
  /** Wall time at that process when it created the entry, in milliseconds. */
  readonly time: number;
}

/** Entry of a {@link ClaimBatch}. */
export type LedgerEntry = ClaimEntry | ReleaseEntry;

/** Data of one record of a claim stream. */
export interface ClaimBatch {
  readonly format: 1;
  readonly entries: readonly LedgerEntry[];
}

/** Outcome of a claim or release. */
export type LedgerDecision =
  | {kind: 'won'}
  | {kind: 'lost'; holder: ClaimEntry | undefined}
  | {kind: 'released'};

/** Entry of a record and its outcome. */
export interface DecidedEntry {
  readonly entry: LedgerEntry;
  readonly decision: LedgerDecision;
}

interface KeyState {
  holder: ClaimEntry | undefined;
  /** Attempts that lost or were released; they can never win later. */
  readonly closed: Set<string>;
  /** Latest time of an entry of the key; wall time of its writer in milliseconds. */
  lastTime: number;
}

/**
 * State of the keys of one claim stream, built by applying its records in order. The first claim of
 * a key in log order wins; the holder may release it. An attempt is decided once, at its first
 * record: a copy that arrives later, because its append was retried or delayed, has no effect.
 */
export class ClaimLedger {
  private readonly keys = new Map<string, KeyState>();
  private nextOffset = 0;

  /** Offset of the next record to apply. */
  get offset(): number {
    return this.nextOffset;
  }

  /** Number of keys in the ledger. */
  get size(): number {
    return this.keys.size;
  }

  /** Returns the claim that holds a key, if any. */
  holder(scopeHash: string): ClaimEntry | undefined {
    return this.keys.get(scopeHash)?.holder;
  }

  /**
   * Applies one record; any record but the next one is ignored.
   *
   * @param record - Record of the stream.
   * @returns Outcomes of its entries, in order; malformed entries are skipped.
   */
  apply(record: LogRecord): DecidedEntry[] {
    if (record.offset !== this.nextOffset) return [];
    this.nextOffset++;
    const batch = record.data as Partial<ClaimBatch> | null;
    if (batch?.format !== 1 || !Array.isArray(batch.entries)) return [];
    return (batch.entries as LedgerEntry[])
      .filter(isEntry)
      .map(entry => ({entry, decision: this.decide(entry)}));
  }

  /**
   * Skips records that the log no longer retains. They are older than the retention of claims.
   *
   * @param first - Oldest offset that the log retains.
   */
  skipTo(first: number): void {
    if (first > this.nextOffset) this.nextOffset = first;
  }

  /**
   * Removes keys whose latest entry is older than a time.
   *
   * @param beforeMs - Wall time in milliseconds.
   */
  expire(beforeMs: number): void {
    for (const [scopeHash, {lastTime}] of this.keys) {
      if (lastTime >= beforeMs) return;
      this.keys.delete(scopeHash);
    }
  }

  private decide(entry: LedgerEntry): LedgerDecision {
    const state = this.touch(entry);
    if (entry.op === 'release') {
      if (state.holder?.attempt === entry.attempt) state.holder = undefined;
      state.closed.add(entry.attempt);
      return {kind: 'released'};
    }
    if (state.closed.has(entry.attempt)) {
      return {kind: 'lost', holder: state.holder};
    }
    state.holder ??= entry;
    if (state.holder.attempt === entry.attempt) return {kind: 'won'};
    state.closed.add(entry.attempt);
    return {kind: 'lost', holder: state.holder};
  }

  private touch({scopeHash, time}: LedgerEntry): KeyState {
    const state = this.keys.get(scopeHash) ?? {
      holder: undefined,
      closed: new Set<string>(),
      lastTime: time,
    };
    state.lastTime = Math.max(state.lastTime, time);
    // Keys stay in the order of their latest entry, so that expiry stops at the first young one.
    this.keys.delete(scopeHash);
    this.keys.set(scopeHash, state);
    return state;
  }
}

function isEntry(entry: LedgerEntry): boolean {
  return (
    typeof entry === 'object' &&
    entry !== null &&
    (entry.op === 'claim' || entry.op === 'release') &&
    typeof entry.scopeHash === 'string' &&
    typeof entry.attempt === 'string' &&
    typeof entry.time === 'number'
  );
}
