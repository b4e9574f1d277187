import type {LogRecord} from '../connection/platform/log-client.js';
import {Subject} from '../process/subject.js';
import {Task} from '../process/task.js';
import {
  emptyConfig,
  foldRecord,
  type ConfigRecord,
  type ConfigState,
  type FoldOutcome,
} from './config-state.js';
import {isObject} from './merge-patch.js';
import {RecordSink, RecordSource} from './record-relay.js';
import {RecordRing} from './record-ring.js';

/** Name of the log stream that holds operators' writes. */
export const configStream = 'config';

/** Maximum number of records kept for peers and watches: half a day at 7,100 changes a day. */
const ringRecords = 4096;
/** Maximum size of the kept records, in bytes; a quarter of it is typical. */
const ringBytes = 4_194_304;

/** Messages to the configuration store. */
export type ConfigMessage =
  | {kind: 'records'; records: readonly LogRecord[]}
  | {kind: 'snapshot'; state: ConfigState};

/** A record that was folded. */
export interface ConfigChange {
  /** Record from the log; members may be missing or malformed if the outcome is `invalid`. */
  readonly record: ConfigRecord;
  readonly offset: number;
  readonly outcome: FoldOutcome;
  /** Configuration after the record. */
  readonly state: ConfigState;
}

/** Holds the configuration folded from the log stream. The offset never decreases. */
export class ConfigStore extends Task<ConfigMessage> {
  private current: ConfigState = emptyConfig;
  private readonly subject = new Subject<ConfigChange>();
  private readonly installs = new Subject<ConfigState>();
  private readonly ring = new RecordRing(ringRecords, ringBytes);

  /** Emits each record after it was folded, including invalid ones. */
  readonly changes = this.subject.stream;

  /** Emits each snapshot that replaced the folded state. */
  readonly installed = this.installs.stream;

  /** Recent records that peers read. */
  readonly source: RecordSource = new StoreSource(this, this.ring);

  /** Receives records that peers relay. */
  readonly sink: RecordSink = new StoreSink(this);

  /** Configuration after all records folded so far. */
  get state(): ConfigState {
    return this.current;
  }

  /** Oldest offset from which all later records are kept in memory. */
  get firstKept(): number {
    return this.ring.first ?? this.current.offset;
  }

  protected override *run(): Generator<undefined, void, ConfigMessage> {
    for (;;) {
      const message = yield;
      if (message.kind === 'snapshot') this.install(message.state);
      else for (const record of message.records) this.fold(record);
    }
  }

  private fold({offset, data}: LogRecord): void {
    // A gap would skip records; the follower reads again from the current offset.
    if (offset !== this.current.offset) return;
    // Observers read members of the record, but an invalid record may be any JSON value.
    const record = (isObject(data) ? data : {}) as unknown as ConfigRecord;
    const {state, outcome} = foldRecord(this.current, record, offset);
    this.current = state;
    this.ring.push({offset, data});
    this.subject.next({record, offset, outcome, state});
  }

  private install(state: ConfigState): void {
    if (state.offset <= this.current.offset) return;
    this.current = state;
    this.ring.clear();
    this.installs.next(state);
  }
}

class StoreSource extends RecordSource {
  constructor(
    private readonly store: ConfigStore,
    private readonly ring: RecordRing,
  ) {
    super();
  }

  override nextOffset(stream: string): number {
    return stream === configStream ? this.store.state.offset : 0;
  }

  override recordsFrom(
    stream: string,
    from: number,
    maxBytes: number,
  ): readonly LogRecord[] {
    return stream === configStream ? this.ring.from(from, maxBytes) : [];
  }
}

class StoreSink extends RecordSink {
  constructor(private readonly store: ConfigStore) {
    super();
  }

  override accept(stream: string, records: readonly LogRecord[]): void {
    if (stream === configStream) this.store.post({kind: 'records', records});
  }
}
