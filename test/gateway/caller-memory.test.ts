import assert from 'node:assert/strict';
import {createHash, randomBytes} from 'node:crypto';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {feeds} from '../../src/connection/store/shared-store.js';
import {ManualClock} from '../../stand-ins/manual-clock.js';
import {
  configuration,
  sendRequest,
  startGateway,
  startHttpTarget,
  targetChange,
} from './gateway-fakes.js';
import {MemoryStore} from './memory-store.js';
import {advanceClock} from './started-gateway.js';

const maxBodyBytes = 4 * 1024 * 1024;
const digest = (bytes: Buffer) =>
  createHash('sha256').update(bytes).digest('hex');

/** Starts a host with the smallest bound of the memory of callers, and a target that returns the digest of each body. */
async function start(t: TestContext) {
  const target = await startHttpTarget((req, res) => {
    const hash = createHash('sha256');
    req.on('data', (chunk: Buffer) => hash.update(chunk));
    req.on('end', () => res.end(hash.digest('hex')));
  });
  const store = new MemoryStore();
  const limits = {...configuration.limits, maxBodyBytes};
  store.put(feeds.orders, {
    kind: 'configuration',
    configuration: {...configuration, limits},
  });
  store.put(feeds.targets, targetChange('i-0', target.address));
  const clock = new ManualClock();
  const {gateway, settings} = await startGateway(store, {
    clock,
    change: {limits: {memoryBytes: 88_000_000, maxDescriptors: 1000}},
  });
  t.after(async () => {
    const stopped = gateway.stop();
    await advanceClock(clock, 10_000);
    await stopped;
    target.close();
  });
  const {callers, peers} = settings;
  assert.ok(peers);
  return {clock, port: callers.port, metricsPort: peers.port, target};
}

/** Sends the head of a request and a part of its body; the response may be read later. */
function sendPart(t: TestContext, port: number, framing: string, part: Buffer) {
  const socket = connect(port, '127.0.0.1');
  t.after(() => socket.destroy());
  socket.on('error', () => {});
  socket.write(
    `POST /plain/a HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: part\r\n${framing}\r\n\r\n`,
  );
  socket.write(part);
  return socket;
}

async function headOf(socket: Socket): Promise<string> {
  const [bytes] = (await once(socket, 'data')) as [Buffer];
  return bytes.toString();
}

const nearlyAll = Buffer.alloc(maxBodyBytes - 1);
const lengthLine = `Content-Length: ${maxBodyBytes}`;

/** Waits until the host holds a number of bytes of callers. */
async function untilHeld(metricsPort: number, bytes: number): Promise<void> {
  for (;;) {
    const {body} = await sendRequest(metricsPort, '/metrics', {method: 'GET'});
    const held = /^guavaseam_caller_memory_held_bytes (\d+)$/m.exec(body)?.[1];
    if (Number(held) >= bytes) return;
  }
}

// Guards against a host whose memory grows with the number of callers that stop just short of the end of a body.
test('bodies that do not end are refused or evicted once they fill the memory for callers', async t => {
  const {clock, metricsPort, port, target} = await start(t);
  const first = sendPart(t, port, lengthLine, nearlyAll);
  await untilHeld(metricsPort, nearlyAll.length);
  const second = sendPart(t, port, lengthLine, nearlyAll);
  const refusal = await headOf(second);
  assert.match(refusal, /^HTTP\/1\.1 503 /);
  assert.match(refusal, /retry-after: 0\.\d+/i);
  assert.match(refusal, /connection: close/i);
  assert.match(refusal, /noMemory/);
  await advanceClock(clock, 1500);
  const evicted = headOf(first);
  const body = randomBytes(maxBodyBytes);
  const response = await sendRequest(port, '/plain/a', {body});
  assert.match(await evicted, /^HTTP\/1\.1 503 /);
  assert.deepEqual([response.status, response.body], [200, digest(body)]);
  assert.ok(!target.requests.includes('part'));
});

// Guards against a host that reads a body over the limit for ever, because it waits for the end before it refuses.
test('a chunked body that exceeds the limit is refused although it does not end', async t => {
  const {port} = await start(t);
  const part = Buffer.alloc(maxBodyBytes + 1);
  const size = `${part.length.toString(16)}\r\n`;
  const socket = sendPart(
    t,
    port,
    'Transfer-Encoding: chunked',
    Buffer.concat([Buffer.from(size), part]),
  );
  const head = await headOf(socket);
  assert.match(head, /^HTTP\/1\.1 413 /);
  assert.match(head, /connection: close/i);
});

// Guards against bytes that stay charged after their request has ended, until no body fits any longer.
test('bodies are charged only until their requests have ended', async t => {
  const {metricsPort, port} = await start(t);
  for (let count = 0; count < 6; count += 1) {
    const body = randomBytes(maxBodyBytes - count * 100_000);
    const response = await sendRequest(port, '/plain/a', {body});
    assert.equal(response.body, digest(body));
    const left = sendPart(t, port, lengthLine, nearlyAll.subarray(0, 100_000));
    await untilHeld(metricsPort, 100_000);
    left.destroy();
  }
  const {body} = await sendRequest(port, '/plain/a', {body: 'small'});
  assert.equal(body, digest(Buffer.from('small')));
});
