import assert from 'node:assert/strict';
import {createHash} from 'node:crypto';
import {EventEmitter, once} from 'node:events';
import {test, type TestContext} from 'node:test';
import {Agent} from 'undici';
import {SystemClock, type Cancel} from '../../src/process/clock.js';
import {HostListServer, WeightStoreServer} from '../../stand-ins/index.js';
import type {HttpStandIn} from '../../stand-ins/http-stand-in.js';
import {ServiceServer} from '../../stand-ins/service-server.js';

async function start(t: TestContext, server: HttpStandIn) {
  await server.listen();
  const agent = new Agent();
  t.after(async () => {
    await agent.destroy();
    await server.close();
  });
  return (method: 'GET' | 'POST', path: string, body?: unknown) =>
    agent.request({
      origin: server.address,
      method,
      path,
      body: body === undefined ? null : JSON.stringify(body),
      headers: {'idempotency-key': 'k', 'x-request-id': 'r'},
    });
}

test('an execution is recorded with key, id and the digest of its answer', async t => {
  const service = new ServiceServer();
  const send = await start(t, service);
  const text = await (await send('POST', '/dispatch?a=1', {})).body.text();
  const {key, id, path, answerSha256} = service.executions[0];
  assert.deepEqual([key, id, path], ['k', 'r', '/dispatch?a=1']);
  assert.equal(answerSha256, createHash('sha256').update(text).digest('hex'));
});

test('each fault leaves the record that it should and ends after its count', async t => {
  const service = new ServiceServer();
  const send = await start(t, service);
  const run = async (
    kind: 'fail' | 'refuse' | 'drop-before' | 'drop-after',
  ) => {
    const before = service.executions.length;
    await send('POST', '/control', {do: 'fault', kind, count: 1});
    const status = await send('POST', '/x', {}).then(
      res => res.statusCode,
      () => 'broken',
    );
    return [status, service.executions.length - before];
  };
  assert.deepEqual(await run('fail'), [500, 1]);
  assert.deepEqual(await run('refuse'), [503, 0]);
  assert.deepEqual(await run('drop-before'), ['broken', 0]);
  assert.deepEqual(await run('drop-after'), ['broken', 1]);
  assert.equal((await send('POST', '/x', {})).statusCode, 200);
});

test('a delayed request is executed only after its delay', async t => {
  const delayed = new EventEmitter();
  class HeldClock extends SystemClock {
    override after(delayMs: number, fn: () => void): Cancel {
      delayed.emit('delay', delayMs, fn);
      return () => {};
    }
  }
  const service = new ServiceServer(new HeldClock());
  const send = await start(t, service);
  await send('POST', '/control', {do: 'delay', ms: 700});
  const arrived = once(delayed, 'delay');
  const pending = send('GET', '/slow');
  const [delayMs, release] = (await arrived) as [number, () => void];
  assert.equal(delayMs, 700);
  assert.equal(service.executions.length, 0);
  release();
  assert.equal((await pending).statusCode, 200);
  assert.equal(service.executions.length, 1);
});

test('the weight store grants no more loads at once than its limit', async t => {
  const store = new WeightStoreServer();
  store.limits.bytesPerSecond = 1000;
  const send = await start(t, store);
  const load = async (bytes: number) => {
    const body = {target: 't', version: 'v', bytes};
    return (await send('POST', '/loads', body)).body.json();
  };
  assert.deepEqual(await load(1e9), {grantedBytesPerSecond: 500});
  assert.deepEqual(await load(1e9), {grantedBytesPerSecond: 500});
  const third = (await load(1)) as {retryAfterMs: number};
  assert.ok(third.retryAfterMs > 1e9);
  assert.equal(store.granted.length, 2);
});

test('the host list does not show a change before its lag has passed', async t => {
  const list = new HostListServer();
  const host = {id: 'h', zone: 'z', address: '127.0.0.1:1', state: 'live'};
  const send = await start(t, list);
  const hosts = async () => (await send('GET', '/hosts')).body.json();
  list.put(host as Parameters<typeof list.put>[0]);
  assert.deepEqual(await hosts(), {hosts: [host]});
  list.lagMs = 1e9;
  list.remove('h');
  assert.deepEqual(await hosts(), {hosts: [host]});
});
