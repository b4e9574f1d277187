import {fork, type ChildProcess} from 'node:child_process';
import {createHash} from 'node:crypto';
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {fileURLToPath} from 'node:url';
import {build, type Histogram} from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import {createHost} from '../src/index.js';
import {HttpLogClient} from '../src/connection/platform/http-log-client.js';
import {checkSettings} from '../src/process/settings.js';
import {LogServer} from '../stand-ins/index.js';

const token = 'bench-key';
const warmUpRequests = 1000;
const measuredRequests = 5000;
const latencyConcurrency = 1;
const loadConcurrency = 32;
const streamCounts = [100, 1000, 5000];
const answerBytes = 512;

/** Marks the process that runs the host. */
const hostArgument = 'bench-host';

/** Figures of the host's process. */
interface HostFigures {
  readonly cpuMs: number;
  readonly heapBytes: number;
  readonly residentBytes: number;
}

/** Engine that answers at once, and keeps streams open until it is closed. */
async function startEngine(): Promise<{server: Server; address: string}> {
  const body = JSON.stringify({choices: [], pad: 'x'.repeat(answerBytes)});
  const server = createServer((req, res) => {
    let text = '';
    req.on('data', chunk => (text += String(chunk)));
    req.on('end', () => {
      if (!text.includes('"stream":true')) {
        res.setHeader('content-type', 'application/json');
        res.end(body);
        return;
      }
      res.writeHead(200, {'content-type': 'text/event-stream'});
      res.write('data: {"choices":[{"delta":{"content":"a"}}]}\n\n');
    });
  });
  server.listen(0, '127.0.0.1', 8192);
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  return {server, address: `http://127.0.0.1:${port}`};
}

/** Runs a host in a process of its own, so that its processor time, memory and files can be told apart. */
async function hostProcess(logUrl: string): Promise<void> {
  const host = createHost(
    checkSettings({
      host: 'bench',
      fleet: 'bench',
      zone: 'a',
      region: 'r',
      callers: {address: '127.0.0.1', port: 0},
      peers: {address: '127.0.0.1', port: 0, tls: {mode: 'plain'}},
      platform: {logUrl},
      drainMs: 0,
      logLevel: 'silent',
    }),
  );
  const {callersPort} = await host.start();
  process.on('message', async (message: 'figures' | 'stop') => {
    if (message === 'stop') {
      await host.stop();
      process.disconnect();
      return;
    }
    globalThis.gc?.();
    const {heapUsed, rss} = process.memoryUsage();
    const {user, system} = process.cpuUsage();
    process.send?.({
      cpuMs: (user + system) / 1000,
      heapBytes: heapUsed,
      residentBytes: rss,
    } satisfies HostFigures);
  });
  process.send?.(callersPort);
}

function post(agent: Agent, origin: string, stream: boolean) {
  return request(`${origin}/v1/chat/completions`, {
    dispatcher: agent,
    method: 'POST',
    headers: {
      authorization: `Bearer ${token}`,
      'content-type': 'application/json',
    },
    body: JSON.stringify({
      model: 'chat',
      stream,
      messages: [{role: 'user', content: 'hello '.repeat(100)}],
    }),
  });
}

async function drive(
  origin: string,
  count: number,
  concurrency: number,
): Promise<{latency: Histogram; seconds: number}> {
  const agent = new Agent({connections: concurrency});
  const latency = build({numberOfSignificantValueDigits: 3});
  let left = count;
  const startMs = performance.now();
  const worker = async () => {
    while (left-- > 0) {
      const sentMs = performance.now();
      const res = await post(agent, origin, false);
      await res.body.dump();
      if (res.statusCode !== 200) {
        throw new Error(`status ${res.statusCode} instead of 200`);
      }
      latency.recordValue(Math.round((performance.now() - sentMs) * 1000));
    }
  };
  await Promise.all(Array.from({length: concurrency}, worker));
  const seconds = (performance.now() - startMs) / 1000;
  await agent.destroy();
  return {latency, seconds};
}

async function ask(child: ChildProcess): Promise<HostFigures> {
  const answered = once(child, 'message');
  child.send('figures');
  const [figures] = (await answered) as [HostFigures];
  return figures;
}

async function openStreams(agent: Agent, origin: string, count: number) {
  let left = count;
  const worker = async () => {
    while (left-- > 0) {
      const res = await post(agent, origin, true);
      if (res.statusCode !== 200) {
        throw new Error(`status ${res.statusCode} instead of 200`);
      }
      res.body.on('error', () => {});
      await once(res.body, 'readable');
      res.body.read();
    }
  };
  await Promise.all(Array.from({length: 50}, worker));
}

async function measureStreams(
  child: ChildProcess,
  origin: string,
): Promise<void> {
  const agent = new Agent({headersTimeout: 0, bodyTimeout: 0});
  const before = await ask(child);
  let open = 0;
  for (const count of streamCounts) {
    await openStreams(agent, origin, count - open);
    open = count;
    const now = await ask(child);
    const heap = (now.heapBytes - before.heapBytes) / count;
    const resident = (now.residentBytes - before.residentBytes) / count;
    print(
      `${count} open streams`,
      `${heap.toFixed(0)} bytes of heap, ${resident.toFixed(0)} resident bytes for each`,
    );
  }
  await agent.destroy();
}

async function declare(logUrl: string, address: string): Promise<void> {
  const client = new HttpLogClient(logUrl);
  const sha256 = createHash('sha256').update(token).digest('hex');
  const specs: [string, string, unknown][] = [
    ['zone', 'a', {region: 'r', state: 'in'}],
    ['organisation', 'o', {keys: [{id: 'k', sha256, tier: 0}], weight: 1}],
    [
      'service',
      'chat',
      {
        type: 'model',
        version: 'v1',
        defaultTimeoutMs: 120_000,
        firstTokenTargetMs: 500,
        tokenTargetMs: 50,
      },
    ],
    [
      'target',
      't',
      {
        service: 'chat',
        zone: 'a',
        address,
        version: 'v1',
        maxConcurrency: 100_000,
        coldConcurrency: 100_000,
      },
    ],
  ];
  for (const [kind, name, spec] of specs) {
    await client.append('config', {
      writeId: `${kind}-${name}`,
      actor: 'bench',
      time: '2026-01-01T00:00:00Z',
      op: 'put',
      kind,
      name,
      baseGeneration: 0,
      spec,
    });
  }
  await client.close();
}

/** Compares requests straight to an engine with requests through one host, and prints a table. */
export async function run(): Promise<void> {
  const log = new LogServer();
  await log.listen();
  const engine = await startEngine();
  await declare(log.address, engine.address);
  const child = fork(
    fileURLToPath(import.meta.url),
    [hostArgument, log.address],
    {execArgv: ['--expose-gc']},
  );
  const [port] = (await once(child, 'message')) as [number];
  const origin = `http://127.0.0.1:${port}`;
  for (let ready = 0; ready !== 200;) {
    const probe = await request(`${origin}/readyz`);
    await probe.body.dump();
    ready = probe.statusCode;
  }
  for (const to of [engine.address, origin]) {
    await drive(to, warmUpRequests, loadConcurrency);
  }
  const straight = await drive(
    engine.address,
    measuredRequests,
    latencyConcurrency,
  );
  const through = await drive(origin, measuredRequests, latencyConcurrency);
  for (const percentile of [50, 99]) {
    const [a, b] = [straight, through].map(({latency}) =>
      latency.getValueAtPercentile(percentile),
    );
    print(
      `latency p${percentile}, one at a time`,
      `${a} µs straight, ${b} µs through a host, ${b - a} µs added`,
    );
  }
  const load = await drive(engine.address, measuredRequests, loadConcurrency);
  const before = await ask(child);
  const hostLoad = await drive(origin, measuredRequests, loadConcurrency);
  const busyMs = (await ask(child)).cpuMs - before.cpuMs;
  const rate = measuredRequests / load.seconds;
  const hostRate = measuredRequests / hostLoad.seconds;
  const perCore = measuredRequests / (busyMs / 1000);
  print(
    `rate, ${loadConcurrency} at a time`,
    `${rate.toFixed(0)}/s straight, ${hostRate.toFixed(0)}/s through a host, ratio ${(hostRate / rate).toFixed(2)}`,
  );
  print(
    'rate per busy core of the host',
    `${perCore.toFixed(0)}/s, ratio ${(perCore / rate).toFixed(2)}`,
  );
  await measureStreams(child, origin);
  child.send('stop');
  await once(child, 'exit');
  engine.server.closeAllConnections();
  engine.server.close();
  await log.close();
}

function print(label: string, text: string): void {
  process.stdout.write(`${label.padEnd(38)}${text}\n`);
}

if (process.argv[2] === hostArgument) await hostProcess(process.argv[3]);
