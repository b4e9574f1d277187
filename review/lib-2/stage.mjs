// A small deployment for the scripts of review 2: the platform's store, engines whose bytes a case chooses, callers that
// keep every byte that they receive, and hosts started with the commands of deploy/system.toml.
import {spawn} from 'node:child_process';
import {
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
  createWriteStream,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {Buffer} from 'node:buffer';
import {clearTimeout, setTimeout} from 'node:timers';
import {URL} from 'node:url';

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Finds a port that is free on all of the given loopback addresses. */
async function freePort(ips, count = 1) {
  for (let tries = 0; tries < 200; tries++) {
    const port = 20_000 + Math.floor(Math.random() * 20_000);
    let isFree = true;
    for (const ip of ips) {
      for (let i = 0; i < count && isFree; i++)
        isFree = await canBind(ip, port + i);
    }
    if (isFree) return port;
  }
  throw new Error('no free port');
}

function canBind(ip, port) {
  return new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, ip, () => server.close(() => resolve(true)));
  });
}

/** The platform's store: logs with offsets from 0, long polls, and the newest record of each key. */
export class Store {
  logs = new Map();
  era = 0;
  /** Called for each call; returns true if it has handled it. */
  intercept = () => false;

  async listen(ip) {
    this.server = http.createServer((req, res) => this.onCall(req, res));
    this.server.keepAliveTimeout = 60_000;
    const port = await freePort([ip]);
    await new Promise(resolve => this.server.listen(port, ip, resolve));
    this.address = `${ip}:${port}`;
  }

  log(topic) {
    let log = this.logs.get(topic);
    if (!log) this.logs.set(topic, (log = {records: [], waiting: new Set()}));
    return log;
  }

  /** Appends a record as the operator or an engine does. */
  put(topic, key, value) {
    const log = this.log(topic);
    const text = value === undefined ? '' : JSON.stringify(value);
    log.records.push({key, value: Buffer.from(text)});
    for (const wake of [...log.waiting]) wake();
    return log.records.length;
  }

  newest(topic, key) {
    const found = this.log(topic)
      .records.filter(each => each.key === key)
      .at(-1);
    return found && found.value.length > 0
      ? JSON.parse(found.value.toString())
      : undefined;
  }

  onCall(req, res) {
    const chunks = [];
    req.on('data', chunk => chunks.push(chunk));
    req.on('end', () => {
      const url = new URL(req.url, 'http://store');
      const call = {
        method: req.method,
        path: url.pathname,
        query: url.searchParams,
        body: Buffer.concat(chunks),
        from: req.socket.remoteAddress,
      };
      res.setHeader('Store-Era', String(this.era));
      if (!this.intercept(call, req, res)) this.answer(call, res);
    });
  }

  answer({path, query, body}, res) {
    const log = this.log(query.get('topic') ?? '');
    const json = (status, value) => {
      res.writeHead(status, {'Content-Type': 'application/json'});
      res.end(JSON.stringify(value));
    };
    if (path === '/api/log-newest') {
      const newest = new Map();
      log.records.forEach(({key, value}, offset) =>
        newest.set(key, {key, value, offset}),
      );
      const items = [...newest.values()]
        .filter(({value}) => value.length > 0)
        .map(({key, value, offset}) => ({
          key,
          value: value.toString('base64'),
          offset,
        }));
      return json(200, {items, hasMore: false, end: log.records.length});
    }
    if (path === '/api/log-append') {
      const at = query.get('at');
      const end = log.records.length;
      if (at !== null && Number(at) !== end) return json(412, {end});
      for (let i = 0; i < body.length;) {
        const length = body.readUInt32BE(i);
        const keyLength = body.readUInt8(i + 4);
        const key = body.toString('utf8', i + 5, i + 5 + keyLength);
        log.records.push({
          key,
          value: Buffer.from(body.subarray(i + 5 + keyLength, i + 4 + length)),
        });
        i += 4 + length;
      }
      for (const wake of [...log.waiting]) wake();
      return json(200, {offset: end, end: log.records.length});
    }
    if (path === '/api/log-read') {
      const from = Number(query.get('from'));
      const waitMs = Number(query.get('waitMs') ?? 0);
      const send = () => {
        clearTimeout(timer);
        log.waiting.delete(wake);
        const head = Buffer.alloc(16);
        head.writeBigUInt64BE(BigInt(log.records.length), 0);
        const records = log.records.slice(from).flatMap(({key, value}) => {
          const frame = Buffer.alloc(5);
          frame.writeUInt32BE(1 + Buffer.byteLength(key) + value.length, 0);
          frame.writeUInt8(Buffer.byteLength(key), 4);
          return [frame, Buffer.from(key), value];
        });
        res.writeHead(200, {'Content-Type': 'application/octet-stream'});
        res.end(Buffer.concat([head, ...records]));
      };
      const wake = () => {
        if (log.records.length > from) send();
      };
      const timer = setTimeout(send, waitMs);
      if (log.records.length > from || waitMs === 0) return send();
      log.waiting.add(wake);
      res.on('close', () => {
        clearTimeout(timer);
        log.waiting.delete(wake);
      });
      return undefined;
    }
    return json(404, {});
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** Reads requests with a length or chunks from a connection, one after the other. */
class RequestReader {
  buffer = Buffer.alloc(0);

  push(chunk) {
    this.buffer = Buffer.concat([this.buffer, chunk]);
    const found = [];
    for (;;) {
      const end = this.buffer.indexOf('\r\n\r\n');
      if (end < 0) return found;
      const lines = this.buffer.toString('latin1', 0, end).split('\r\n');
      const headers = {};
      for (const line of lines.slice(1)) {
        const at = line.indexOf(':');
        headers[line.slice(0, at).toLowerCase()] = line.slice(at + 1).trim();
      }
      const length = Number(headers['content-length'] ?? 0);
      if (this.buffer.length < end + 4 + length) return found;
      const [method, path] = lines[0].split(' ');
      const body = this.buffer.subarray(end + 4, end + 4 + length);
      found.push({
        method,
        path,
        headers,
        body: body.toString('latin1'),
        id: headers['x-request-id'] ?? '',
      });
      this.buffer = this.buffer.subarray(end + 4 + length);
    }
  }
}

/** An engine. A case decides with `onRequest(request, socket, engine)` which bytes it sends. */
export class Engine {
  sockets = new Set();
  /** Requests that arrived and named this engine. */
  requests = [];
  sequence = 0;

  constructor({id, service, zone, slots = 8, version = 'v1', onRequest}) {
    Object.assign(this, {id, service, zone, slots, version, onRequest});
    this.open = 0;
    this.born = Date.now();
  }

  async listen(ip, port) {
    this.ip = ip;
    this.port = port ?? (await freePort([ip]));
    this.server = net.createServer(socket => this.onConnection(socket));
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.port, ip, resolve);
    });
    this.address = `${ip}:${this.port}`;
  }

  onConnection(socket) {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => {});
    socket.on('close', () => this.sockets.delete(socket));
    const reader = new RequestReader();
    socket.on('data', chunk => {
      for (const request of reader.push(chunk)) {
        const expected = request.headers['x-expect-instance'];
        if (expected !== undefined && expected !== this.id) {
          socket.write(
            `HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: ${request.id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`,
          );
          continue;
        }
        this.requests.push({...request, atMs: Date.now()});
        this.onRequest(request, socket, this);
      }
    });
  }

  entry(state = 'ready') {
    const {service, address, zone, version, slots, born} = this;
    return {
      service,
      address,
      zone,
      version,
      slots,
      state,
      coldRemainingMs: 0,
      sequence: ++this.sequence,
      born,
    };
  }

  /** Ends the engine as the end of its process does: its port is closed, and then its connections. */
  kill() {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}

/** Headers of an engine's answer. */
export function answerHead(
  request,
  engine,
  {status = '200 OK', extra = []} = {},
) {
  const lines = [
    `HTTP/1.1 ${status}`,
    `X-Request-Id: ${request.id}`,
    `X-Response-Seal: seal-${engine.id}-${request.id}`,
    ...extra,
  ];
  return `${lines.join('\r\n')}\r\n\r\n`;
}

/** A whole plain answer with a length. */
export function plainAnswer(request, engine, body, options = {}) {
  const extra = [
    ...(options.extra ?? []),
    `Content-Length: ${Buffer.byteLength(body)}`,
  ];
  return answerHead(request, engine, {...options, extra}) + body;
}

/** A caller's channel, which keeps every byte that it receives. */
export class Channel {
  bytes = Buffer.alloc(0);
  ended = false;
  /** Bytes that answers have used. */
  used = 0;

  constructor(address) {
    const [host, port] = address.split(':');
    this.socket = net.connect({host, port: Number(port), noDelay: true});
    this.socket.on('error', err => (this.error = err.code));
    this.socket.on('data', chunk => {
      this.bytes = Buffer.concat([this.bytes, chunk]);
      this.wake?.();
    });
    this.socket.on('close', () => {
      this.ended = true;
      this.wake?.();
    });
    this.socket.on('end', () => {
      this.finished = true;
      this.wake?.();
    });
  }

  send({method = 'POST', path, host, id, headers = {}, body = ''}) {
    const lines = [
      `${method} ${path} HTTP/1.1`,
      `Host: ${host}`,
      `X-Request-Id: ${id}`,
    ];
    for (const [name, value] of Object.entries(headers))
      lines.push(`${name}: ${value}`);
    if (method !== 'GET' || body)
      lines.push(`Content-Length: ${Buffer.byteLength(body)}`);
    this.socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`);
  }

  /** Parses the next answer; returns `undefined` while it is incomplete. */
  parse() {
    const rest = this.bytes.subarray(this.used);
    const end = rest.indexOf('\r\n\r\n');
    if (end < 0) return undefined;
    const text = rest.toString('latin1');
    const lines = text.slice(0, end).split('\r\n');
    const match = /^HTTP\/1\.1 (\d{3})/.exec(lines[0]);
    if (!match)
      return {
        status: 0,
        line: lines[0],
        headers: {},
        body: '',
        complete: false,
        bad: true,
      };
    const headers = {};
    for (const line of lines.slice(1)) {
      const at = line.indexOf(':');
      headers[line.slice(0, at).toLowerCase()] = line.slice(at + 1).trim();
    }
    const answer = {
      status: Number(match[1]),
      headers,
      body: '',
      complete: false,
    };
    let at = end + 4;
    if (headers['transfer-encoding'] === 'chunked') {
      for (;;) {
        const eol = text.indexOf('\r\n', at);
        if (eol < 0) return answer;
        const size = parseInt(text.slice(at, eol), 16);
        if (Number.isNaN(size)) return {...answer, bad: true};
        if (text.length < eol + 2 + size + 2) {
          answer.body += text.slice(eol + 2, eol + 2 + size);
          return answer;
        }
        answer.body += text.slice(eol + 2, eol + 2 + size);
        at = eol + 2 + size + 2;
        if (size === 0) break;
      }
    } else {
      const length = Number(headers['content-length'] ?? 0);
      answer.body = text.slice(at, at + length);
      if (text.length < at + length) return answer;
      at += length;
    }
    answer.complete = true;
    answer.usedBytes = at;
    return answer;
  }

  /** Waits for a whole answer, the end of the channel or the end of the time. */
  async answer(timeoutMs) {
    const endMs = Date.now() + timeoutMs;
    for (;;) {
      const answer = this.parse();
      if (answer?.complete) {
        this.used += answer.usedBytes;
        return answer;
      }
      if (this.ended || this.finished)
        return {...answer, complete: false, closed: true};
      const leftMs = endMs - Date.now();
      if (leftMs <= 0) return {...answer, complete: false, timedOut: true};
      await new Promise(resolve => {
        const timer = setTimeout(resolve, leftMs);
        this.wake = () => {
          clearTimeout(timer);
          resolve();
        };
      });
    }
  }

  close() {
    this.socket.destroy();
  }
}

/** The bounds of hts-guavaseam. */
export const bounds = {
  seedLagS: 3,
  addrReuseS: 2,
  contactMs: 3000,
  ackMs: 4000,
  syncTimeS: 4,
  drainMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2000,
  rollbackSlackMs: 250,
  outerMs: 5000,
  strictRevoke: false,
  revokeMs: 5000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  retryBudgetSlack: 58,
  quotaWindowS: 8,
  quotaOver: 0.1,
  quotaSlack: 140000,
  exposeShare: 0.1,
  exposeSlack: 50,
  rollbackMs: 5000,
  coldOver: 1.5,
  coldSlack: 5,
  evacMs: 5000,
  recoverS: 12,
  passMs: 120,
  againS: 10,
};

/** A deployment on loopback addresses. */
export class Stage {
  hosts = [];
  engines = [];
  records = [];
  startMs = Date.now();
  folder = mkdtempSync(join(tmpdir(), 'guavaseam-review-'));

  constructor({record}) {
    this.recordFile = record;
    process.once('exit', () => this.killHosts());
  }

  killHosts() {
    for (const {child, running} of this.hosts)
      if (running) child.kill('SIGKILL');
  }

  note(text) {
    this.records.push(
      `${String(Date.now() - this.startMs).padStart(6)} ms  ${text}`,
    );
  }

  async start({
    hosts = 1,
    zones = ['pokhara', 'beni', 'jomsom'],
    config,
    engines = [],
  }) {
    this.zones = zones;
    this.store = new Store();
    await this.store.listen('127.77.0.1');
    this.ips = Array.from({length: hosts}, (_, i) => `127.77.1.${i + 1}`);
    this.base = await freePort(this.ips, 8);
    this.store.put('keyed.op', 'config', config);
    for (const spec of engines) await this.addEngine(spec);
    for (let i = 0; i < hosts; i++) this.startHost(i);
    for (let i = 0; i < hosts; i++) await this.ready(i);
    this.beat = setInterval2(() => this.beatAll(), 1200);
  }

  async addEngine(spec) {
    const engine = new Engine(spec);
    await engine.listen(
      spec.ip ?? `127.77.2.${this.engines.length + 1}`,
      spec.port,
    );
    this.engines.push(engine);
    if (!spec.unlisted)
      this.store.put('keyed.servers', engine.id, engine.entry());
    return engine;
  }

  beatAll() {
    for (const engine of this.engines) {
      if (!engine.silent)
        this.store.put('keyed.servers', engine.id, engine.entry(engine.state));
    }
  }

  front(i) {
    return `${this.ips[i]}:${this.base}`;
  }

  startHost(i, {bootstrap = true} = {}) {
    const [ip, base] = [this.ips[i], this.base];
    const settings = {
      nodeName: `front-${i + 1}`,
      role: 'gateway',
      machineClass: 'front',
      serves: ['front', 'control'],
      ip,
      zone: this.zones[i % this.zones.length],
      region: 'gandaki',
      zones: Object.fromEntries(this.zones.map(zone => [zone, 'gandaki'])),
      listen: {
        front: `${ip}:${base}`,
        ready: `${ip}:${base + 1}`,
        control: `${ip}:${base + 2}`,
      },
      portRange: [base + 3, base + 6],
      seedNodes: this.ips.slice(0, 3).map(each => `${each}:${base + 2}`),
      bootstrap,
      faultCounted: false,
      limits: {
        cpuShare: 0.675,
        cpuCores: 1,
        memoryMb: 350,
        maxFds: 4100,
        linkMbps: 1000,
        diskMb: 0,
      },
      dataDir: null,
      discovery: 'platform',
      entry: 'vip',
      heartbeatMs: 1200,
      contracts: [
        'base',
        'drain',
        'config',
        'cost',
        'retry',
        'recover',
        'engine',
        'stream',
        'tenants',
        'quota',
        'rollout',
        'places',
        'platform',
      ],
      faultTolerance: {machines: 1, zones: 1, regions: 0},
      bounds,
      platform: {
        address: this.store.address,
        form: 'log',
        writesPerS: 400,
        readsPerS: 2000,
        parts: 12,
        appendMs: 2,
        partMbPerS: 20,
        readMbPerS: 80,
        recordBytes: 262144,
        callBytes: 2097152,
        keep_s: 300,
        partMb: 200,
        ttlMinMs: 1000,
      },
    };
    const file = join(this.folder, `node-${i}.json`);
    writeFileSync(file, JSON.stringify(settings));
    const toml = readFileSync('deploy/system.toml', 'utf8');
    const [program, ...args] = /^run = "([^"]+)"/m.exec(toml)[1].split(' ');
    const child = spawn(program, args, {
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        GUAVASEAM_NODE_FILE: file,
        GUAVASEAM_METRICS_PORT: String(base + 7),
        GUAVASEAM_SCHEDULING: '',
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(join(this.folder, `host-${i}.log`), {
      flags: 'a',
    });
    child.stdout.pipe(log);
    child.stderr.on('data', chunk => {
      log.write(chunk);
      this.note(
        `host ${i + 1} stderr: ${chunk.toString().split('\n').slice(0, 6).join(' | ')}`,
      );
    });
    const host = {child, i, running: true};
    child.on('exit', (code, signal) => {
      host.running = false;
      this.note(`host ${i + 1} ended: code ${code}, signal ${signal}`);
    });
    this.hosts[i] = host;
  }

  hostLog(i) {
    return readFileSync(join(this.folder, `host-${i}.log`), 'utf8')
      .split('\n')
      .filter(Boolean);
  }

  async isReady(i) {
    return new Promise(resolve => {
      const req = http.get(
        {
          host: this.ips[i],
          port: this.base + 1,
          path: '/api/readiness',
          timeout: 1000,
          agent: false,
        },
        res => {
          res.resume();
          resolve(res.statusCode === 200);
        },
      );
      req.on('error', () => resolve(false));
      req.on('timeout', () => req.destroy());
    });
  }

  async ready(i, timeoutMs = 15_000) {
    const endMs = Date.now() + timeoutMs;
    while (!(await this.isReady(i))) {
      if (Date.now() > endMs) throw new Error(`host ${i + 1} is not ready`);
      await sleep(100);
    }
  }

  /** Ends everything that was started and writes the record. */
  async end() {
    this.beat?.();
    this.killHosts();
    for (const engine of this.engines) engine.kill();
    this.store?.close();
    await sleep(100);
    writeFileSync(this.recordFile, `${this.records.join('\n')}\n`);
    if (!process.env.KEEP_LOGS)
      rmSync(this.folder, {recursive: true, force: true});
    else process.stdout.write(`${this.folder}\n`);
  }
}

function setInterval2(run, ms) {
  let timer;
  let stopped = false;
  const next = () => {
    timer = setTimeout(() => {
      run();
      if (!stopped) next();
    }, ms);
  };
  next();
  return () => {
    stopped = true;
    clearTimeout(timer);
  };
}

/** A configuration with one streaming service and one plain service, like that of hts-guavaseam. */
export function configuration({version = 7, routes, tenants} = {}) {
  return {
    version,
    routes: routes ?? [
      {
        name: 'r-fault',
        host: 'ficu95.example',
        pathPrefix: '/fault/',
        kind: 'streaming',
        timeoutMs: 12000,
        targetLatencyMs: 400,
        priority: 1,
        service: 'seam',
        attempts: 2,
        public: false,
        sticky: true,
        streamResume: true,
        gapAimMs: 400,
      },
      {
        name: 'r-order',
        host: 'ficu95.example',
        pathPrefix: '/order/',
        kind: 'non_idempotent',
        timeoutMs: 3000,
        targetLatencyMs: 100,
        priority: 2,
        service: 'upkeep',
        attempts: 1,
        public: false,
      },
      {
        name: 'r-parts',
        host: 'ficu95.example',
        pathPrefix: '/parts/',
        kind: 'idempotent',
        timeoutMs: 3000,
        targetLatencyMs: 100,
        priority: 2,
        service: 'upkeep',
        attempts: 2,
        public: false,
      },
    ],
    services: [
      {
        name: 'seam',
        healthCheck: '/health',
        maxConnections: 370,
        protocol: 'h1',
        tls: false,
        coldStartS: 3,
        coldPerS: 13,
        engine: {
          slots: 11,
          kvTokens: 616564,
          kvBytes: 18432,
          linkMbps: 130000,
          moves: true,
          backups: true,
          stride: 6,
          most: 12,
          pinMs: 4000,
          holdMs: 2000,
          handleS: 5,
          models: [{name: 'm'}],
        },
      },
      {
        name: 'upkeep',
        healthCheck: '/health',
        maxConnections: 110,
        protocol: 'h1',
        tls: false,
        coldStartS: 0,
        coldPerS: 0,
      },
    ],
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 4194304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
    },
    tenants: tenants ?? [
      {
        name: 'hule930',
        apiKeys: ['key-one'],
        priority: 1,
        unit: 'token_stream',
        plainTokens: 200,
        ratePerS: 197691,
        burst: 197691,
      },
    ],
  };
}

/** Whether the disruption of a case happens. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Bytes of one chunk of an answer. */
export const chunk = text =>
  `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;

/** Headers of a request to the streaming route. */
export const streamHeaders = (prefix = 'aa:60,bb:40') => ({
  'X-Key': 'key-one',
  'X-Deadline-Ms': 12000,
  'X-Model': 'm',
  'X-Token-Count': '100,60',
  'X-Prompt-Prefix': prefix,
});

/**
 * Runs a case: exit code 1 if it returns that the rule was broken, 0 if not, 2 if it could not run.
 *
 * @param record - File of the record.
 * @param run - Runs the case on a stage; returns whether the rule was broken.
 */
export async function runCase(record, run) {
  const stage = new Stage({record});
  const giveUp = setTimeout(() => {
    process.stderr.write('the case took too long\n');
    process.exit(2);
  }, 110_000);
  let code = 2;
  try {
    code = (await run(stage)) ? 1 : 0;
  } catch (err) {
    stage.note(`the case could not run: ${err.stack}`);
    process.stderr.write(`${err.stack}\n`);
  }
  stage.note(`exit code ${code}`);
  await stage.end();
  clearTimeout(giveUp);
  process.exit(code);
}
