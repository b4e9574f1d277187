import assert from 'node:assert/strict';
import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {connect, createServer, type AddressInfo} from 'node:net';
import {test, type TestContext} from 'node:test';
import {PlatformWireFormat} from '../../platform/wire-format.js';
import {bindDelayMs, listenOnce} from '../../src/connection/http/listen.js';
import {feeds} from '../../src/connection/store/shared-store.js';
import {createGatewayHost} from '../../src/gateway-wiring.js';
import type {GatewaySettings} from '../../src/process/gateway-settings.js';
import {Logger} from '../../src/process/logger.js';
import {ManualClock} from '../../stand-ins/manual-clock.js';
import {
  bounds,
  configuration,
  hostLimits,
  sendRequest,
  startRawTarget,
  targetChange,
} from './gateway-fakes.js';
import {freePort} from '../../stand-ins/free-port.js';
import {MemoryStore} from './memory-store.js';
import {advanceClock} from './started-gateway.js';

const address = '127.0.0.1';
const response = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Request-Id: ';

/** A port that something else uses until it is released. */
interface UsedPort {
  readonly port: number;
  release(): Promise<void>;
}

async function useByServer(): Promise<UsedPort> {
  const port = await freePort();
  const server = createServer().listen(port, address);
  await once(server, 'listening');
  return {
    port,
    release: async () => {
      server.close();
      await once(server, 'close');
    },
  };
}

/** Waits until no connection of another process has a port that the kernel may assign. */
async function untilFree(port: number): Promise<void> {
  for (;;) {
    const server = createServer();
    try {
      await listenOnce(server, {address, port});
      await new Promise(resolve => server.close(resolve));
      return;
    } catch {
      await new Promise(resolve => setImmediate(resolve));
    }
  }
}

/** Uses a port as the local one of an outgoing connection, as the kernel assigns it. */
async function useByConnection(): Promise<UsedPort> {
  const server = createServer(socket => socket.on('error', () => {}));
  server.listen(0, address);
  await once(server, 'listening');
  const {port: remotePort} = server.address() as AddressInfo;
  const socket = connect(remotePort, address);
  await once(socket, 'connect');
  const port = socket.localPort as number;
  return {
    port,
    release: async () => {
      socket.resetAndDestroy();
      await new Promise(resolve => socket.once('close', resolve));
      server.close();
      await once(server, 'close');
      await untilFree(port);
    },
  };
}

async function useByDatagrams(): Promise<UsedPort> {
  const socket = createSocket('udp4').bind(await freePort(), address);
  await once(socket, 'listening');
  return {
    port: socket.address().port,
    release: async () => {
      socket.close();
      await once(socket, 'close');
    },
  };
}

async function createHost(t: TestContext, change: Partial<GatewaySettings>) {
  const target = await startRawTarget((socket, id) =>
    socket.write(`${response}${id}\r\n\r\nok`),
  );
  const clock = new ManualClock();
  const store = new MemoryStore();
  store.put(feeds.orders, {kind: 'configuration', configuration});
  store.put(feeds.targets, targetChange('i-0', target.address));
  const settings: GatewaySettings = {
    host: 'h1',
    ip: address,
    zone: 'z',
    regions: new Map(),
    callers: {address, port: await freePort()},
    ready: {address, port: await freePort()},
    peers: {address, port: await freePort()},
    gossipPort: await freePort(),
    // A host with a seed sends at once, which would give an unbound socket another port.
    seeds: [{address: '127.0.0.2', port: 1}],
    firstStart: true,
    store: {address, port: 1},
    bounds,
    limits: hostLimits,
    ...change,
  };
  const gateway = createGatewayHost(settings, {
    store,
    wire: new PlatformWireFormat(),
    clock,
    logger: Logger.create('silent'),
  });
  t.after(async () => {
    const stopped = gateway.stop();
    await advanceClock(clock, 10_000);
    await stopped;
    target.close();
  });
  return {gateway, settings, clock};
}

for (const [what, use, change] of [
  [
    'the port for callers by a server',
    useByServer,
    (port: number) => ({callers: {address, port}}),
  ],
  [
    'the port for callers by an outgoing connection',
    useByConnection,
    (port: number) => ({callers: {address, port}}),
  ],
  [
    'the port of the readiness probe',
    useByServer,
    (port: number) => ({ready: {address, port}}),
  ],
  [
    'the port for other hosts',
    useByServer,
    (port: number) => ({peers: {address, port}}),
  ],
  [
    'the port for datagrams',
    useByDatagrams,
    (gossipPort: number) => ({gossipPort}),
  ],
] as const) {
  // Guards against a host that ends by itself because one of its addresses is in use when it starts.
  test(`a host starts once ${what} is free again`, async t => {
    const used = await use();
    const {gateway, settings, clock} = await createHost(t, change(used.port));
    const state = {started: false};
    const starting = gateway.start().then(() => (state.started = true));
    await Promise.race([starting, advanceClock(clock, 5000)]);
    assert.equal(state.started, false);
    await used.release();
    while (!state.started) {
      await Promise.race([starting, advanceClock(clock, 500)]);
    }
    const {status} = await sendRequest(settings.callers.port, '/plain/a');
    assert.equal(status, 200);
  });
}

// Guards against a host that does not serve, or ends, because only the port for its metrics is in use or invalid.
test('a host starts without the port for its metrics', async t => {
  const used = await useByServer();
  t.after(() => used.release());
  for (const metricsPort of [used.port, 70_000]) {
    const {gateway, settings, clock} = await createHost(t, {metricsPort});
    await gateway.start();
    await advanceClock(clock, 120_000);
    const {status} = await sendRequest(settings.callers.port, '/plain/a');
    assert.equal(status, 200);
  }
});

// Guards against a host that tries for ever to get an address that it cannot have, without an error.
test('a host reports an address that stays in use as a typed error', async t => {
  const used = await useByServer();
  t.after(() => used.release());
  const {gateway, clock} = await createHost(t, {
    callers: {address, port: used.port},
  });
  const starting = gateway.start();
  const failed = assert.rejects(starting, {
    failure: {
      kind: 'address-unavailable',
      address,
      port: used.port,
      reason: `listen EADDRINUSE: address already in use ${address}:${used.port}`,
    },
  });
  await advanceClock(clock, 70_000);
  await failed;
});

// Guards against attempts that come so often that they load the machine, and against waiting for what does not change.
test('attempts to bind are spaced out, and only repeated for errors that pass', () => {
  const delays = [1, 2, 3, 4, 5, 6].map(attempts =>
    bindDelayMs('EADDRINUSE', attempts, 60_000),
  );
  assert.deepEqual(delays, [50, 100, 200, 400, 500, 500]);
  assert.equal(bindDelayMs('EADDRINUSE', 6, 499), undefined);
  assert.equal(bindDelayMs('EACCES', 1, 60_000), undefined);
  assert.equal(bindDelayMs(undefined, 1, 60_000), undefined);
});

// Guards against a host that ends by itself because two connections in a row could not be accepted.
test('a server survives errors of accepting connections', async t => {
  const server = createServer();
  await listenOnce(server, {address, port: 0});
  t.after(() => server.close());
  const warnings: Error[] = [];
  const onWarning = (err: Error) => warnings.push(err);
  process.on('warning', onWarning);
  t.after(() => process.removeListener('warning', onWarning));
  server.emit('error', new Error('accept ENFILE'));
  server.emit('error', new Error('accept ENFILE'));
  await new Promise(resolve => setImmediate(resolve));
  assert.equal(warnings.length, 2);
});
