// Stand-in of an engine (PROTOCOL.md, "Engines"). It runs `slots` requests at a time, queues a few more and turns the
// rest away with the answer that `fleetbench wire` shows for "a server sheds".
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:net';
import {clearInterval, setInterval} from 'node:timers';
import {MessageParser} from './http.mjs';

/** Interval at which an engine writes its entry, in milliseconds: `heartbeatMs` of the settings. */
const heartbeatMs = 1200;

/** An answer that says that the request was not run. */
export const shed =
  'HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n';

export class Engine {
  /**
   * @param options - `id`, `service`, `zone`, `slots`, `queue` (how many requests wait), `record(kind, fields)` and
   *   `run(request, answer)`, which is called when a request begins to run and calls `answer.end()` when it has ended.
   */
  constructor(options) {
    Object.assign(this, {queue: 0, load: true, version: 'v1'}, options);
    this.reset();
  }

  reset() {
    this.born = Date.now();
    this.sequence = 0;
    this.running = new Set();
    this.waiting = [];
    this.sockets = new Set();
    this.server = createServer(socket => this.serve(socket));
  }

  /** Starts again after {@link close}: at the same address, under the same id, as a new lifetime. */
  async restart(store) {
    const [ip, port] = this.address.split(':');
    this.reset();
    await this.start(store, ip, Number(port));
  }

  /** Listens and writes its entry to the store, again and again. */
  async start(store, ip, port = 0) {
    this.server.listen(port, ip);
    await once(this.server, 'listening');
    this.address = `${ip}:${this.server.address().port}`;
    this.store = store;
    const beat = () => this.beat('ready');
    beat();
    this.timer = setInterval(beat, heartbeatMs);
  }

  /** Writes its entry to the store. */
  beat(state) {
    this.store.put('keyed.servers', this.id, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: this.version,
      slots: this.slots,
      state,
      coldRemainingMs: 0,
      sequence: this.sequence++,
      born: this.born,
    });
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  serve(socket) {
    this.sockets.add(socket);
    const channel = {socket, current: undefined};
    const body = [];
    const parser = new MessageParser(
      {
        head: () => (body.length = 0),
        data: (_message, bytes) => body.push(bytes),
        end: message => {
          const [method, path] = message.first;
          const {headers} = message;
          const id = headers['x-request-id'];
          this.accept({
            method,
            path,
            headers,
            id,
            channel,
            body: Buffer.concat(body),
          });
        },
      },
      false,
    );
    socket.on('data', bytes => parser.push(bytes));
    socket.on('error', () => {});
    socket.on('close', () => {
      this.sockets.delete(socket);
      const {current} = channel;
      if (!current) return;
      // Work stops when the channel closes.
      this.waiting = this.waiting.filter(request => request !== current);
      if (current.answer) current.answer.stop('channel closed');
    });
  }

  accept(request) {
    const {headers, channel, id} = request;
    channel.current = request;
    this.record('reaches', {engine: this.id, request: id});
    if (headers['x-expect-instance'] !== this.id) {
      this.record('turned away', {engine: this.id, request: id, status: 421});
      channel.current = undefined;
      channel.socket.write(
        `HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: ${id}\r\nX-Instance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`,
      );
      return;
    }
    if (this.running.size < this.slots) return this.begin(request);
    if (this.waiting.length < this.queue) {
      this.waiting.push(request);
      return;
    }
    this.record('turned away', {engine: this.id, request: id, status: 503});
    channel.current = undefined;
    channel.socket.write(shed);
    this.onAnswered?.(channel, shed, 'shed');
  }

  begin(request) {
    const answer = new Answer(this, request);
    request.answer = answer;
    this.running.add(request);
    this.record('runs', {engine: this.id, request: request.id});
    this.run(request, answer);
  }

  ended(request, how) {
    if (!this.running.delete(request)) return;
    request.channel.current = undefined;
    this.record('run ends', {engine: this.id, request: request.id, how});
    const next = this.waiting.shift();
    if (next) this.begin(next);
  }
}

/** The answer to one request that runs. */
class Answer {
  constructor(engine, request) {
    this.engine = engine;
    this.request = request;
    this.open = true;
    this.onStop = () => {};
  }

  get socket() {
    return this.request.channel.socket;
  }

  headers(status, type) {
    const {engine, request} = this;
    const load = engine.load
      ? `X-Server-Load: ${engine.running.size},${engine.waiting.length},${engine.slots}\r\n`
      : '';
    return `HTTP/1.1 ${status}\r\nX-Request-Id: ${request.id}\r\nX-Response-Seal: seal-${engine.id}-${request.id}\r\nContent-Type: ${type}\r\nKeep-Alive: timeout=30\r\n${load}`;
  }

  /** Sends a whole answer with a length. */
  whole(status, body, type = 'text/plain') {
    if (!this.open) return;
    const text = `${this.headers(status, type)}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;
    this.socket.write(text);
    this.close(status);
    this.engine.onAnswered?.(this.request.channel, text, 'answer');
  }

  /** Sends the head of a chunked answer. */
  begin(status, type) {
    if (this.open) {
      this.socket.write(
        `${this.headers(status, type)}Transfer-Encoding: chunked\r\n\r\n`,
      );
    }
  }

  chunk(bytes) {
    if (!this.open) return false;
    const size = Buffer.byteLength(bytes).toString(16);
    this.socket.write(`${size}\r\n`);
    this.socket.write(bytes);
    return this.socket.write('\r\n');
  }

  end() {
    if (!this.open) return;
    this.socket.write('0\r\n\r\n');
    this.close('200');
  }

  /** Ends the run because nobody reads the answer any more. */
  stop(why) {
    if (!this.open) return;
    this.close(why);
    this.onStop();
  }

  close(how) {
    this.open = false;
    this.engine.ended(this.request, how);
  }
}
