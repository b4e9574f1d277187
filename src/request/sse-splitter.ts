const newline = 0x0a;
const carriageReturn = 0x0d;
const colon = 0x3a;

/**
 * Splits a stream of server-sent events at event boundaries. Only whole events are released, so a
 * stream that breaks off inside an event can be resumed after the last whole one.
 */
export class SseSplitter {
  private held: Buffer[] = [];
  private heldBytes = 0;
  private lineEmpty = true;
  private inComment = false;
  /** Whether the current event has no line apart from comments, which are not counted. */
  private eventEmpty = true;
  private eventCount = 0;

  /**
   * @param maxEventBytes - Greatest event that is held back; a greater one is released in parts.
   */
  constructor(private readonly maxEventBytes: number) {}

  /** Number of whole events so far. */
  get events(): number {
    return this.eventCount;
  }

  /** Whether every byte released so far belongs to a whole event. */
  aligned = true;

  /**
   * Adds bytes of the stream.
   *
   * @param chunk - Bytes as received.
   * @returns Bytes that may be relayed now.
   */
  push(chunk: Buffer): Buffer {
    let end = 0;
    for (let i = 0; i < chunk.length; i++) {
      const byte = chunk[i];
      if (byte === newline) {
        if (this.lineEmpty) {
          if (!this.eventEmpty) this.eventCount++;
          this.eventEmpty = true;
          end = i + 1;
        }
        this.lineEmpty = true;
      } else if (byte !== carriageReturn) {
        if (this.lineEmpty) this.inComment = byte === colon;
        this.lineEmpty = false;
        if (!this.inComment) this.eventEmpty = false;
      }
    }
    if (end > 0) {
      const released = this.take(chunk.subarray(0, end));
      this.aligned = true;
      this.hold(chunk.subarray(end));
      return released;
    }
    this.hold(chunk);
    if (this.heldBytes <= this.maxEventBytes) return Buffer.alloc(0);
    this.aligned = false;
    return this.take(Buffer.alloc(0));
  }

  /** @returns Bytes held back, for a stream that ended without a final empty line. */
  flush(): Buffer {
    return this.take(Buffer.alloc(0));
  }

  /** Forgets the partial event, before the stream continues with a whole one. */
  discardPartial(): void {
    this.held = [];
    this.heldBytes = 0;
    this.lineEmpty = true;
    this.eventEmpty = true;
  }

  private hold(bytes: Buffer): void {
    if (bytes.length === 0) return;
    this.held.push(bytes);
    this.heldBytes += bytes.length;
  }

  private take(last: Buffer): Buffer {
    if (this.held.length === 0) return last;
    const released = Buffer.concat([...this.held, last]);
    this.held = [];
    this.heldBytes = 0;
    return released;
  }
}
