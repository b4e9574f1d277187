import assert from 'node:assert/strict';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {test, type TestContext} from 'node:test';
import {request} from 'undici';
import {
  HttpStandIn,
  readBody,
  sendJson,
} from '../../stand-ins/http-stand-in.js';
import {authorization, startHosts} from './fixtures.js';

/** Plain service with scripted responses; counts its runs. */
class ScriptedService extends HttpStandIn {
  runs = 0;
  readonly seen: IncomingMessage[] = [];
  script: (res: ServerResponse, body: Buffer) => void | Promise<void> = res =>
    sendJson(res, 201, {order: this.runs});

  protected override async answer(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const body = await readBody(req);
    this.runs++;
    this.seen.push(req);
    await this.script(res, body);
  }

  protected override control(): undefined {
    return undefined;
  }
}

async function start(t: TestContext, limits?: {requestsPerSecond?: number}) {
  const service = new ScriptedService();
  await service.listen();
  const fleet = await startHosts({
    targets: [{service: 'orders', address: service.address}],
    callers: {maxBodyBytes: 1024},
    limits,
  });
  t.after(async () => {
    await fleet.stop();
    await service.close();
  });
  const send = async (
    headers: Record<string, string | string[]> = {},
    options: {
      method?: 'POST' | 'PUT';
      path?: string;
      body?: string;
      signal?: AbortSignal;
    } = {},
  ) => {
    const path = options.path ?? '/services/orders/dispatch?a=1&b=%20';
    const res = await request(fleet.hosts[0].origin + path, {
      method: options.method ?? 'POST',
      headers: {authorization, ...headers},
      body: options.body ?? '{"crew":1}',
      signal: options.signal,
    });
    const text = await res.body.text();
    const json = () => JSON.parse(text) as Record<string, unknown>;
    return {status: res.statusCode, headers: res.headers, text, json};
  };
  return {service, send, host: fleet.hosts[0].host};
}

test('a request with an idempotency key runs once, and a retry gets the first response', async t => {
  const {service, send} = await start(t);
  const first = await send({'idempotency-key': '"k1"'});
  const second = await send({'idempotency-key': 'k1'});
  assert.equal(first.status, 201);
  assert.equal(second.status, 201);
  assert.equal(second.text, first.text);
  assert.equal(second.headers['idempotency-replayed'], 'true');
  assert.equal(first.headers['idempotency-replayed'], undefined);
  assert.equal(service.runs, 1);
  const other = await send({'idempotency-key': 'k1'}, {body: '{}'});
  assert.equal(other.json()['reason'], 'key-reused');
});

test('a request with an idempotency key whose response was lost does not run again', async t => {
  const {service, send} = await start(t);
  service.script = res => void res.destroy();
  for (let i = 0; i < 2; i++) {
    const res = await send({'idempotency-key': 'k1'});
    assert.equal(res.status, 502);
    assert.equal(res.json()['reason'], 'outcome-unknown');
    assert.equal(res.json()['execution'], 'unknown');
  }
  assert.equal(service.runs, 1);
});

test('a request with an idempotency key that its target did not run can be retried', async t => {
  const {service, send} = await start(t);
  const normal = service.script;
  service.script = res => {
    res.setHeader('x-execution', 'not-run');
    sendJson(res, 503, {});
  };
  const refused = await send({'idempotency-key': 'k1'});
  assert.equal(refused.json()['execution'], 'not-run');
  service.script = normal;
  assert.equal((await send({'idempotency-key': 'k1'})).status, 201);
});

test('a response is recorded for a retry although its caller disconnected', async t => {
  const {service, send, host} = await start(t);
  const normal = service.script;
  let proceed: () => void = () => {};
  let arrived: () => void = () => {};
  const running = new Promise<void>(resolve => (arrived = resolve));
  service.script = async (res, body) => {
    arrived();
    await new Promise<void>(resolve => (proceed = resolve));
    await normal(res, body);
  };
  const caller = new AbortController();
  const first = send({'idempotency-key': 'k1'}, {signal: caller.signal});
  await running;
  const during = await send({'idempotency-key': 'k1'});
  assert.equal(during.json()['reason'], 'key-in-progress');
  assert.ok(Number(during.headers['retry-after']) >= 1);
  caller.abort();
  await assert.rejects(first);
  // The response must arrive after the host noticed that the caller disconnected.
  while (!/^guavaseam_caller_requests 0$/m.test(await host.metrics.render())) {
    await new Promise(resolve => setImmediate(resolve));
  }
  proceed();
  let retry = await send({'idempotency-key': 'k1'});
  while (retry.status === 409) retry = await send({'idempotency-key': 'k1'});
  assert.equal(retry.status, 201);
  assert.equal(retry.headers['idempotency-replayed'], 'true');
  assert.equal(service.runs, 1);
});

test('method, path, query, body and end-to-end headers reach a plain service unchanged', async t => {
  const {service, send} = await start(t);
  let received = '';
  service.script = (res, body) => {
    received = body.toString();
    res.writeHead(200, {
      'x-answer': ['1', '2'],
      connection: 'x-hop',
      'x-hop': '1',
    });
    res.end('done');
  };
  const res = await send(
    {'x-own': ['a', 'b'], te: 'trailers', 'proxy-authorization': 'secret'},
    {method: 'PUT', body: 'text'},
  );
  const [req] = service.seen;
  assert.equal(req.method, 'PUT');
  assert.equal(req.url, '/dispatch?a=1&b=%20');
  assert.equal(received, 'text');
  assert.deepEqual(req.headersDistinct['x-own'], ['a', 'b']);
  for (const name of ['authorization', 'proxy-authorization', 'te']) {
    assert.equal(req.headers[name], undefined, name);
  }
  assert.equal(res.text, 'done');
  assert.deepEqual(res.headers['x-answer'], ['1', '2']);
  assert.equal(res.headers['x-hop'], undefined);
});

test('a 5xx of a plain service is relayed and a non-idempotent request not retried', async t => {
  const {service, send} = await start(t);
  service.script = res => sendJson(res, 500, {own: 'error'});
  const res = await send();
  assert.equal(res.status, 500);
  assert.deepEqual(res.json(), {own: 'error'});
  assert.equal(service.runs, 1);
});

test('requests that cannot run are refused with their reason and counted', async t => {
  const {service, send, host} = await start(t);
  const cases: [Promise<Awaited<ReturnType<typeof send>>>, number, string][] = [
    [send({authorization: 'Bearer x'}), 401, 'unauthenticated'],
    [send({}, {path: '/services/none/x'}), 404, 'unknown-service'],
    [send({}, {path: '/v1/none'}), 404, 'unknown-route'],
    [send({}, {path: '/v1/completions'}), 400, 'malformed-request'],
    [send({}, {body: 'x'.repeat(2000)}), 413, 'body-too-large'],
    [send({'request-timeout-ms': '0'}), 400, 'malformed-request'],
    [send({'idempotency-key': 'a b'}), 400, 'malformed-request'],
  ];
  for (const [promise, status, reason] of cases) {
    const res = await promise;
    assert.equal(res.status, status, reason);
    assert.equal(res.headers['content-type'], 'application/problem+json');
    assert.equal(res.json()['reason'], reason);
    assert.equal(res.json()['execution'], 'not-run');
    const metrics = await host.metrics.render();
    assert.match(metrics, new RegExp(`refusals_total{reason="${reason}"`));
  }
  assert.equal(service.runs, 0);
});

test("a request over the organisation's rate limit is refused before it runs", async t => {
  const {service, send} = await start(t, {requestsPerSecond: 0.01});
  const first = await send();
  const second = await send();
  assert.equal(first.status, 201);
  assert.equal(second.status, 429);
  assert.equal(second.json()['reason'], 'rate-limited');
  assert.equal(second.json()['execution'], 'not-run');
  assert.ok(Number(second.headers['retry-after']) > 1);
  assert.equal(service.runs, 1);
});

test('with an idempotency key, a request over the rate limit does not run and a retry gets the first response', async t => {
  const {service, send} = await start(t, {requestsPerSecond: 0.01});
  const first = await send({'idempotency-key': 'k1'});
  const other = await send({'idempotency-key': 'k2'});
  const retry = await send({'idempotency-key': 'k1'});
  assert.equal(first.status, 201);
  assert.equal(other.json()['reason'], 'rate-limited');
  assert.equal(other.json()['execution'], 'not-run');
  assert.equal(retry.text, first.text);
  assert.equal(service.runs, 1);
});
