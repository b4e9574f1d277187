import type {IncomingMessage} from 'node:http';
import {BlockBody, blockBytes, type Body} from '../../process/body-blocks.js';
import type {CallerMemory, ConnectionMemory} from './caller-memory.js';

/** Bodies up to this size that arrive at once are kept as they are, in bytes. */
const maxKeptBytes = 4096;
const empty = Buffer.alloc(0);

/** Why a body is not read any further. */
export type BodyFailure = 'tooLarge' | 'noMemory';

/** Receives the result of {@link readBody}; at most one method is called, once. */
export interface BodyReceiver {
  /**
   * @param body - Complete body.
   * @param release - Frees its memory; called once nothing refers to the body.
   */
  onBody(body: Body, release: () => void): void;
  onFailure(failure: BodyFailure): void;
}

/**
 * Reads the body of a request as far as the limits allow. What arrives after a failure is dropped. Nothing is called if
 * the connection closes before.
 *
 * @param req - Request whose body was not read yet.
 * @param maxBytes - Maximum size of the body, in bytes.
 * @param memory - Accounts of the callers, to which the bytes are charged as they arrive.
 * @param receiver - Receives the body, or the failure.
 */
export function readBody(
  req: IncomingMessage,
  maxBytes: number,
  memory: CallerMemory,
  receiver: BodyReceiver,
): void {
  const reader = new BodyReader(
    memory,
    memory.of(req.socket),
    maxBytes,
    receiver,
  );
  // Without a listener, the 'error' event of a reset connection would end the process.
  req.on('error', () => {});
  req.on('data', (chunk: Buffer) => reader.add(chunk));
  req.once('end', () => reader.end());
  req.once('close', () => reader.drop());
}

/** Collects one body. */
class BodyReader {
  /** First chunk, while there is no other one and it is small. */
  private kept: Buffer = empty;
  private blocks: BlockBody | undefined;
  private chargedBytes = 0;
  private done = false;
  private readonly evicted = () => this.onEvicted();

  constructor(
    private readonly memory: CallerMemory,
    private readonly connection: ConnectionMemory,
    private readonly maxBytes: number,
    private readonly receiver: BodyReceiver,
  ) {}

  add(chunk: Buffer): void {
    if (this.done) return;
    const length = this.kept.length + (this.blocks?.length ?? 0);
    if (length + chunk.length > this.maxBytes) return this.fail('tooLarge');
    if (length === 0) {
      this.connection.onBodyEvicted = this.evicted;
      if (chunk.length <= maxKeptBytes) {
        if (!this.charge(chunk.length)) return this.fail('noMemory');
        this.kept = chunk;
        return;
      }
    }
    this.blocks ??= new BlockBody(this.memory.pool);
    const missing = this.kept.length + chunk.length - this.blocks.spareBytes;
    const blockCount = Math.max(0, Math.ceil(missing / blockBytes));
    if (blockCount > 0 && !this.charge(blockCount * blockBytes)) {
      return this.fail('noMemory');
    }
    if (this.kept.length > 0) {
      this.blocks.append(this.kept);
      this.uncharge(this.kept.length);
      this.kept = empty;
    }
    this.blocks.append(chunk);
  }

  end(): void {
    if (this.done) return;
    this.done = true;
    const {blocks, chargedBytes, connection, kept} = this;
    this.endEvictions();
    connection.completeBody(chargedBytes);
    this.receiver.onBody(blocks ?? kept, () => {
      blocks?.release();
      connection.release(chargedBytes, 'admitted');
    });
  }

  /** Frees what was read. */
  drop(): void {
    if (this.done) return;
    this.done = true;
    this.endEvictions();
    this.connection.release(this.chargedBytes, 'receiving');
    this.blocks?.release();
    this.blocks = undefined;
    this.kept = empty;
  }

  private endEvictions(): void {
    // The next body of the connection may have begun before the end of this one is seen.
    if (this.connection.onBodyEvicted !== this.evicted) return;
    this.connection.onBodyEvicted = () => {};
  }

  private onEvicted(): void {
    this.chargedBytes = 0;
    this.fail('noMemory');
  }

  private fail(failure: BodyFailure): void {
    this.drop();
    this.receiver.onFailure(failure);
  }

  private charge(bytes: number): boolean {
    if (!this.connection.hold(bytes, 'receiving')) return false;
    this.chargedBytes += bytes;
    return true;
  }

  private uncharge(bytes: number): void {
    this.connection.release(bytes, 'receiving');
    this.chargedBytes -= bytes;
  }
}
