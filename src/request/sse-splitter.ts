import {ByteBuffer} from '../process/byte-buffer.js';

const newline = 0x0a;
const carriageReturn = 0x0d;
const colon = 0x3a;
const noBytes = Buffer.alloc(0);

/**
 * Splits a stream of server-sent events at event boundaries. Only complete events are released, so a
 * stream that is cut short inside an event can be resumed after the last complete one.
 */
export class SseSplitter {
  private readonly held = new ByteBuffer();
  private lineEmpty = true;
  private inComment = false;
  /** Whether the current event has only comment lines so far; such an event is not counted. */
  private eventEmpty = true;
  private eventCount = 0;

  /**
   * @param maxEventBytes - Maximum event that is buffered, in bytes; a larger one is released in parts.
   */
  constructor(private readonly maxEventBytes: number) {}

  /** Number of complete events so far. */
  get events(): number {
    return this.eventCount;
  }

  /** Bytes of the incomplete event that is buffered. */
  get pendingBytes(): number {
    return this.held.length;
  }

  /** Whether the stream so far ends within an event or a comment line, so that a stream that ends here was cut short. */
  get isWithinEvent(): boolean {
    return !this.lineEmpty || !this.eventEmpty;
  }

  /** Whether a part of an event has arrived whose end has not. */
  get hasPartialEvent(): boolean {
    return !this.eventEmpty;
  }

  /** Whether the released bytes end at an event boundary. */
  aligned = true;

  /**
   * Adds a chunk of the stream.
   *
   * @param chunk - Bytes as received.
   * @returns Bytes that may be relayed now; empty if no event is complete.
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
      this.held.append(chunk.subarray(end));
      return released;
    }
    this.held.append(chunk);
    if (this.held.length <= this.maxEventBytes) return noBytes;
    this.aligned = false;
    return this.held.take();
  }

  /** @returns Buffered bytes: at the end of a complete stream, comment lines after its last event. */
  flush(): Buffer {
    return this.held.take();
  }

  /** Discards the partial event before the stream is resumed at an event boundary. */
  discardPartial(): void {
    this.held.clear();
    this.lineEmpty = true;
    this.eventEmpty = true;
  }

  private take(last: Buffer): Buffer {
    if (this.held.length === 0) return last;
    this.held.append(last);
    return this.held.take();
  }
}
