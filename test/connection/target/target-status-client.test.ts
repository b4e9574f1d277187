import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {test} from 'node:test';
import {HttpTargetStatusClient} from '../../../src/connection/target/target-status-client.js';
import type {CacheEvent} from '../../../src/request/scheduler/types.js';
import {EngineServer} from '../../../stand-ins/index.js';

test('the load report of an engine is read', async t => {
  const engine = new EngineServer();
  await engine.listen();
  t.after(() => engine.close());
  const {signal} = new AbortController();
  const client = new HttpTargetStatusClient();
  const report = await client.load(engine.address, signal);
  assert.equal(report?.running, 0);
});

test('malformed reports and events of a target are discarded', async t => {
  const good: CacheEvent = {op: 'stored', prefixes: ['p'], sequence: 1};
  const lines = [
    'data: {',
    'data: null',
    'data: {"op":"other","prefixes":[],"sequence":1}',
    'data: {"op":"stored","prefixes":[1],"sequence":1}',
    ': comment',
    `data: ${JSON.stringify(good)}`,
  ];
  const server = createServer((req, res) => {
    res.end(
      req.url === '/load' ? '{"running":"x"}' : lines.join('\n\n') + '\n',
    );
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  t.after(() => server.close());
  const address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const {signal} = new AbortController();
  const client = new HttpTargetStatusClient();
  assert.equal(await client.load(address, signal), undefined);
  const events: CacheEvent[] = [];
  await client.cacheEvents(address, event => events.push(event), signal);
  assert.deepEqual(events, [good]);
});
