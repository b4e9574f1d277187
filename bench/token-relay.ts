import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Agent, request} from 'undici';
import {startHostProcess, token, type HostProcess} from './host-process.js';

const streams = 64;
/** Tokens of one answer, at three sizes, so that the cost of a token and of a request can be told apart. */
const answerTokens = [32, 128, 512];
/** Time between tokens; each token is then a write of its own, as with a real engine. */
const tokenIntervalMs = 20;
const rounds = 2;
const idleMs = 3000;

/** Engine that streams the number of tokens that `max_tokens` states, at a fixed interval. */
async function startEngine(): Promise<{server: Server; address: string}> {
  const server = createServer(async (req, res) => {
    if (req.method !== 'POST') {
      // This engine reports neither load nor cache events.
      res.writeHead(404).end();
      return;
    }
    let text = '';
    for await (const chunk of req) text += String(chunk);
    let left = (JSON.parse(text) as {max_tokens: number}).max_tokens;
    res.writeHead(200, {'content-type': 'text/event-stream'});
    const timer = setInterval(() => {
      res.write(
        'data: {"choices":[{"index":0,"delta":{"content":"word"}}]}\n\n',
      );
      if (--left > 0) return;
      clearInterval(timer);
      res.end('data: [DONE]\n\n');
    }, tokenIntervalMs);
    res.on('close', () => clearInterval(timer));
  });
  server.listen(0, '127.0.0.1', 1024);
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  return {server, address: `http://127.0.0.1:${port}`};
}

async function readStream(
  agent: Agent,
  origin: string,
  tokens: number,
): Promise<void> {
  const res = await request(`${origin}/v1/chat/completions`, {
    dispatcher: agent,
    method: 'POST',
    headers: {authorization: `Bearer ${token}`},
    body: JSON.stringify({
      model: 'chat',
      stream: true,
      max_tokens: tokens,
      messages: [{role: 'user', content: 'hello'}],
    }),
  });
  const text = await res.body.text();
  const events = text.split('\n\n').length - 1;
  if (res.statusCode !== 200 || events !== tokens + 1) {
    throw new Error(`status ${res.statusCode}, ${events} events`);
  }
}

/** Measures the processor time of the host for one round of streams, in milliseconds for each request. */
async function measureRound(
  host: HostProcess,
  agent: Agent,
  tokens: number,
  idleShare: number,
): Promise<number> {
  const before = await host.figures();
  const startMs = performance.now();
  await Promise.all(
    Array.from({length: streams}, () => readStream(agent, host.origin, tokens)),
  );
  const elapsedMs = performance.now() - startMs;
  const cpuMs = (await host.figures()).cpuMs - before.cpuMs;
  return (cpuMs - idleShare * elapsedMs) / streams;
}

/** Prints the processor time of a host for a relayed token and for a request, and the slope. */
export async function run(): Promise<void> {
  const engine = await startEngine();
  const host = await startHostProcess(engine.address);
  const agent = new Agent({connections: streams});
  await measureRound(host, agent, answerTokens[0], 0);
  const before = await host.figures();
  await new Promise(resolve => setTimeout(resolve, idleMs));
  const idleShare = ((await host.figures()).cpuMs - before.cpuMs) / idleMs;
  process.stdout.write(
    `${streams} streams at once, ${tokenIntervalMs} ms between tokens, ${rounds} rounds; idle host ${(idleShare * 100).toFixed(2)} % of a core\n`,
  );
  const perRequestMs: number[] = [];
  for (const tokens of answerTokens) {
    const results: number[] = [];
    for (let round = 0; round < rounds; round++) {
      results.push(await measureRound(host, agent, tokens, idleShare));
    }
    const cpuMs = Math.min(...results);
    perRequestMs.push(cpuMs);
    process.stdout.write(
      `${tokens} tokens: ${cpuMs.toFixed(2)} ms of processor time a request\n`,
    );
  }
  const last = answerTokens.length - 1;
  const slopeUs =
    ((perRequestMs[last] - perRequestMs[0]) /
      (answerTokens[last] - answerTokens[0])) *
    1000;
  const fixedMs = perRequestMs[0] - (slopeUs / 1000) * answerTokens[0];
  process.stdout.write(
    `slope ${slopeUs.toFixed(1)} µs a token, ${fixedMs.toFixed(2)} ms a request without tokens\n`,
  );
  await agent.destroy();
  await host.stop();
  engine.server.closeAllConnections();
  engine.server.close();
}
