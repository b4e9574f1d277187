import assert from 'node:assert/strict';
import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {GatewayServer} from '../../../src/connection/gateway/gateway-server.js';
import {
  longestIdle,
  maxCallerConnections,
} from '../../../src/connection/http/connection-limit.js';
import {freePort} from '../../../stand-ins/free-port.js';
import {ManualClock} from '../../../stand-ins/manual-clock.js';
import {
  hangGuard,
  startServer as startCallerServer,
} from '../caller/caller-fixture.js';

const maxConnections = 4;
const request = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';
const turn = () => new Promise(resolve => setImmediate(resolve));

async function settle(): Promise<void> {
  for (let i = 0; i < 50; i++) await turn();
}

async function open(t: TestContext, port: number, text = ''): Promise<Socket> {
  const socket = connect(port, '127.0.0.1');
  t.after(() => socket.destroy());
  socket.on('error', () => {});
  socket.resume();
  await once(socket, 'connect');
  socket.write(text);
  await settle();
  return socket;
}

async function startServer(t: TestContext) {
  const port = await freePort();
  const clock = new ManualClock();
  const open: ServerResponse[] = [];
  const ends: string[] = [];
  const server = new GatewayServer(
    {address: '127.0.0.1', port},
    {
      clock,
      maxConnections,
      onRequest: (req, res) => {
        req.resume();
        open.push(res);
      },
      onDiscarded: () => {},
      onEnded: reason => ends.push(reason),
    },
  );
  await server.listen();
  t.after(() => server.closeAll());
  return {port, clock, open, ends};
}

// Guards against idle connections that shut out callers with requests, and against a request that is cut off for a new one.
test(
  'at the limit a new connection replaces the one without a complete request for longest',
  hangGuard,
  async t => {
    const {port, clock, open: responses, ends} = await startServer(t);
    const texts = [
      request,
      'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx',
      '',
      'GET / HT',
    ];
    const sockets: Socket[] = [];
    for (const text of texts) {
      sockets.push(await open(t, port, text));
      clock.advance(10);
    }
    for (const replaced of [1, 2, 3]) {
      sockets.push(await open(t, port, request));
      clock.advance(10);
      const closed = sockets.flatMap((socket, i) =>
        socket.destroyed ? [i] : [],
      );
      assert.equal(Math.max(...closed), replaced);
      assert.equal(closed.length, replaced);
    }
    assert.deepEqual(ends, ['replaced', 'replaced', 'replaced']);
    const refused = await open(t, port, request);
    assert.ok(refused.destroyed);
    assert.deepEqual(ends.slice(3), ['refused']);
    // The response on the replaced connection is closed; all others can be sent.
    const answered = responses.filter(res => !res.destroyed);
    assert.equal(answered.length, maxConnections);
    for (const res of answered) res.end();
    await settle();
    assert.ok(!sockets[0].destroyed);
    const next = await open(t, port);
    assert.ok(!next.destroyed);
    assert.ok(sockets[0].destroyed);
  },
);

// Guards against the same at an entry host.
test(
  'at the limit an entry host closes the connection that is idle for longest',
  hangGuard,
  async t => {
    const {port, handler, arrival} = await startCallerServer(t, {
      maxConnections,
    });
    const busy = await open(t, port);
    const arrived = arrival();
    busy.write('GET /test HTTP/1.1\r\nHost: h\r\n\r\n');
    await arrived;
    const idle = [];
    for (let i = 1; i < maxConnections; i++) idle.push(await open(t, port));
    const closed = once(idle[0], 'close');
    const last = await open(t, port);
    await closed;
    const text = once(busy, 'data');
    handler.serving[0].res.end('whole');
    assert.match(String(await text), /whole/);
    assert.ok(!last.destroyed);
  },
);

// Guards against connections of callers that take the descriptors or the memory that the host needs for its own ones.
test('connections of callers leave descriptors and memory to the host', () => {
  const memoryBytes = 350_000_000;
  assert.equal(maxCallerConnections({memoryBytes, maxDescriptors: 4100}), 2670);
  assert.equal(maxCallerConnections({memoryBytes, maxDescriptors: 1000}), 600);
  assert.equal(maxCallerConnections({memoryBytes: 1, maxDescriptors: 100}), 1);
});

// Guards against a choice that depends on the order in which connections were opened.
test('the connection without a complete request since the earliest time is chosen', () => {
  const of = (times: (number | undefined)[]) =>
    longestIdle(times.map((ms, i) => [i, ms] as const));
  assert.equal(of([undefined, 5, 3, 4]), 2);
  assert.equal(of([undefined, undefined]), undefined);
  assert.equal(of([]), undefined);
});
