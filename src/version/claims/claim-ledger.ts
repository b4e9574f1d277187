import type {LogRecord} from '../../connection/platform/log-client.js';

/** Claim of one key by one attempt. */
export interface ClaimEntry {
  readonly op: 'claim';
  /** Hash of organisation, service and key. */
  readonly scopeHash: string;
  /** Hash of the request, to recognise a key that is used for another request. */
  readonly requestHash: string;
  /** Unique id of the attempt to claim. */
  readonly attempt: string;
  /** Process that may run the request if the claim wins; differs between restarts of a host. */
  readonly host: string;
  /** Wall time at that process, in milliseconds. */
  readonly time: number;
}

/** Statement of the claiming process that it did not and will not start the request. */
export interface ReleaseEntry {
  readonly op: 'release';
  readonly scopeHash: string;
  readonly attempt: string;
  /** Wall time at the process, in milliseconds. */
  readonly time: number;
}

/** Entry of a batch. */
export type LedgerEntry = ClaimEntry | ReleaseEntry;

/** One record of a claim stream. */
export interface ClaimBatch {
  readonly format: 1;
  readonly entries: readonly LedgerEntry[];
}

/** What a claim or release came to. */
export type LedgerDecision =
  | {kind: 'won'}
  | {kind: 'lost'; holder: ClaimEntry | undefined}
  | {kind: 'released'};

/** Decision on one entry. */
export interface DecidedEntry {
  readonly entry: LedgerEntry;
  readonly decision: LedgerDecision;
}

interface KeyState {
  holder: ClaimEntry | undefined;
  /** Attempts that lost or were released; they can never win later. */
  readonly closed: Set<string>;
  lastTime: number;
}

/**
 * Fold of one claim stream. The first claim of a key in log order wins; the holder may release it.
 * An attempt is decided once, at its first record: a copy of it that arrives later, because its
 * append was repeated or delayed, changes nothing.
 */
export class ClaimLedger {
  private readonly keys = new Map<string, KeyState>();
  private nextOffset = 0;

  /** Offset of the next record to fold. */
  get offset(): number {
    return this.nextOffset;
  }

  /** Number of keys that are remembered. */
  get size(): number {
    return this.keys.size;
  }

  /** Claim that holds a key. */
  holder(scopeHash: string): ClaimEntry | undefined {
    return this.keys.get(scopeHash)?.holder;
  }

  /**
   * Folds one record; a record other than the next one is ignored.
   *
   * @param record - Record of the stream.
   * @returns Decisions on its entries, in order.
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
   * Continues after records that the log no longer keeps. They are older than the retention.
   *
   * @param first - Oldest offset that the log keeps.
   */
  skipTo(first: number): void {
    if (first > this.nextOffset) this.nextOffset = first;
  }

  /**
   * Forgets keys that were last touched before a time.
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
    // Keys stay in the order in which they were last touched, so that expiry looks at the oldest.
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
