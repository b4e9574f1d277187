import assert from 'node:assert/strict';
import {createServer, type AddressInfo} from 'node:net';
import {test, type TestContext} from 'node:test';
import {HttpLogClient} from '../../../src/connection/platform/http-log-client.js';
import {FailureError} from '../../../src/process/errors/catalogue.js';
import {LogServer} from '../../../stand-ins/index.js';
import {holdTimers} from '../late-timeout.js';

const kind = (expected: string) => (err: unknown) =>
  err instanceof FailureError && err.failure.kind === expected;

async function start(t: TestContext, timeoutMs?: number) {
  const server = new LogServer();
  await server.listen();
  const log = new HttpLogClient(server.address, timeoutMs);
  t.after(async () => {
    await log.close();
    await server.close();
  });
  return {server, log};
}

/** Starts a server that sends a fixed response to each connection, and a client of it. */
async function startFixedResponse(
  t: TestContext,
  response: string,
  onSent = () => {},
) {
  const server = createServer(socket => {
    socket.on('error', () => {});
    socket.once('data', () => {
      socket.write(response);
      onSent();
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const log = new HttpLogClient(`http://127.0.0.1:${port}`, 500);
  t.after(async () => {
    await log.close();
    server.close();
  });
  return log;
}

const json = (text: string) =>
  `HTTP/1.1 200 OK\r\ncontent-length: ${text.length}\r\n\r\n${text}`;

test('an append whose response was lost is reported as unavailable and is not retried', async t => {
  const {server, log} = await start(t);
  server.faults.loseAnswers = 1;
  await assert.rejects(log.append('s', {a: 1}), kind('log-unavailable'));
  assert.equal((await log.read('s', 0)).records.length, 1);
});

test('rate limit, truncation and outage are reported as different failures', async t => {
  const {server, log} = await start(t);
  for (let i = 0; i < 3; i++) await log.append('s', i);
  server.store.truncate('s', 2);
  await assert.rejects(log.read('s', 0), kind('log-truncated'));
  server.faults.appendsPerSecond = 0.001;
  await log.append('s', 3);
  await assert.rejects(log.append('s', 4), kind('log-rate-limited'));
  server.faults.down = true;
  await assert.rejects(log.append('s', 5), kind('log-unavailable'));
  await assert.rejects(log.read('s', 2), kind('log-unavailable'));
});

test('a call to a log that does not respond times out', async t => {
  const {server, log} = await start(t, 50);
  server.faults.slowMs = 60_000;
  await assert.rejects(log.append('s', 1), kind('log-unavailable'));
});

test('long-polling reads of many streams do not delay an append', async t => {
  const {log} = await start(t);
  const reads = Array.from({length: 40}, (_, i) =>
    log.read(`s${i}`, 0, {waitMs: 60_000}),
  );
  for (let i = 0; i < 40; i++) assert.equal(await log.append(`s${i}`, i), 0);
  for (const page of await Promise.all(reads)) {
    assert.equal(page.records.length, 1);
  }
});

test('an aborted read ends immediately', async t => {
  const {log} = await start(t);
  const ended = new AbortController();
  const read = log.read('s', 0, {waitMs: 60_000, signal: ended.signal});
  ended.abort();
  await assert.rejects(read, kind('log-unavailable'));
});

test('malformed and truncated responses are reported as unavailable', async t => {
  const responses = [
    json('not json'),
    json('[]'),
    json('{}'),
    json('{"offset":-1,"records":[],"first":0}'),
    json('{"records":[{"offset":7,"data":1}],"first":0,"next":8}'),
    'HTTP/1.1 200 OK\r\ncontent-length: 900\r\n\r\n{"offset":1',
    'garbage\r\n\r\n',
  ];
  for (const response of responses) {
    const log = await startFixedResponse(t, response);
    await assert.rejects(log.read('s', 0), kind('log-unavailable'), response);
    const other = await startFixedResponse(t, response);
    await assert.rejects(
      other.append('s', 0),
      kind('log-unavailable'),
      response,
    );
  }
});

test('a response above the size limit is rejected', async t => {
  const size = 17 * 1024 * 1024;
  const body = `{"offset":1,"x":"${'x'.repeat(size)}"}`;
  const log = await startFixedResponse(t, json(body));
  await assert.rejects(
    log.append('s', 0),
    err => kind('log-unavailable')(err) && /exceeds/.test(String(err)),
  );
});

// Guards against appends whose outcome counts as unknown because the host did not run for some time: the timeout is due when
// it runs again, and timers run before the response that arrived meanwhile is read.
test('a response that arrived before the timeout of its append is returned', async t => {
  const expire = holdTimers(t, 500);
  let expired = 0;
  const log = await startFixedResponse(t, json('{"offset":7}'), () => {
    expired = expire();
  });
  assert.equal(await log.append('s', {a: 1}), 7);
  assert.equal(expired, 1);
});

// Guards against a call that never ends because its timeout has no effect.
test('an append without a response is reported as unavailable at its timeout', async t => {
  const expire = holdTimers(t, 500);
  const log = await startFixedResponse(t, '', () => expire());
  await assert.rejects(log.append('s', {a: 1}), kind('log-unavailable'));
});
