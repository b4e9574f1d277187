/** Size of a block, in bytes. */
export const blockBytes = 16 * 1024;
/** Number of blocks that are allocated at once. */
const slabBlocks = 64;
/** Number of blocks that are sent at once. */
const sentBlocks = 4;

/**
 * Keeps blocks of memory for reuse, so that the resident memory follows the bytes held: V8 frees the memory of a Buffer that
 * survived two collections of young objects only when some 100 MB of them have gathered.
 */
export class BlockPool {
  private readonly free: Buffer[] = [];
  private allocated = 0;

  /** Memory allocated so far, in bytes; blocks are never returned to the system. */
  get allocatedBytes(): number {
    return this.allocated;
  }

  /** @returns A block with arbitrary content; {@link give} returns it. */
  take(): Buffer {
    const block = this.free.pop();
    if (block) return block;
    const slab = Buffer.allocUnsafeSlow(slabBlocks * blockBytes);
    this.allocated += slab.length;
    for (let start = blockBytes; start < slab.length; start += blockBytes) {
      this.free.push(slab.subarray(start, start + blockBytes));
    }
    return slab.subarray(0, blockBytes);
  }

  /** @param blocks - Blocks that nothing refers to any longer. */
  give(blocks: readonly Buffer[]): void {
    for (const block of blocks) this.free.push(block);
  }
}

/** Bytes of a body, in blocks of a pool. */
export class BlockBody {
  private blocks: Buffer[] = [];
  private used = 0;

  /** @param pool - Pool of the blocks. */
  constructor(private readonly pool: BlockPool) {}

  /** Number of bytes. */
  get length(): number {
    return this.used;
  }

  /** Number of bytes that fit without another block. */
  get spareBytes(): number {
    return this.blocks.length * blockBytes - this.used;
  }

  /**
   * Adds bytes.
   *
   * @param bytes - Bytes, which are copied.
   */
  append(bytes: Buffer): void {
    let copied = 0;
    while (copied < bytes.length) {
      if (this.spareBytes === 0) this.blocks.push(this.pool.take());
      const last = this.blocks[this.blocks.length - 1];
      const count = bytes.copy(last, this.used % blockBytes, copied);
      copied += count;
      this.used += count;
    }
  }

  /** @returns The bytes in parts, which are valid until the blocks are released. */
  *views(): Generator<Buffer> {
    let left = this.used;
    for (const block of this.blocks) {
      yield block.subarray(0, Math.min(left, blockBytes));
      left -= blockBytes;
    }
  }

  /**
   * Copies the bytes in parts: a socket may refer to a part until its peer has read it, which may be after the release.
   *
   * @param onEnd - Called after the last part was taken.
   * @returns The parts, each copied on demand; the iteration throws if the blocks were released.
   */
  *copies(onEnd: () => void): Generator<Buffer> {
    const step = sentBlocks * blockBytes;
    const {length} = this;
    for (let start = 0; start < length; start += step) {
      if (this.used !== length) throw new Error('the body was released');
      yield this.copy(start, Math.min(length, start + step));
    }
    onEnd();
  }

  /** @returns A copy of all bytes. */
  toBuffer(): Buffer {
    return this.copy(0, this.used);
  }

  /** Returns the blocks to the pool; no bytes are held afterwards. */
  release(): void {
    this.pool.give(this.blocks);
    this.blocks = [];
    this.used = 0;
  }

  private copy(start: number, end: number): Buffer {
    const bytes = Buffer.allocUnsafe(end - start);
    let copied = 0;
    for (let at = start; at < end; at += blockBytes) {
      const block = this.blocks[at / blockBytes];
      copied += block.copy(bytes, copied, 0, Math.min(blockBytes, end - at));
    }
    return bytes;
  }
}

/** A complete body: small ones in one Buffer. */
export type Body = Buffer | BlockBody;
