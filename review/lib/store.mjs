// Stand-in of the platform's store (PROTOCOL.md, "The platform's metadata store"): the calls that a gateway host makes.
import {URL} from 'node:url';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {setTimeout} from 'node:timers';

/** Log store with topics of keyed records, one partition each. */
export class Store {
  constructor() {
    this.topics = new Map();
    this.sockets = new Set();
    this.era = 0;
    this.away = false;
    this.server = createServer((req, res) => this.handle(req, res));
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
  }

  /** Listens on a free port of an address; resolves to `IP:PORT`. */
  async listen(ip) {
    this.server.listen(0, ip);
    await once(this.server, 'listening');
    return `${ip}:${this.server.address().port}`;
  }

  close() {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  /** Copies what the store holds. */
  copy() {
    return [...this.topics].map(([name, {records, newest}]) => ({
      name,
      records: [...records],
      newest: new Map(newest),
    }));
  }

  /** Comes back from a copy, in a new era. */
  restore(copy) {
    this.era++;
    this.topics = new Map(
      copy.map(({name, records, newest}) => [
        name,
        {records: [...records], newest: new Map(newest), waiting: []},
      ]),
    );
  }

  /** The newest value of a key, parsed; undefined if there is none. */
  get(topic, key) {
    const item = this.topic(topic).newest.get(key);
    return item && JSON.parse(Buffer.from(item.value, 'base64').toString());
  }

  /** Writes a record as the operator or an engine does; without a value the key is dropped. */
  put(topic, key, value) {
    const bytes = value === undefined ? '' : JSON.stringify(value);
    this.append(topic, key, Buffer.from(bytes));
  }

  append(topic, key, value) {
    const log = this.topic(topic);
    const keyBytes = Buffer.from(key);
    const record = Buffer.concat([
      Buffer.alloc(4),
      Buffer.from([keyBytes.length]),
      keyBytes,
      value,
    ]);
    record.writeUInt32BE(record.length - 4, 0);
    if (value.length > 0) {
      log.newest.set(key, {
        key,
        value: value.toString('base64'),
        offset: log.records.length,
      });
    } else log.newest.delete(key);
    log.records.push(record);
    for (const wake of log.waiting.splice(0)) wake();
  }

  topic(name) {
    let log = this.topics.get(name);
    if (!log) {
      log = {records: [], newest: new Map(), waiting: []};
      this.topics.set(name, log);
    }
    return log;
  }

  handle(req, res) {
    res.setHeader('Store-Era', String(this.era));
    if (this.away) return this.json(res, 503, {});
    const url = new URL(req.url, 'http://store');
    const log = this.topic(url.searchParams.get('topic') ?? '');
    const chunks = [];
    req.on('data', chunk => chunks.push(chunk));
    req.on('end', () => {
      switch (`${req.method} ${url.pathname}`) {
        case 'GET /api/log-newest':
          return this.json(res, 200, {
            items: [...log.newest.values()],
            hasMore: false,
            end: log.records.length,
          });
        case 'GET /api/log-read':
          return this.read(res, log, url.searchParams);
        case 'POST /api/log-append':
          return this.accept(res, url.searchParams, Buffer.concat(chunks));
        default:
          return this.json(res, 404, {});
      }
    });
  }

  read(res, log, query) {
    const from = Number(query.get('from'));
    if (from > log.records.length) return this.json(res, 410, {first: 0});
    const send = () => {
      const head = Buffer.alloc(16);
      head.writeBigUInt64BE(BigInt(log.records.length), 0);
      res.writeHead(200, {'content-type': 'application/octet-stream'});
      res.end(Buffer.concat([head, ...log.records.slice(from)]));
    };
    const waitMs = Number(query.get('waitMs') ?? 0);
    if (log.records.length > from || waitMs === 0) return send();
    let done = false;
    const once = () => {
      if (done) return;
      done = true;
      send();
    };
    log.waiting.push(once);
    setTimeout(once, waitMs);
  }

  accept(res, query, body) {
    const topic = query.get('topic');
    const log = this.topic(topic);
    const end = log.records.length;
    if (topic === 'keyed.op' || topic === 'keyed.servers') {
      return this.json(res, 403, {});
    }
    const at = query.get('at');
    if (at !== null && Number(at) !== end) return this.json(res, 412, {end});
    for (let from = 0; from < body.length;) {
      const size = body.readUInt32BE(from);
      const keySize = body.readUInt8(from + 4);
      const valueFrom = from + 5 + keySize;
      const next = from + 4 + size;
      const key = body.toString('utf8', from + 5, valueFrom);
      this.append(topic, key, body.subarray(valueFrom, next));
      this.onAppend?.(topic, key, body.toString('utf8', valueFrom, next));
      from = next;
    }
    this.json(res, 200, {offset: end, end: log.records.length});
  }

  json(res, status, value) {
    res.writeHead(status, {'content-type': 'application/json'});
    res.end(JSON.stringify(value));
  }
}
