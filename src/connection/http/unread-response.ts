import type {ServerResponse} from 'node:http';
import type {ConnectionMemory} from './caller-memory.js';

/** Change of the unread bytes from which on the charge follows, in bytes; small responses are not charged. */
const stepBytes = 16 * 1024;

/**
 * Charges the part of a response that waits in this process, because the caller does not read it or it waits behind an
 * earlier response, to the memory of the caller's connection. Without room for it the connection is closed.
 */
export class UnreadResponse {
  private charged = 0;

  /**
   * @param res - Response.
   * @param memory - Memory of its connection.
   */
  constructor(
    private readonly res: ServerResponse,
    private readonly memory: ConnectionMemory,
  ) {
    res.on('drain', () => this.update());
    res.once('finish', () => this.charge(0));
    res.once('close', () => this.charge(0));
  }

  /** Adjusts the charge; to be called when bytes were written. */
  update(): void {
    const {writableLength} = this.res;
    const change = Math.abs(writableLength - this.charged);
    if (change >= stepBytes) this.charge(writableLength);
  }

  private charge(bytes: number): void {
    const more = bytes - this.charged;
    if (more <= 0) this.memory.release(-more, 'responding');
    else if (!this.memory.hold(more, 'responding')) {
      this.res.req.socket.destroy();
      return;
    }
    this.charged = bytes;
  }
}
