import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {HttpEngineOrderClient} from '../../../src/connection/platform/engine-order-client.js';
import {HttpHostListClient} from '../../../src/connection/platform/host-list-client.js';
import {HttpWeightStoreClient} from '../../../src/connection/platform/weight-store-client.js';
import {FailureError} from '../../../src/process/errors/catalogue.js';
import {
  EngineServer,
  HostListServer,
  ServiceServer,
  WeightStoreServer,
} from '../../../stand-ins/index.js';

const kind = (expected: string) => (err: unknown) =>
  err instanceof FailureError && err.failure.kind === expected;

const order = {order: 'load-version', value: 'v2'} as const;

async function startEngine(t: TestContext, checksFencing: boolean) {
  const engine = new EngineServer({checksFencing, loadMs: 1e9});
  await engine.listen();
  const client = new HttpEngineOrderClient();
  t.after(async () => {
    await client.close();
    await engine.close();
  });
  return {engine, client, target: {name: 't', address: engine.address}};
}

test('an order that is already being executed is not sent again', async t => {
  const {engine, client, target} = await startEngine(t, true);
  assert.equal((await client.ensure(target, 3, order)).kind, 'accepted');
  assert.equal((await client.ensure(target, 3, order)).kind, 'in-effect');
  assert.equal(engine.orders.accepted.length, 1);
  const other = await client.ensure(target, 3, {...order, value: 'v3'});
  assert.equal(other.kind, 'busy');
});

test('an order that is already in effect is not sent again', async t => {
  const {engine, client, target} = await startEngine(t, true);
  const role = {order: 'set-role', value: 'prefill'} as const;
  await client.ensure(target, 1, role);
  assert.equal((await client.ensure(target, 2, role)).kind, 'in-effect');
  assert.equal(engine.orders.accepted.length, 1);
});

test('an old fencing number is rejected by the engine, or by the state check before the order', async t => {
  for (const checksFencing of [true, false]) {
    const {engine, client, target} = await startEngine(t, checksFencing);
    await client.send(target, 7, {order: 'set-role', value: 'x'});
    await assert.rejects(
      client.ensure(target, 6, order),
      err =>
        err instanceof FailureError &&
        err.failure.kind === 'order-rejected' &&
        err.failure.newest === 7,
    );
    assert.equal(engine.orders.accepted.length, 1);
    if (checksFencing) {
      const send = client.send(target, 6, order);
      await assert.rejects(send, kind('order-rejected'));
    }
  }
});

test('an order fails if the engine is gone or its response is malformed', async t => {
  const {engine, client, target} = await startEngine(t, true);
  const service = new ServiceServer();
  await service.listen();
  t.after(() => service.close());
  const wrong = {name: 'w', address: service.address};
  await assert.rejects(client.state(wrong), kind('order-failed'));
  await assert.rejects(client.send(wrong, 1, order), kind('order-failed'));
  await engine.close();
  await assert.rejects(client.ensure(target, 1, order), kind('order-failed'));
});

test('a weight store without a free slot postpones a load, and an outage is a typed failure', async t => {
  const store = new WeightStoreServer();
  await store.listen();
  const client = new HttpWeightStoreClient(store.address);
  t.after(async () => {
    await client.close();
    await store.close();
  });
  store.limits.concurrentLoads = 1;
  const load = {target: 't', version: 'v2', bytes: 1e12};
  assert.equal((await client.requestLoad(load)).kind, 'granted');
  assert.equal((await client.requestLoad(load)).kind, 'later');
  store.limits.down = true;
  const refused = client.requestLoad(load);
  await assert.rejects(refused, kind('weight-store-unavailable'));
});

test('a host list that is down or malformed is reported as unavailable', async t => {
  const list = new HostListServer();
  await list.listen();
  const client = new HttpHostListClient(list.address);
  t.after(async () => {
    await client.close();
    await list.close();
  });
  list.put({id: 'h', zone: 'z', address: '127.0.0.1:1', state: 'leaving'});
  assert.equal((await client.hosts())[0].state, 'leaving');
  list.put({id: 'i'} as Parameters<typeof list.put>[0]);
  await assert.rejects(client.hosts(), kind('host-list-unavailable'));
  list.down = true;
  await assert.rejects(client.hosts(), kind('host-list-unavailable'));
});
