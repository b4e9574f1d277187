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

/** Records of each stream that are kept for peers. */
const ringRecords = 2000;
/** Size of these records, in bytes. */
const ringBytes = 512 * 1024;

/** What the journal works with. */
export interface JournalParts {
  readonly host: string;
  readonly clock: Clock;
  readonly log: LogClient;
  /** Delivers the end of an append to the task. */
  readonly post: (message: AppendedMessage) => void;
  /** Called after a rollout changed. */
  readonly changed: (
    after: RolloutEntry,
    before: RolloutEntry | undefined,
  ) => void;
  /** Called when the answer to an append was lost. */
  readonly unconfirmed: (stream: string) => void;
}

/**
 * Folded streams of leases and rollouts, and the writes of this host to them. Each rollout has at
 * most one write on its way in each stream, and the next one waits until it was read back.
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

  /** Records for peers. */
  readonly source: RecordSource = new JournalSource(this, this.rings);

  /** @param parts - What the journal works with. */
  constructor(private readonly parts: JournalParts) {
    this.leaseClock = new LeaseClock(parts.host);
    this.appender = new IdempotentAppender(parts.log, parts.clock, stream =>
      parts.unconfirmed(stream),
    );
  }

  /** Gives up records whose append is not confirmed. */
  stop(): void {
    this.appender.stop();
  }

  /** Folded rollouts. */
  get state(): RolloutState {
    return this.folded;
  }

  /** Whether both streams have been read to their end once. */
  get synced(): boolean {
    return this.syncedStreams.size === 2;
  }

  /**
   * Next offset to read.
   *
   * @param stream - Stream.
   */
  offsetOf(stream: string): number {
    return this.offsets.get(stream) ?? 0;
  }

  /**
   * Continues at the oldest record that the log still keeps.
   *
   * @param stream - Stream.
   * @param first - Its oldest offset.
   */
  skipTo(stream: string, first: number): void {
    this.offsets.set(stream, first);
    this.rings.get(stream)?.clear();
  }

  /**
   * Folds records.
   *
   * @param stream - Stream.
   * @param records - Records in offset order; those that are known are passed over.
   * @param next - Offset after the last record of the stream.
   */
  fold(stream: string, records: readonly LogRecord[], next: number): void {
    for (const {offset, data} of records) {
      if (offset < this.offsetOf(stream)) continue;
      // The ring holds records without gaps only.
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
   * Ends a write.
   *
   * @param message - Its outcome.
   */
  appended({stream, key, outcome}: AppendedMessage): void {
    const known =
      outcome.kind === 'absent' || this.offsetOf(stream) > outcome.offset;
    if (known) this.pending.delete(key);
    else this.pending.set(key, outcome.offset);
  }

  /**
   * Fencing number under which this host may act for a rollout now.
   *
   * @param rollout - Rollout.
   * @returns The number, `undefined` if this host does not hold the lease.
   */
  fencingOf(rollout: string): number | undefined {
    const key = leaseOf(rollout);
    if (!this.leaseClock.holds(key, this.parts.clock.nowMs())) return undefined;
    return this.leases.get(key)?.fencing;
  }

  /**
   * Holder of the lease of a rollout as the log tells, even if it has expired.
   *
   * @param rollout - Rollout.
   */
  holderOf(rollout: string): string | undefined {
    const lease = this.leases.get(leaseOf(rollout));
    return lease?.released ? undefined : lease?.holder;
  }

  /**
   * Tells how long nobody can have held the lease of a rollout.
   *
   * @param rollout - Rollout.
   * @returns Milliseconds, `undefined` if there never was a lease.
   */
  freeFor(rollout: string): number | undefined {
    const key = leaseOf(rollout);
    const lease = this.leases.get(key);
    if (!lease) return undefined;
    return this.leaseClock.freeFor(key, lease, this.parts.clock.nowMs());
  }

  /**
   * Renews the lease of a rollout if it is time.
   *
   * @param rollout - Rollout.
   */
  renew(rollout: string): void {
    const until = this.leaseClock.until(leaseOf(rollout)) ?? 0;
    if (this.parts.clock.nowMs() >= until - leaseMs + renewMs)
      this.writeLease(rollout, 'renew');
  }

  /**
   * Gives up a lease at once, because another host has a newer one.
   *
   * @param rollout - Rollout.
   */
  relinquish(rollout: string): void {
    this.leaseClock.relinquish(leaseOf(rollout));
  }

  /** Gives up all leases of this host, because it was paused or taken for dead. */
  relinquishAll(): void {
    for (const lease of this.leases.keys()) this.leaseClock.relinquish(lease);
  }

  /**
   * Appends a lease record.
   *
   * @param rollout - Rollout.
   * @param op - Operation.
   */
  writeLease(rollout: string, op: LeaseRecord['op']): void {
    const lease = leaseOf(rollout);
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
   * Appends a change of a rollout.
   *
   * @param rollout - Rollout.
   * @param fencing - Fencing number of this host.
   * @param change - Change.
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

function leaseOf(rollout: string): string {
  return `rollout/${rollout}`;
}
