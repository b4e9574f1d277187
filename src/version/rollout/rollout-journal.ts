import type {
  LogClient,
  LogRecord,
} from '../../connection/platform/log-client.js';
import type {Clock} from '../../process/clock.js';
import {RecordSource} from '../record-relay.js';
import {RecordRing} from '../record-ring.js';
import {foldRollout} from './fold-rollout.js';
import {
  foldLease,
  LeaseClock,
  leaseMs,
  leaseStream,
  renewMs,
  type LeaseRecord,
  type LeaseTable,
} from './lease.js';
import {IdempotentAppender, type AppendOutcome} from './idempotent-appender.js';
import {
  emptyRollouts,
  rolloutStream,
  type RolloutChange,
  type RolloutEntry,
  type RolloutRecord,
  type RolloutState,
} from './rollout-state.js';

/** End of an append, posted back to the task. */
export interface AppendedMessage {
  readonly kind: 'appended';
  readonly stream: string;
  readonly key: string;
  readonly outcome: AppendOutcome;
}

/** Maximum number of records of each stream that are kept for peers. */
const ringRecords = 2000;
/** Maximum total size of these records, in bytes. */
const ringBytes = 512 * 1024;

/** Dependencies of {@link RolloutJournal}. */
export interface JournalParts {
  readonly host: string;
  readonly clock: Clock;
  readonly log: LogClient;
  /** Delivers the end of an append to the task. */
  readonly post: (message: AppendedMessage) => void;
  /** Called after a record has changed a rollout. */
  readonly changed: (
    after: RolloutEntry,
    before: RolloutEntry | undefined,
  ) => void;
  /** Called when the response to an append was lost. */
  readonly unconfirmed: (stream: string) => void;
}

/**
 * Folds the log streams of leases and rollouts, and writes the records of this host to them. Each
 * rollout has at most one pending write per stream; others are dropped until it has been read back.
 */
export class RolloutJournal {
  private readonly leaseClock: LeaseClock;
  private readonly appender: IdempotentAppender;
  private readonly offsets = new Map<string, number>();
  private readonly syncedStreams = new Set<string>();
  private readonly pending = new Map<string, number>();
  private readonly rings = new Map(
    [leaseStream, rolloutStream].map(stream => [
      stream,
      new RecordRing(ringRecords, ringBytes),
    ]),
  );
  private leases: LeaseTable = new Map();
  private folded: RolloutState = emptyRollouts;
  private writes = 0;

  /** Recent records of both streams, which the host relays to its peers. */
  readonly source: RecordSource = new JournalSource(this, this.rings);

  /** @param parts - Dependencies; the caller owns them. */
  constructor(private readonly parts: JournalParts) {
    this.leaseClock = new LeaseClock(parts.host);
    this.appender = new IdempotentAppender(parts.log, parts.clock, stream =>
      parts.unconfirmed(stream),
    );
  }

  /** Stops looking for records whose append is not confirmed. */
  stop(): void {
    this.appender.stop();
  }

  /** State of all rollouts. */
  get state(): RolloutState {
    return this.folded;
  }

  /** Whether both streams have been read to their end once. */
  get synced(): boolean {
    return this.syncedStreams.size === 2;
  }

  /**
   * Returns the next offset to read.
   *
   * @param stream - Name of the stream.
   */
  offsetOf(stream: string): number {
    return this.offsets.get(stream) ?? 0;
  }

  /**
   * Continues at the oldest record that the log still retains, after a truncation.
   *
   * @param stream - Name of the stream.
   * @param first - Lowest offset of the stream.
   */
  skipTo(stream: string, first: number): void {
    this.offsets.set(stream, first);
    this.rings.get(stream)?.clear();
  }

  /**
   * Folds records from the log or from peers into the state.
   *
   * @param stream - Name of the stream.
   * @param records - Records in offset order; records that were folded before are skipped.
   * @param next - Offset after the last record of the stream; infinite if unknown.
   */
  fold(stream: string, records: readonly LogRecord[], next: number): void {
    for (const {offset, data} of records) {
      if (offset < this.offsetOf(stream)) continue;
      // The ring must not contain gaps.
      if (offset > this.offsetOf(stream)) this.rings.get(stream)?.clear();
      this.rings.get(stream)?.push({offset, data});
      this.offsets.set(stream, offset + 1);
      if (stream === leaseStream) this.foldLease(data as LeaseRecord, offset);
      else this.foldRollout(data as RolloutRecord, offset);
    }
    const position = this.offsetOf(stream);
    if (position >= next) this.syncedStreams.add(stream);
    for (const [key, offset] of this.pending) {
      if (key.startsWith(`${stream} `) && offset < position)
        this.pending.delete(key);
    }
  }

  /**
   * Handles the end of an append.
   *
   * @param message - Outcome of the append.
   */
  appended({stream, key, outcome}: AppendedMessage): void {
    const known =
      outcome.kind === 'absent' || this.offsetOf(stream) > outcome.offset;
    if (known) this.pending.delete(key);
    else this.pending.set(key, outcome.offset);
  }

  /**
   * Returns the fencing number under which this host may act for a rollout now.
   *
   * @param rollout - Name of the rollout.
   * @returns The number, `undefined` if this host does not hold the lease.
   */
  fencingOf(rollout: string): number | undefined {
    const key = leaseName(rollout);
    if (!this.leaseClock.holds(key, this.parts.clock.nowMs())) return undefined;
    return this.leases.get(key)?.fencing;
  }

  /**
   * Returns the holder of the lease of a rollout according to the log, even if it has expired.
   *
   * @param rollout - Name of the rollout.
   */
  holderOf(rollout: string): string | undefined {
    const lease = this.leases.get(leaseName(rollout));
    return lease?.released ? undefined : lease?.holder;
  }

  /**
   * Computes for how long no host can have held the lease of a rollout.
   *
   * @param rollout - Name of the rollout.
   * @returns Time in milliseconds, negative while it may be held; `undefined` without any lease.
   */
  freeFor(rollout: string): number | undefined {
    const key = leaseName(rollout);
    const lease = this.leases.get(key);
    if (!lease) return undefined;
    return this.leaseClock.freeFor(key, lease, this.parts.clock.nowMs());
  }

  /**
   * Renews the lease of a rollout if its renewal is due.
   *
   * @param rollout - Name of the rollout.
   */
  renew(rollout: string): void {
    const until = this.leaseClock.until(leaseName(rollout)) ?? 0;
    if (this.parts.clock.nowMs() >= until - leaseMs + renewMs)
      this.writeLease(rollout, 'renew');
  }

  /**
   * Stops acting under the lease of a rollout immediately, because another host has a newer one.
   *
   * @param rollout - Name of the rollout.
   */
  relinquish(rollout: string): void {
    this.leaseClock.relinquish(leaseName(rollout));
  }

  /** Stops acting under all leases, because this host was paused or declared dead by its peers. */
  relinquishAll(): void {
    for (const lease of this.leases.keys()) this.leaseClock.relinquish(lease);
  }

  /**
   * Appends a lease record, unless another one of the rollout is pending.
   *
   * @param rollout - Name of the rollout.
   * @param op - Operation on the lease.
   */
  writeLease(rollout: string, op: LeaseRecord['op']): void {
    const lease = leaseName(rollout);
    const key = `${leaseStream} ${rollout}`;
    if (this.pending.has(key)) return;
    const record: LeaseRecord = {
      writeId: this.writeId(),
      lease,
      holder: this.parts.host,
      op,
      after: this.leases.get(lease)?.last ?? -1,
    };
    this.leaseClock.recordSent(record.writeId, this.parts.clock.nowMs());
    this.append(leaseStream, key, record);
  }

  /**
   * Appends a rollout record, unless another one of the rollout is pending.
   *
   * @param rollout - Name of the rollout.
   * @param fencing - Fencing number of this host.
   * @param change - Change to record.
   */
  write(rollout: string, fencing: number, change: RolloutChange): void {
    const key = `${rolloutStream} ${rollout}`;
    if (this.pending.has(key)) return;
    this.append(rolloutStream, key, {
      ...change,
      writeId: this.writeId(),
      rollout,
      fencing,
      host: this.parts.host,
      atMs: this.parts.clock.wallMs(),
    });
  }

  private foldLease(record: LeaseRecord, offset: number): void {
    const table = foldLease(this.leases, record, offset);
    if (table === this.leases) return;
    this.leases = table;
    this.leaseClock.read(
      record,
      table.get(record.lease)!,
      this.parts.clock.nowMs(),
    );
  }

  private foldRollout(record: RolloutRecord, offset: number): void {
    const before = this.folded.entries.get(record.rollout);
    this.folded = foldRollout(this.folded, record, offset);
    const after = this.folded.entries.get(record.rollout);
    if (after && after !== before) this.parts.changed(after, before);
  }

  private append(
    stream: string,
    key: string,
    record: RolloutRecord | LeaseRecord,
  ): void {
    this.pending.set(key, Infinity);
    void this.appender
      .append(stream, record, this.offsetOf(stream))
      .then(outcome =>
        this.parts.post({kind: 'appended', stream, key, outcome}),
      );
  }

  private writeId(): string {
    const {host, clock} = this.parts;
    const time = Math.floor(clock.wallMs()).toString(36);
    return `${host}-${time}-${++this.writes}`;
  }
}

/** Serves the recent records of a journal to the relay. */
class JournalSource extends RecordSource {
  constructor(
    private readonly journal: RolloutJournal,
    private readonly rings: ReadonlyMap<string, RecordRing>,
  ) {
    super();
  }

  override nextOffset(stream: string): number {
    return this.journal.offsetOf(stream);
  }

  override recordsFrom(
    stream: string,
    from: number,
    maxBytes: number,
  ): readonly LogRecord[] {
    return this.rings.get(stream)?.from(from, maxBytes) ?? [];
  }
}

function leaseName(rollout: string): string {
  return `rollout/${rollout}`;
}
