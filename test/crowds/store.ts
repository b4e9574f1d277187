import {once} from 'node:events';
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {buffer} from 'node:stream/consumers';

interface Topic {
  readonly records: Buffer[];
  readonly newest: Map<string, {value: string; offset: number}>;
  waiting: Array<() => void>;
}

/** Stand-in of the platform's store for a host in a process of its own: the calls that a host makes, over HTTP. */
export class StoreServer {
  private readonly topics = new Map<string, Topic>();
  private readonly sockets = new Set<Socket>();
  private readonly server = createServer(
    (req, res) => void this.handle(req, res),
  ).on('connection', socket => {
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
  });

  /** Listens on a free port of loopback and returns `IP:PORT`. */
  async listen(): Promise<string> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  /** Writes a record as the operator or a target does. */
  put(topic: string, key: string, value: unknown): void {
    this.append(topic, key, Buffer.from(JSON.stringify(value)));
  }

  private append(name: string, key: string, value: Buffer): void {
    const topic = this.topic(name);
    const keyBytes = Buffer.from(key);
    const size = Buffer.alloc(4);
    size.writeUInt32BE(1 + keyBytes.length + value.length);
    const offset = topic.records.length;
    topic.newest.set(key, {value: value.toString('base64'), offset});
    topic.records.push(
      Buffer.concat([size, Buffer.from([keyBytes.length]), keyBytes, value]),
    );
    const {waiting} = topic;
    topic.waiting = [];
    for (const wake of waiting) wake();
  }

  private topic(name: string): Topic {
    const topic = this.topics.get(name) ?? {
      records: [],
      newest: new Map(),
      waiting: [],
    };
    this.topics.set(name, topic);
    return topic;
  }

  private async handle(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const body = await buffer(req).catch(() => undefined);
    if (!body) return;
    const {pathname, searchParams} = new URL(req.url ?? '', 'http://store');
    const name = searchParams.get('topic') ?? '';
    const topic = this.topic(name);
    const end = topic.records.length;
    res.setHeader('store-era', '0');
    switch (pathname) {
      case '/api/log-newest': {
        const items = [...topic.newest].map(([key, item]) => ({key, ...item}));
        return sendJson(res, 200, {items, hasMore: false, end});
      }
      case '/api/log-read':
        return this.read(res, topic, searchParams);
      case '/api/log-append': {
        const at = searchParams.get('at');
        if (at !== null && Number(at) !== end) {
          return sendJson(res, 412, {end});
        }
        for (let from = 0; from < body.length;) {
          const next = from + 4 + body.readUInt32BE(from);
          const valueFrom = from + 5 + body.readUInt8(from + 4);
          const key = body.toString('utf8', from + 5, valueFrom);
          this.append(name, key, body.subarray(valueFrom, next));
          from = next;
        }
        return sendJson(res, 200, {offset: end, end: topic.records.length});
      }
      default:
        return sendJson(res, 404, {});
    }
  }

  private read(
    res: ServerResponse,
    topic: Topic,
    query: URLSearchParams,
  ): void {
    const from = Number(query.get('from'));
    if (from > topic.records.length) return sendJson(res, 410, {first: 0});
    const send = () => {
      if (res.writableEnded) return;
      const head = Buffer.alloc(16);
      head.writeBigUInt64BE(BigInt(topic.records.length));
      res.writeHead(200, {'content-type': 'application/octet-stream'});
      res.end(Buffer.concat([head, ...topic.records.slice(from)]));
    };
    const waitMs = Number(query.get('waitMs') ?? 0);
    if (topic.records.length > from || waitMs === 0) return send();
    topic.waiting.push(send);
    const timer = setTimeout(send, waitMs);
    res.once('close', () => clearTimeout(timer));
  }
}

function sendJson(res: ServerResponse, status: number, value: unknown): void {
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(JSON.stringify(value));
}
