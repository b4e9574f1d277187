import type {LogRecord} from '../connection/platform/log-client.js';

/** Most recent records of one stream, bounded in number and size. */
export class RecordRing {
  private entries: {record: LogRecord; bytes: number}[] = [];
  private bytes = 0;

  /**
   * @param maxRecords - Maximum number of records.
   * @param maxBytes - Maximum total size of the records as JSON, in bytes; one record may exceed it.
   */
  constructor(
    private readonly maxRecords: number,
    private readonly maxBytes: number,
  ) {}

  /** Offset of the oldest record kept, or `undefined` if there is none. */
  get first(): number | undefined {
    return this.entries[0]?.record.offset;
  }

  /** Appends the next record and drops the oldest ones beyond the limits. */
  push(record: LogRecord): void {
    const bytes = Buffer.byteLength(JSON.stringify(record.data) ?? '');
    this.entries.push({record, bytes});
    this.bytes += bytes;
    let excess = 0;
    while (
      this.entries.length - excess > this.maxRecords ||
      (this.bytes > this.maxBytes && this.entries.length - excess > 1)
    ) {
      this.bytes -= this.entries[excess++].bytes;
    }
    if (excess > 0) this.entries = this.entries.slice(excess);
  }

  /** Drops all records, because a snapshot leaves a gap. */
  clear(): void {
    this.entries = [];
    this.bytes = 0;
  }

  /** Returns records from an offset; empty if that offset is not kept. */
  from(offset: number, maxBytes: number): LogRecord[] {
    const {first} = this;
    if (first === undefined || offset < first) return [];
    const found: LogRecord[] = [];
    let size = 0;
    for (let i = offset - first; i < this.entries.length; i++) {
      const {record, bytes} = this.entries[i];
      if (found.length > 0 && size + bytes > maxBytes) break;
      found.push(record);
      size += bytes;
    }
    return found;
  }
}
