/** A first chunk of at least this size is kept without a copy, in bytes. */
const minKeptBytes = 1024;
/** Initial size of the buffer for small chunks, in bytes. */
const minSize = 64;
const empty = Buffer.alloc(0);

/**
 * Collects chunks in one buffer, so that the memory it takes grows with the bytes and not with the number of chunks: a
 * Buffer object takes more than 100 bytes of the heap, and a sender may choose chunks of one byte.
 */
export class ByteBuffer {
  private bytes: Buffer = empty;
  private used = 0;

  /** Number of bytes held. */
  get length(): number {
    return this.used;
  }

  /**
   * Adds a chunk.
   *
   * @param chunk - Bytes that are not changed afterwards.
   */
  append(chunk: Buffer): void {
    if (this.used === 0 && chunk.length >= minKeptBytes) {
      this.bytes = chunk;
      this.used = chunk.length;
      return;
    }
    const needed = this.used + chunk.length;
    if (needed > this.bytes.length) {
      const larger = Buffer.allocUnsafe(
        Math.max(needed, 2 * this.used, minSize),
      );
      this.bytes.copy(larger, 0, 0, this.used);
      this.bytes = larger;
    }
    chunk.copy(this.bytes, this.used);
    this.used = needed;
  }

  /** @returns All bytes held; none are held afterwards. */
  take(): Buffer {
    const taken = this.bytes.subarray(0, this.used);
    this.clear();
    return taken;
  }

  /** Drops all bytes held. */
  clear(): void {
    this.bytes = empty;
    this.used = 0;
  }
}
