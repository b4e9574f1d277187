// Small HTTP/1.1 parser for raw sockets. It is used on both sides of a gateway host, so that a case sees exactly which
// bytes were sent and how a message ended.
import {Buffer} from 'node:buffer';

/** Parses the messages of one direction of a connection. */
export class MessageParser {
  /**
   * @param on - `head(message)`, `data(message, bytes)` and `end(message, how)`; `how` is `framed` or `closed`.
   * @param isResponse - Whether a message without a length ends with its connection.
   */
  constructor(on, isResponse) {
    this.on = on;
    this.isResponse = isResponse;
    this.buffer = Buffer.alloc(0);
    this.message = undefined;
  }

  /** Adds received bytes. Throws if they are no message. */
  push(bytes) {
    this.buffer =
      this.buffer.length > 0 ? Buffer.concat([this.buffer, bytes]) : bytes;
    while (this.step());
  }

  /** Handles the end of the connection. Returns the message that was cut short, if there is one. */
  close() {
    const {message} = this;
    this.message = undefined;
    if (!message) return undefined;
    if (message.mode !== 'open') return message;
    this.on.end(message, 'closed');
    return undefined;
  }

  step() {
    if (!this.message) return this.readHead();
    const {message} = this;
    switch (message.mode) {
      case 'open':
        if (this.buffer.length > 0) this.emit(this.buffer.length);
        return false;
      case 'length': {
        const count = Math.min(message.left, this.buffer.length);
        if (count > 0) this.emit(count);
        message.left -= count;
        if (message.left > 0) return false;
        return this.finish();
      }
      default:
        return this.readChunk(message);
    }
  }

  emit(count) {
    const bytes = this.buffer.subarray(0, count);
    this.buffer = this.buffer.subarray(count);
    this.message.bytes += count;
    this.on.data(this.message, bytes);
  }

  finish() {
    const {message} = this;
    this.message = undefined;
    this.on.end(message, 'framed');
    return this.buffer.length > 0;
  }

  readHead() {
    const end = this.buffer.indexOf('\r\n\r\n');
    if (end < 0) return false;
    const lines = this.buffer.toString('latin1', 0, end).split('\r\n');
    this.buffer = this.buffer.subarray(end + 4);
    const first = lines[0].split(' ');
    const headers = {};
    for (const line of lines.slice(1)) {
      const colon = line.indexOf(':');
      headers[line.slice(0, colon).toLowerCase()] = line
        .slice(colon + 1)
        .trim();
    }
    const message = {first, headers, bytes: 0, mode: 'length', left: 0};
    if (
      this.isResponse &&
      !/^HTTP\/1\.1 \d{3}$/.test(first.slice(0, 2).join(' '))
    ) {
      throw new Error(`no status line: ${lines[0]}`);
    }
    if (headers['transfer-encoding'] === 'chunked') message.mode = 'chunked';
    else if (headers['content-length'] !== undefined) {
      message.left = Number(headers['content-length']);
    } else if (this.isResponse) message.mode = 'open';
    this.message = message;
    this.on.head(message);
    if (message.mode === 'length' && message.left === 0) return this.finish();
    return true;
  }

  readChunk(message) {
    if (message.left > 0) {
      const count = Math.min(message.left, this.buffer.length);
      if (count > 0) this.emit(count);
      message.left -= count;
      if (message.left > 0) return false;
      message.skip = 2;
    }
    if (message.skip) {
      if (this.buffer.length < 2) return false;
      this.buffer = this.buffer.subarray(2);
      message.skip = 0;
      if (message.last) return this.finish();
    }
    const end = this.buffer.indexOf('\r\n');
    if (end < 0) return false;
    const size = parseInt(this.buffer.toString('latin1', 0, end), 16);
    if (Number.isNaN(size)) throw new Error('no chunk size');
    this.buffer = this.buffer.subarray(end + 2);
    message.left = size;
    if (size === 0) {
      message.last = true;
      message.skip = 2;
    }
    return true;
  }
}
