import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {test} from 'node:test';
import {LogStoreClient} from '../../platform/store-client.js';
import {frameRecord} from '../../platform/records.js';
import {CallError, HttpClient} from '../../src/connection/http/http-client.js';
import {feeds} from '../../src/connection/store/shared-store.js';
import {Logger} from '../../src/process/logger.js';
import {
  DeploymentState,
  expiryGraceMs,
} from '../../src/version/deployment/deployment-state.js';
import {StateFeed} from '../../src/version/deployment/state-feed.js';
import {
  copyState,
  applyStateCopy,
} from '../../src/version/deployment/state-copy.js';
import {ManualClock} from '../../stand-ins/manual-clock.js';
import {configuration, targetChange} from './gateway-fakes.js';
import {MemoryStore} from './memory-store.js';

function createFeed() {
  const clock = new ManualClock();
  const store = new MemoryStore();
  const state = new DeploymentState();
  let unreadable = 0;
  const feed = new StateFeed({
    clock,
    logger: Logger.create('silent'),
    store,
    state,
    bounds: {configMs: 2000, drainMs: 2000},
    random: () => 0.5,
    position: () => 0,
    onRead: () => {},
    onUnreadable: () => unreadable++,
    onRestored: () => {},
  });
  const run = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += 50) {
      clock.advance(50);
      await new Promise(resolve => setImmediate(resolve));
    }
  };
  return {clock, store, state, feed, run, unreadable: () => unreadable};
}

test('the removal of a target is known in time, an unreadable entry is counted', async () => {
  const {feed, run, state, store, unreadable} = createFeed();
  store.put(feeds.targets, targetChange('i-1', '10.0.0.1:80'));
  feed.start();
  await run(100);
  assert.ok(state.targets.has('i-1'));
  store.put(feeds.targets, {kind: 'unreadable', key: 'x', reason: 'no JSON'});
  store.put(feeds.targets, {kind: 'target', id: 'i-1'});
  await run(1500);
  assert.ok(!state.targets.has('i-1'));
  assert.equal(unreadable(), 1);
  feed.stop();
});

test('targets whose entries expire during an outage of the store are kept for a grace period', async () => {
  const {clock, feed, run, state, store} = createFeed();
  store.put(feeds.targets, targetChange('lives', '10.0.0.1:80'));
  store.put(feeds.targets, targetChange('dead', '10.0.0.2:80'));
  feed.start();
  await run(1000);
  store.down = true;
  await run(4000);
  store.put(feeds.targets, {kind: 'target', id: 'lives'});
  store.put(feeds.targets, {kind: 'target', id: 'dead'});
  store.down = false;
  await run(1200);
  assert.ok(state.targets.has('lives') && state.targets.has('dead'));
  store.put(feeds.targets, targetChange('lives', '10.0.0.1:80'));
  await run(expiryGraceMs + 1000);
  state.expire(clock.nowMs());
  assert.ok(state.targets.has('lives'));
  assert.ok(!state.targets.has('dead'));
  feed.stop();
});

// Guards against requests to a target whose entry was removed: a host that alone had lost the store took that for an
// outage of the store, and kept the target for the time in which targets write their entries again.
test('a target that is removed while only this host had lost the store is not kept', async () => {
  const {clock, feed, run, state, store} = createFeed();
  store.put(feeds.targets, targetChange('i', '10.0.0.1:80'));
  feed.start();
  await run(1000);
  store.down = true;
  for (let passed = 0; passed < 4000; passed += 500) {
    await run(500);
    const update = {
      ...feed.composeUpdate(),
      ordersAgeMs: 100,
      targetsAgeMs: 100,
    };
    feed.receiveUpdate(update, 'other', clock.nowMs());
  }
  store.down = false;
  await run(500);
  store.put(feeds.targets, {kind: 'target', id: 'i'});
  await run(1500);
  assert.ok(!state.targets.has('i'));
  feed.stop();
});

test('a draining target is not kept when its entry expires', () => {
  const state = new DeploymentState();
  const change = targetChange('i', '10.0.0.1:80');
  assert.ok(change.kind === 'target' && change.entry);
  const draining = {...change, entry: {...change.entry, draining: true}};
  state.apply([{offset: 1, change: draining}], 0);
  state.apply([{offset: 2, change: {kind: 'target', id: 'i'}}], 10, 5000);
  assert.ok(!state.targets.has('i'));
});

test('a host that cannot reach the store applies the state copy of another host', () => {
  const from = new DeploymentState();
  from.apply([{offset: 3, change: {kind: 'configuration', configuration}}], 0);
  from.apply([{offset: 4, change: targetChange('i', '10.0.0.1:80')}], 0);
  const evacuation = {kind: 'evacuation', zone: 'z', active: true} as const;
  from.apply([{offset: 5, change: evacuation}], 0);
  const update = {
    orders: 6,
    ordersAgeMs: 0,
    ordersReadAtMs: 0,
    configuration: 0,
    targets: 5,
    targetsAgeMs: 0,
    targetsReadAtMs: 0,
    digest: 0,
    changes: [],
  };
  const copy = copyState(from, update, 100);
  const state = new DeploymentState();
  state.apply([{offset: 1, change: targetChange('gone', '10.0.0.2:80')}], 0);
  const wire = JSON.parse(JSON.stringify(copy)) as typeof copy;
  applyStateCopy(state, wire, {orders: -1, targets: 2}, 0);
  assert.equal(state.configuration?.version, configuration.version);
  assert.deepEqual([...state.targets.keys()], ['i']);
  assert.deepEqual([...state.evacuatedZones], ['z']);
  // A copy that is not newer has no effect.
  applyStateCopy(state, {...wire, targets: []}, {orders: 6, targets: 5}, 0);
  assert.equal(state.targets.size, 1);
});

/** Starts a server that passes each chunk of data to a function, with the number of its connection. */
async function startServer(
  onRequest: (socket: Socket, connection: number) => void,
) {
  const sockets: Socket[] = [];
  const server = createServer(socket => {
    const connection = sockets.push(socket);
    socket.on('error', () => {});
    socket.on('data', () => onRequest(socket, connection));
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  return {
    endpoint: {address: '127.0.0.1', port},
    close() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

test('a connection to the store that stopped responding is not reused', async t => {
  const server = await startServer((socket, connection) => {
    if (connection > 1) {
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
    }
  });
  const caller = new HttpClient(server.endpoint, 1);
  t.after(async () => {
    await caller.close();
    server.close();
  });
  const call = {method: 'GET', path: '/', timeoutMs: 30} as const;
  await assert.rejects(
    caller.call(call),
    (err: unknown) => err instanceof CallError && err.failure.kind === 'silent',
  );
  const response = await caller.call({...call, timeoutMs: 20_000});
  assert.equal(response.body.toString(), 'ok');
});

test('a refusal by the store is distinguished from a response that cannot be decoded', async t => {
  let reply = 'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n';
  const server = await startServer(socket => socket.write(reply));
  const client = new LogStoreClient(server.endpoint);
  t.after(async () => {
    await client.close();
    server.close();
  });
  await assert.rejects(client.read(feeds.orders, 0, 0), {
    failure: {kind: 'store-refused', call: 'read', status: 503},
  });
  reply = 'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc';
  await assert.rejects(client.read(feeds.orders, 0, 0), {
    failure: {
      kind: 'store-unreachable',
      reason: 'the response is shorter than its length fields state',
    },
  });
  const head = Buffer.alloc(16);
  head.writeBigUInt64BE(8n, 0);
  const value = Buffer.from('{}');
  const body = Buffer.concat([head, frameRecord({key: 'evacuate/z', value})]);
  reply = `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body.toString('latin1')}`;
  const result = await client.read(feeds.orders, 7, 0);
  assert.deepEqual(result, {
    kind: 'records',
    records: [
      {offset: 7, change: {kind: 'evacuation', zone: 'z', active: true}},
    ],
    next: 8,
  });
});
