import type {LogRecord} from '../connection/platform/log-client.js';

/** Most recent records of one stream, bounded in number and size. */
export class RecordRing {
  private entries: {record: LogRecord; bytes: number}[] = [];
  private bytes = 0;

  /**
   * @param maxRecords - Greatest number of records.
   * @param maxBytes - Greatest sum of record sizes as JSON, in bytes.
   */
  constructor(
    private readonly maxRecords: number,
    private readonly maxBytes: number,
  ) {}

  /** Offset of the oldest record kept, or `undefined` if there is none. */
  get first(): number | undefined {
    return this.entries[0]?.record.offset;
  }

  /** Adds the record that follows the newest one. */
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

  /** Forgets all records; used when a snapshot leaves a gap. */
  clear(): void {
    this.entries = [];
    this.bytes = 0;
  }

  /** Reads from an offset; empty if it is not kept. */
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
