// Stand-in of a requester: one kept channel to a gateway host that carries one request after the other.
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {MessageParser} from './http.mjs';

/** A channel to a gateway host. */
export class Channel {
  constructor(address) {
    const [host, port] = address.split(':');
    this.closed = false;
    this.pending = undefined;
    this.served = 0;
    this.socket = connect({host, port: Number(port), noDelay: true});
    const parser = new MessageParser(
      {
        head: message => this.pending?.head(message),
        data: (_message, bytes) => this.pending?.data(bytes),
        end: (_message, how) => this.finish({complete: true, how}),
      },
      true,
    );
    this.socket.on('data', bytes => {
      try {
        parser.push(bytes);
      } catch (err) {
        this.finish({complete: false, how: err.message});
      }
    });
    this.socket.on('error', err => (this.error = err.code));
    this.socket.on('close', () => {
      this.closed = true;
      const cut = parser.close();
      const how = this.error ?? 'closed';
      this.finish({
        complete: false,
        how: cut ? `${how} within the answer` : how,
      });
    });
  }

  /**
   * Sends a request and reads its answer.
   *
   * @param request - `method`, `path`, `headers` and `body`.
   * @param onData - Called with each part of the body.
   * @returns `status`, `headers`, `body`, `complete` and `how` it ended.
   */
  send({method = 'POST', path, headers, body = ''}, onData = () => {}) {
    return new Promise(resolve => {
      const answer = {status: 0, headers: {}, chunks: []};
      this.pending = {
        head: ({first, headers: received}) => {
          answer.status = Number(first[1]);
          answer.headers = received;
        },
        data: bytes => {
          answer.chunks.push(Buffer.from(bytes));
          onData(bytes);
        },
        end: ({complete, how}) =>
          resolve({
            status: answer.status,
            headers: answer.headers,
            body: Buffer.concat(answer.chunks),
            complete,
            how,
          }),
      };
      const lines = Object.entries({
        Host: 'ficu95.example',
        ...headers,
        ...(body || method === 'POST'
          ? {'Content-Length': Buffer.byteLength(body)}
          : {}),
      }).map(([name, value]) => `${name}: ${value}\r\n`);
      if (this.closed) return this.finish({complete: false, how: 'was closed'});
      this.socket.write(`${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n`);
      if (body) this.socket.write(body);
    });
  }

  finish(result) {
    const {pending} = this;
    this.pending = undefined;
    this.served++;
    pending?.end(result);
  }

  close() {
    this.socket.destroy();
  }
}
