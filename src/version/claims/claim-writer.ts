import type {LogClient} from '../../connection/platform/log-client.js';
import type {Cancel, Clock} from '../../process/clock.js';
import {FailureError} from '../../process/errors/catalogue.js';
import type {AppendBudget} from './append-budget.js';
import {
  ClaimLedger,
  type ClaimBatch,
  type LedgerDecision,
  type LedgerEntry,
} from './claim-ledger.js';

/** Maximum number of entries of one record, about 100 KB. */
const maxBatchEntries = 500;
/** Time after which an undecided claim is abandoned, in milliseconds. */
const claimTimeoutMs = 3000;
/** Long-poll time of a read that waits for the record just appended, in milliseconds. */
const readBackWaitMs = 500;
/** Exponential backoff after failures: maximum of the first and of any delay, in milliseconds. */
const firstDelayMs = 50;
const maxDelayMs = 2000;
/** Maximum keys of a stream, about 200 bytes each; further claims are refused, none is evicted. */
const maxKeys = 250_000;

/** Dependencies and settings of a {@link ClaimWriter}. */
export interface ClaimWriterParts {
  readonly log: LogClient;
  readonly clock: Clock;
  /** Returns uniform random numbers from 0 to 1, for the jitter. */
  readonly random: () => number;
  /** Name of the stream. */
  readonly stream: string;
  /** Time after which the ledger removes a key, in milliseconds. */
  readonly ledgerRetentionMs: number;
  /** Append rate of this process, shared by all streams. */
  readonly budget: AppendBudget;
  readonly maxKeys?: number;
}

/** The outcome of a claim is not known. */
export class ClaimUndecidedError extends Error {
  /**
   * @param maybeAppended - Whether the claim may be in the log, or may still arrive there.
   */
  constructor(readonly maybeAppended: boolean) {
    super('the claim could not be read back from the log');
  }
}

interface PendingEntry {
  readonly entry: LedgerEntry;
  sent: boolean;
  /** Monotonic time after which a claim is neither appended nor granted, in milliseconds. */
  readonly endMs: number;
  resolve(decision: LedgerDecision): void;
  reject(err: ClaimUndecidedError): void;
  cancelTimeout: Cancel;
}

/**
 * Writes the claims and releases of one stream in batches, and decides each one only after its
 * record was read back in order. Several writers of a stream are safe: the log orders the records.
 */
export class ClaimWriter {
  private readonly ledger = new ClaimLedger();
  private readonly pending = new Map<string, PendingEntry>();
  private running = false;
  private stopped = false;
  /** Whether the ledger was read to the end of the log and no call has failed since. */
  private current = false;
  private failures = 0;

  /** Number of appends attempted by this writer, for metrics. */
  appends = 0;

  /**
   * @param parts - Dependencies and settings.
   */
  constructor(private readonly parts: ClaimWriterParts) {}

  /** Number of keys in the ledger. */
  get keys(): number {
    return this.ledger.size;
  }

  /**
   * Writes one entry. A release is retried until it was read back; a claim is abandoned after three
   * seconds, or when the log is unavailable.
   *
   * @param entry - Claim or release.
   * @returns The outcome, decided by the order of the log.
   * @throws {@link ClaimUndecidedError} for a claim that was abandoned or exceeds the maximum
   *   number of keys, and for any entry after {@link stop}.
   */
  submit(entry: LedgerEntry): Promise<LedgerDecision> {
    const full = this.ledger.size >= (this.parts.maxKeys ?? maxKeys);
    if (this.stopped || (entry.op === 'claim' && full)) {
      this.expire();
      return Promise.reject(new ClaimUndecidedError(false));
    }
    return new Promise((resolve, reject) => {
      const key = entryKey(entry);
      const cancelTimeout =
        entry.op === 'claim'
          ? this.parts.clock.after(claimTimeoutMs, () => this.abandon(key))
          : () => {};
      this.pending.set(key, {
        entry,
        sent: false,
        endMs:
          entry.op === 'claim'
            ? this.parts.clock.nowMs() + claimTimeoutMs
            : Infinity,
        resolve,
        reject,
        cancelTimeout,
      });
      if (!this.running) void this.run();
    });
  }

  /** Abandons all claims and stops; releases that were not read back are lost. */
  stop(): void {
    this.stopped = true;
    this.abandonClaims();
  }

  private async run(): Promise<void> {
    this.running = true;
    try {
      while (this.pending.size > 0 && !this.stopped) {
        if (await this.step()) this.failures = 0;
        else await this.backOff();
      }
    } finally {
      this.running = false;
    }
  }

  /** Appends one batch and reads it back; returns false if the log failed. */
  private async step(): Promise<boolean> {
    const {budget, clock, log, stream} = this.parts;
    // After a start or a failure, all retained records are applied before any decision.
    if (!this.current && !(await this.readToEnd())) return this.abandonClaims();
    // The holder may have released the key since the last read.
    if (this.findHeld().length > 0) {
      if (!(await this.readToEnd())) return this.abandonClaims();
      this.decideHeld();
    }
    if (this.pending.size === 0) return true;
    const waitMs = budget.reserve(clock.nowMs());
    if (waitMs > 0) await this.sleep(waitMs);
    this.abandonOverdue();
    const batch = [...this.pending.values()].slice(0, maxBatchEntries);
    if (batch.length === 0 || this.stopped) return true;
    this.appends++;
    const unsent = batch.filter(({sent}) => !sent);
    for (const item of batch) item.sent = true;
    const content: ClaimBatch = {
      format: 1,
      entries: batch.map(({entry}) => entry),
    };
    try {
      const offset = await log.append(stream, content);
      while (this.ledger.offset <= offset) {
        const page = await this.read(readBackWaitMs);
        if (!page) return false;
        // Avoids a tight loop if the log responds before the record is visible.
        if (page.next <= offset) await this.sleep(firstDelayMs);
      }
      return true;
    } catch (err) {
      if (!(err instanceof FailureError)) throw err;
      const limited = err.failure.kind === 'log-rate-limited';
      // After any other failure the append may have taken effect, so the log is read to its end
      // before entries that are not found there are appended again.
      if (!limited) {
        this.current = false;
        return this.readToEnd();
      }
      // A rate-limited append had no effect.
      for (const item of unsent) item.sent = false;
      return false;
    }
  }

  private async readToEnd(): Promise<boolean> {
    for (;;) {
      const page = await this.read(0);
      if (!page) return false;
      if (this.ledger.offset >= page.next) {
        this.current = true;
        return true;
      }
    }
  }

  private async read(waitMs: number): Promise<{next: number} | undefined> {
    const {log, stream} = this.parts;
    const from = this.ledger.offset;
    try {
      const page = await log.read(stream, from, {waitMs});
      for (const record of page.records) this.fold(record);
      this.expire();
      return page;
    } catch (err) {
      if (!(err instanceof FailureError)) throw err;
      if (err.failure.kind === 'log-truncated' && err.failure.first > from) {
        this.ledger.skipTo(err.failure.first);
        return {next: Infinity};
      }
      this.current = false;
      return undefined;
    }
  }

  private fold(record: {offset: number; data: unknown}): void {
    for (const {entry, decision} of this.ledger.apply(record)) {
      const key = entryKey(entry);
      // A host that was paused in the meantime must not grant a claim that it reads back too late.
      if (this.isOverdue(this.pending.get(key))) this.abandon(key);
      else this.settle(key, item => item.resolve(decision));
    }
  }

  /** Finds unsent claims of keys with a holder whose release is not pending in this writer. */
  private findHeld(): PendingEntry[] {
    return [...this.pending.values()].filter(({entry, sent}) => {
      const holder = this.ledger.holder(entry.scopeHash);
      return (
        entry.op === 'claim' &&
        !sent &&
        holder !== undefined &&
        !this.pending.has(`release ${holder.attempt}`)
      );
    });
  }

  /** Decides claims of keys that already have a holder, without an append. */
  private decideHeld(): void {
    for (const {entry} of this.findHeld()) {
      const holder = this.ledger.holder(entry.scopeHash);
      // The partition's owner may already have written this claim before it was submitted here.
      const won = holder?.attempt === entry.attempt;
      this.settle(entryKey(entry), item =>
        item.resolve(won ? {kind: 'won'} : {kind: 'lost', holder}),
      );
    }
  }

  private abandonClaims(): false {
    for (const [key, {entry}] of this.pending) {
      if (entry.op === 'claim') this.abandon(key);
    }
    return false;
  }

  private abandonOverdue(): void {
    for (const [key, item] of this.pending) {
      if (this.isOverdue(item)) this.abandon(key);
    }
  }

  private isOverdue(item: PendingEntry | undefined): boolean {
    return item !== undefined && this.parts.clock.nowMs() > item.endMs;
  }

  private abandon(key: string): void {
    this.settle(key, item => {
      const {entry, sent} = item;
      // Even a possibly outdated holder says more about an earlier request than a refusal.
      const holder = this.ledger.holder(entry.scopeHash);
      const won = holder?.attempt === entry.attempt;
      if (!sent && holder && !won) item.resolve({kind: 'lost', holder});
      else item.reject(new ClaimUndecidedError(sent || won));
    });
  }

  private settle(key: string, fn: (item: PendingEntry) => void): void {
    const item = this.pending.get(key);
    if (!item) return;
    this.pending.delete(key);
    item.cancelTimeout();
    fn(item);
  }

  private expire(): void {
    this.ledger.expire(
      this.parts.clock.wallMs() - this.parts.ledgerRetentionMs,
    );
  }

  private backOff(): Promise<void> {
    const {random} = this.parts;
    const bound = Math.min(maxDelayMs, firstDelayMs * 2 ** this.failures++);
    return this.sleep(bound * random());
  }

  private sleep(ms: number): Promise<void> {
    return new Promise(resolve => {
      this.parts.clock.after(Math.max(1, ms), resolve);
    });
  }
}

function entryKey({op, attempt}: LedgerEntry): string {
  return `${op} ${attempt}`;
}
