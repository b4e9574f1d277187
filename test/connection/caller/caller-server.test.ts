import assert from 'node:assert/strict';
import {once, type EventEmitter} from 'node:events';
import {connect, type Socket} from 'node:net';
import {test} from 'node:test';
import fc from 'fast-check';
import {HttpResponseSink} from '../../../src/connection/caller/http-response-sink.js';
import {responseHeaders} from '../../../src/connection/caller/headers.js';
import {EngineServer} from '../../../stand-ins/index.js';
import {authorization, startHosts} from '../../request/fixtures.js';
import {hangGuard, startServer} from './caller-fixture.js';

const auth = `authorization: ${authorization}\r\n`;

/** Sends bytes and reads until the peer closes; a half-close follows if `end` is set. */
async function exchange(port: number, data: Buffer | string, end = false) {
  const socket = connect(port, '127.0.0.1');
  let received = '';
  socket.on('data', chunk => (received += chunk.toString('latin1')));
  socket.on('error', () => {});
  const closed = once(socket, 'close');
  socket.write(data);
  if (end) socket.end();
  await closed;
  return received;
}

async function untilIdle(count: () => number | Promise<number>) {
  while ((await count()) > 0) await new Promise(r => setImmediate(r));
}

test('malformed bytes on raw sockets get a 4xx or a close, and leak no connection', async t => {
  const engine = new EngineServer();
  await engine.listen();
  const fleet = await startHosts({
    targets: [{service: 'chat', address: engine.address}],
    callers: {maxBodyBytes: 2048, maxHeaderBytes: 2048},
  });
  t.after(async () => {
    await fleet.stop();
    await engine.close();
  });
  const {port} = fleet.hosts[0];
  const head = fc.constantFrom(
    'POST /v1/chat/completions HTTP/1.1\r\n',
    'GET /services/orders/x HTTP/1.1\r\n',
    'POST /services/%00/x HTTP/1.1\r\n',
    'BREW / HTTP/1.1\r\n',
    'POST /v1/completions HTTP/9.9\r\n',
    'CONNECT a:1 HTTP/1.1\r\n',
    '\r\n\r\n',
  );
  const field = fc.oneof(
    fc.constantFrom(
      'host: h\r\n',
      auth,
      'content-length: 5\r\n',
      'content-length: -1\r\n',
      'content-length: 99999999\r\n',
      'transfer-encoding: chunked\r\n',
      'transfer-encoding: gzip\r\n',
      'expect: 100-continue\r\n',
      'expect: other\r\n',
      'upgrade: x\r\nconnection: upgrade\r\n',
      'request-timeout-ms: -1\r\n',
      'idempotency-key: "\r\n',
      `x: ${'y'.repeat(3000)}\r\n`,
      ': \r\n',
      'bad header\r\n',
      'a: \0\r\n',
    ),
    fc.string({maxLength: 20}).map(s => `x: ${s}\r\n`),
  );
  const body = fc.oneof(
    fc.constantFrom(
      '{"model":"chat"',
      '5\r\nhello\r\n0\r\n\r\n',
      'zz\r\n',
      'ffffffffffffffffff\r\n',
      '[]',
    ),
    fc.uint8Array({maxLength: 64}).map(b => Buffer.from(b).toString('latin1')),
  );
  const message = fc
    .tuple(head, fc.array(field, {maxLength: 5}), body)
    .map(([h, fields, b]) => `${h}${fields.join('')}\r\n${b}`);
  await fc.assert(
    fc.asyncProperty(
      fc.array(message, {minLength: 1, maxLength: 3}),
      async messages => {
        const data = Buffer.from(messages.join(''), 'latin1');
        const text = await exchange(port, data, true);
        const statuses = text.match(/^HTTP\/1\.1 \d{3}/gm) ?? [];
        for (const status of statuses) assert.match(status, / (4\d\d|100)$/);
      },
    ),
    {seed: 20260102, numRuns: 400},
  );
  // Completes only if the host closed each socket of the runs above.
  await untilIdle(async () => {
    const text = await fleet.hosts[0].host.metrics.render();
    return Number(/^guavaseam_caller_connections (\d+)$/m.exec(text)?.[1]);
  });
  const probe = await exchange(
    port,
    'GET /healthz HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n',
  );
  assert.match(probe, /^HTTP\/1\.1 200 /);
  assert.equal(engine.executions.length, 0);
});

for (const [name, data, reason] of [
  ['garbage', 'nonsense\r\n\r\n', 'malformed-request'],
  [
    'an oversized head',
    `GET / HTTP/1.1\r\nx: ${'y'.repeat(2000)}`,
    'headers-too-large',
  ],
  [
    'a bad chunk',
    'POST /test HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n',
    'malformed-request',
  ],
  [
    'a request that never ends',
    'POST /test HTTP/1.1\r\nhost: h\r\n',
    'request-timeout',
  ],
] as const) {
  test(`${name} gets a typed refusal, is counted and leaks no connection`, async t => {
    const {server, port, metrics} = await startServer(t, {
      maxHeaderBytes: 1024,
      headersTimeoutMs: 100,
      requestTimeoutMs: 100,
    });
    const text = await exchange(port, data);
    assert.match(text, /content-type: application\/problem\+json/);
    assert.match(text, new RegExp(`"reason":"${reason}"`));
    assert.match(text, /"execution":"not-run"/);
    assert.match(await metrics.render(), new RegExp(`reason="${reason}"`));
    await untilIdle(() => server.connections);
    assert.equal(server.requests, 0);
  });
}

test('garbage after a complete request does not corrupt the response to it', async t => {
  const {port, handler, arrival} = await startServer(t);
  const arrived = arrival();
  const response = exchange(
    port,
    'GET /test HTTP/1.1\r\nhost: h\r\n\r\n\0garbage\r\n\r\n',
  );
  await arrived;
  await new Promise(resolve => setImmediate(resolve));
  handler.serving[0].res.end('whole');
  const text = await response;
  assert.match(text, /^HTTP\/1\.1 200 /);
  assert.equal(text.match(/HTTP\/1\.1/g)?.length, 1);
  assert.match(text, /whole/);
});

test(
  'a programming error fails only its own request and does not end the process',
  hangGuard,
  async t => {
    const {port} = await startServer(t);
    const text = await exchange(
      port,
      'GET /test HTTP/1.1\r\nhost: h\r\nx-fault: 1\r\n\r\n',
    );
    assert.match(text, /"reason":"internal-error"/);
    assert.match(text, /"execution":"unknown"/);
  },
);

test('a drain lets requests in flight end and refuses new ones on open connections', async t => {
  const {server, port, handler, arrival} = await startServer(t);
  const kept: Socket = connect(port, '127.0.0.1');
  const request = 'GET /test HTTP/1.1\r\nhost: h\r\n\r\n';
  const health = 'GET /healthz HTTP/1.1\r\nhost: h\r\n\r\n';
  kept.write(health);
  await once(kept, 'data');
  const arrived = arrival();
  const inFlight = exchange(port, request);
  await arrived;
  const closed = server.close(60_000);
  kept.write(request);
  const served = arrival().then(() => [Buffer.from('served')]);
  const [refused] = (await Promise.race([once(kept, 'data'), served])) as [
    Buffer,
  ];
  assert.match(refused.toString(), /connection: close/i);
  assert.match(
    refused.toString(),
    /"reason":"draining".*"execution":"not-run"/,
  );
  handler.serving[0].res.end('whole');
  assert.match(await inFlight, /connection: close[^]*whole/i);
  assert.equal(await closed, 0);
});

// Guards against a host that ends by itself because two connections in a row could not be accepted.
test('the server survives errors of accepting connections', async t => {
  const {server, port} = await startServer(t);
  const {server: listener} = server as unknown as {server: EventEmitter};
  listener.emit('error', new Error('accept ENFILE'));
  listener.emit('error', new Error('accept ENFILE'));
  const health =
    'GET /healthz HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n';
  assert.match(await exchange(port, health), /^HTTP\/1\.1 200 /);
});

test('a drain ends at its timeout', async t => {
  const {server, port, arrival} = await startServer(t);
  const arrived = arrival();
  const inFlight = exchange(port, 'GET /test HTTP/1.1\r\nhost: h\r\n\r\n');
  await arrived;
  assert.equal(await server.close(0), 1);
  assert.equal(await inFlight, '');
});

test('a caller that does not read its response applies backpressure to the writer', async t => {
  const {port, handler, arrival} = await startServer(t);
  const arrived = arrival();
  const socket = connect(port, '127.0.0.1').pause();
  socket.write('GET /test HTTP/1.1\r\nhost: h\r\n\r\n');
  await arrived;
  const {res} = handler.serving[0];
  const sink = new HttpResponseSink(res);
  sink.head(200, {'content-type': 'application/octet-stream'});
  let writes = 0;
  const writer = (async () => {
    for (; ; writes++) {
      await sink.write(Buffer.alloc(1 << 16));
      assert.ok(res.writableLength <= 1 << 18);
    }
  })();
  // The caller disconnects once the writer is blocked; doing so earlier has the same outcome.
  for (let idle = 0, seen = -1; idle < 50; idle++) {
    if (writes !== seen) [idle, seen] = [0, writes];
    await new Promise(resolve => setImmediate(resolve));
  }
  socket.destroy();
  await assert.rejects(writer, {
    failure: {kind: 'caller-left', execution: 'unknown'},
  });
});

test('an aborted stream ends with an error event and without a final chunk', async t => {
  const {port, handler, arrival} = await startServer(t);
  const arrived = arrival();
  const response = exchange(port, 'GET /test HTTP/1.1\r\nhost: h\r\n\r\n');
  await arrived;
  const sink = new HttpResponseSink(handler.serving[0].res);
  sink.head(200, {'content-type': 'text/event-stream'});
  await sink.write(Buffer.from('data: 1\n\n'));
  sink.abort('answer-broken');
  const text = await response;
  assert.match(text, /data: {"error":{.*"reason":"answer-broken"/);
  assert.doesNotMatch(text, /\r\n0\r\n\r\n$/);
});

test('an HTTP/1.0 caller gets a reset if its response is cut short', async t => {
  const {port, handler, arrival} = await startServer(t);
  const arrived = arrival();
  const socket = connect(port, '127.0.0.1');
  socket.write('GET /test HTTP/1.0\r\n\r\n');
  await arrived;
  const sink = new HttpResponseSink(handler.serving[0].res);
  sink.head(200, {'content-type': 'text/plain'});
  await sink.write(Buffer.from('part'));
  await once(socket, 'data');
  const closed = once(socket, 'close');
  sink.abort('answer-broken');
  await assert.rejects(closed, {code: 'ECONNRESET'});
});

test('hop-by-hop and invalid headers of a target do not reach the caller', () => {
  const headers = responseHeaders({
    connection: 'x-own, close',
    'x-own': '1',
    'transfer-encoding': 'chunked',
    'set-cookie': ['a', 'b'],
    'x-bad': 'a\u0001b',
    'x-good': 'c',
  });
  assert.deepEqual(headers, {'set-cookie': ['a', 'b'], 'x-good': 'c'});
});

test(
  'responses queued behind another one are closed with their connection',
  hangGuard,
  async t => {
    const {server, port, handler, arrival} = await startServer(t);
    const socket = connect(port, '127.0.0.1');
    socket.on('error', () => {});
    let closed = 0;
    for (let i = 0; i < 3; i++) {
      const arrived = arrival();
      socket.write('GET /test HTTP/1.1\r\nhost: h\r\n\r\n');
      await arrived;
      handler.serving[i].res.once('close', () => closed++);
    }
    assert.equal(server.requests, 3);
    socket.resetAndDestroy();
    const [{req}] = handler.serving;
    // `once` of the events module would reject on the reset.
    await new Promise(resolve => req.socket.once('close', resolve));
    await new Promise(resolve => setImmediate(resolve));
    assert.deepEqual([server.requests, closed], [0, 3]);
    // A write to a disconnected caller fails.
    const sink = new HttpResponseSink(handler.serving[2].res);
    assert.throws(() => sink.write(Buffer.alloc(1_000_000)));
  },
);

/** Opens a connection on which one request was answered, and counts its responses. */
async function openKept(port: number) {
  const socket = connect(port, '127.0.0.1');
  let received = '';
  socket.on('data', chunk => (received += chunk.toString('latin1')));
  socket.on('error', () => {});
  socket.write('GET /healthz HTTP/1.1\r\nhost: h\r\n\r\n');
  await once(socket, 'data');
  const statuses = () => received.match(/^HTTP\/1\.1 \d{3}/gm) ?? [];
  return {socket, statuses};
}

/** Waits for the next bytes or the end of a connection. */
function nextInput(socket: Socket): Promise<unknown> {
  return Promise.race([once(socket, 'data'), once(socket, 'close')]);
}

// Guards against a request without an answer after the host did not run for some time: its idle timeout is due when it runs
// again, and timers run before the request that arrived meanwhile is read.
test('a request that arrived before the idle timeout is handled gets a response', async t => {
  const {server, port} = await startServer(t);
  const {server: listener} = server as unknown as {server: EventEmitter};
  const accepted = once(listener, 'connection') as Promise<[Socket]>;
  const {socket, statuses} = await openKept(port);
  const [kept] = await accepted;
  socket.write('GET /healthz HTTP/1.1\r\nhost: h\r\n\r\n');
  kept.emit('timeout');
  await nextInput(socket);
  assert.deepEqual(statuses(), ['HTTP/1.1 200', 'HTTP/1.1 200']);
});

// Guards against a connection that stays open for ever because its idle timeout has no effect.
test('a connection whose idle timeout has passed is closed', async t => {
  const {server, port} = await startServer(t);
  const {server: listener} = server as unknown as {server: EventEmitter};
  const accepted = once(listener, 'connection') as Promise<[Socket]>;
  const {socket} = await openKept(port);
  const [kept] = await accepted;
  kept.emit('timeout');
  await once(socket, 'close');
});

// Guards against requests without an answer from a host that stops: they arrived before, on kept or new connections, and were
// not read yet.
test('requests that arrived before a drain are answered', async t => {
  const {server, port} = await startServer(t);
  const request = 'GET /test HTTP/1.1\r\nhost: h\r\n\r\n';
  const kept = await openKept(port);
  const opened = Array.from({length: 3}, () => exchange(port, request));
  // Connections to loopback addresses are open once connect() was called, in the next tick.
  await new Promise<void>(resolve => process.nextTick(resolve));
  kept.socket.write(request);
  const closed = server.close(60_000);
  await once(kept.socket, 'close');
  assert.deepEqual(kept.statuses(), ['HTTP/1.1 200', 'HTTP/1.1 503']);
  for (const text of await Promise.all(opened)) {
    assert.match(text, /^HTTP\/1\.1 503 [^]*"reason":"draining"/);
  }
  assert.equal(await closed, 0);
});
