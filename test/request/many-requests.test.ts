import assert from 'node:assert/strict';
import {createHash} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {test} from 'node:test';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {Agent, request} from 'undici';
import {
  HttpStandIn,
  readBody,
  sendJson,
} from '../../stand-ins/http-stand-in.js';
import {authorization, startHosts, type TestHost} from './fixtures.js';

const total = 2000;
const concurrency = 100;
const seed = 20260103;

const sha256 = (text: string | Buffer) =>
  createHash('sha256').update(text).digest('hex');

/** Target that records the digest of each response it sent completely, and how often each request ran. */
class RecordingTarget extends HttpStandIn {
  /** Digests of responses, by the number that the caller gave the request. */
  readonly digests = new Map<string, Set<string>>();
  readonly runs = new Map<string, number>();
  served = 0;
  onServed: () => void = () => {};

  protected override async answer(
    req: IncomingMessage,
    res: ServerResponse,
    url: URL,
  ): Promise<void> {
    if (url.pathname.startsWith('/requests/')) {
      return sendJson(res, 404, {error: 'unknown request'});
    }
    const body = await readBody(req);
    const number = String(req.headers['x-number']);
    this.runs.set(number, (this.runs.get(number) ?? 0) + 1);
    this.served++;
    this.onServed();
    const stream = body.includes('"stream":true');
    const parts = Array.from(
      {length: 5 + (Number(number) % 20)},
      (_, i) => `data: {"n":${number},"i":${i},"body":"${sha256(body)}"}\n\n`,
    );
    const type = stream ? 'text/event-stream' : 'application/json';
    res.writeHead(200, {'content-type': type, 'x-number': number});
    for (const part of parts) {
      res.write(part);
      if (stream) await new Promise(resolve => setImmediate(resolve));
    }
    const known = this.digests.get(number) ?? new Set();
    this.digests.set(number, known.add(sha256(parts.join(''))));
    res.end();
  }

  protected override control(): undefined {
    return undefined;
  }
}

interface Result {
  readonly kind: 'complete' | 'error';
  readonly status?: number;
}

async function call(
  {origin}: TestHost,
  agent: Agent,
  number: string,
  type: number,
  targets: readonly RecordingTarget[],
): Promise<Result> {
  const plain = type === 2;
  const path = plain
    ? `/services/orders/order/${number}?q=1`
    : '/v1/chat/completions';
  try {
    const res = await request(origin + path, {
      dispatcher: agent,
      method: 'POST',
      headers: {authorization, 'x-number': number},
      body: JSON.stringify({model: 'chat', stream: type === 0, number}),
    });
    const text = await res.body.text();
    if (res.statusCode !== 200) return {kind: 'error', status: res.statusCode};
    if (text.includes('data: {"error"')) return {kind: 'error'};
    assert.equal(res.headers['x-number'], number);
    const digest = sha256(text);
    assert.ok(
      targets.some(target => target.digests.get(number)?.has(digest)),
      `response to request ${number} was altered, truncated or mixed up`,
    );
    return {kind: 'complete'};
  } catch (err) {
    if ((err as Error).name === 'AssertionError') throw err;
    return {kind: 'error'};
  }
}

test('2,000 requests through three hosts each get their complete response or an error while a target crashes', async t => {
  const engines = Array.from({length: 4}, () => new RecordingTarget());
  const services = Array.from({length: 2}, () => new RecordingTarget());
  const targets = [...engines, ...services];
  await Promise.all(targets.map(target => target.listen()));
  const fleet = await startHosts({
    hosts: 3,
    targets: [
      ...engines.map(({address}) => ({service: 'chat', address})),
      ...services.map(({address}) => ({service: 'orders', address})),
    ],
  });
  const agent = new Agent({connections: concurrency});
  t.after(async () => {
    await agent.destroy();
    await fleet.stop();
    await Promise.all(targets.map(target => target.close()));
  });
  const victim = engines[0];
  victim.onServed = () => {
    // Breaks the streams that the victim is sending.
    if (victim.served === 60) setImmediate(() => void victim.close());
  };
  const rng = xoroshiro128plus(seed);
  const results: Result[] = [];
  let next = 0;
  const worker = async () => {
    while (next < total) {
      const number = String(next++);
      const type = uniformInt(rng, 0, 2);
      const host = fleet.hosts[uniformInt(rng, 0, 2)];
      results.push(await call(host, agent, number, type, targets));
    }
  };
  await Promise.all(Array.from({length: concurrency}, worker));

  assert.equal(results.length, total);
  const complete = results.filter(({kind}) => kind === 'complete').length;
  t.diagnostic(
    `${complete} complete responses, ${total - complete} visible errors`,
  );
  assert.ok(victim.served >= 60);
  // Only requests in flight at the victim may fail, which are at most the 100 concurrent ones.
  assert.ok(complete >= total - concurrency, `${complete} complete responses`);
  for (const service of services) {
    for (const [number, runs] of service.runs) {
      const elsewhere = services
        .filter(other => other !== service)
        .reduce((sum, other) => sum + (other.runs.get(number) ?? 0), 0);
      assert.equal(runs + elsewhere, 1, `order ${number} ran twice`);
    }
  }
  for (const {host} of fleet.hosts) {
    assert.match(await host.metrics.render(), /guavaseam_requests_total/);
  }
});
