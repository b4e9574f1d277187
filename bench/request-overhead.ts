import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {build, type Histogram} from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import {startHostProcess, token, type HostProcess} from './host-process.js';

const warmUpRequests = 1000;
const measuredRequests = 5000;
const latencyConcurrency = 1;
const loadConcurrency = 32;
const streamCounts = [100, 1000, 5000];
const answerBytes = 512;

/** Engine that answers at once, and keeps streams open until it is closed. */
async function startEngine(): Promise<{server: Server; address: string}> {
  const body = JSON.stringify({choices: [], pad: 'x'.repeat(answerBytes)});
  const server = createServer((req, res) => {
    if (req.method !== 'POST') {
      // This engine reports neither load nor cache events.
      res.writeHead(404).end();
      return;
    }
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
  host: HostProcess,
  origin: string,
): Promise<void> {
  const agent = new Agent({headersTimeout: 0, bodyTimeout: 0});
  const before = await host.figures();
  let open = 0;
  for (const count of streamCounts) {
    await openStreams(agent, origin, count - open);
    open = count;
    const now = await host.figures();
    const heap = (now.heapBytes - before.heapBytes) / count;
    const resident = (now.residentBytes - before.residentBytes) / count;
    print(
      `${count} open streams`,
      `${heap.toFixed(0)} bytes of heap, ${resident.toFixed(0)} resident bytes for each`,
    );
  }
  await agent.destroy();
}

/** Compares requests straight to an engine with requests through one host, and prints a table. */
export async function run(): Promise<void> {
  const engine = await startEngine();
  const host = await startHostProcess(engine.address);
  const {origin} = host;
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
  const before = await host.figures();
  const hostLoad = await drive(origin, measuredRequests, loadConcurrency);
  const busyMs = (await host.figures()).cpuMs - before.cpuMs;
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
  await measureStreams(host, origin);
  await host.stop();
  engine.server.closeAllConnections();
  engine.server.close();
}

function print(label: string, text: string): void {
  process.stdout.write(`${label.padEnd(38)}${text}\n`);
}
