import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect} from 'node:net';
import {test, type TestContext} from 'node:test';
import {startHttpTarget} from './gateway-fakes.js';
import {advanceClock, startWithTargets} from './started-gateway.js';

/** Opens a connection and collects what arrives on it. */
function openConnection(t: TestContext, port: number) {
  const socket = connect(port, '127.0.0.1');
  t.after(() => socket.destroy());
  const closed = once(socket, 'close');
  let received = '';
  socket.on('data', (chunk: Buffer) => (received += chunk.toString()));
  socket.on('error', () => {});
  return {
    closed,
    text: () => received,
    send: (path: string, id: string, deadlineMs: number) =>
      socket.write(
        `POST ${path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: ${id}\r\n` +
          `X-Deadline-Ms: ${deadlineMs}\r\nContent-Length: 0\r\n\r\n`,
      ),
  };
}

// Guards against a request that gets neither a response nor a refusal because its target is still silent when the host's time
// to stop is over.
test('a request without a response at the end of a stop is answered before its connection is closed', async t => {
  const arrived: (() => void)[] = [];
  const target = await startHttpTarget(() => arrived.shift()?.());
  const {clock, gateway, port} = await startWithTargets(t, [target]);
  const caller = openConnection(t, port);
  const running = new Promise<void>(resolve => arrived.push(resolve));
  caller.send('/plain/a', 'running', 20_000);
  await running;
  const stopping = gateway.stop();
  await advanceClock(clock, 9000);
  await caller.closed;
  await stopping;
  assert.match(caller.text(), /^HTTP\/1\.1 504 .*\r\n/);
  assert.match(caller.text(), /connection: close/i);
  assert.match(caller.text(), /"stoppedRunning"/);
});

// Guards against the same for a request that waits for a slot, which no target has received.
test('a request that waits for a slot at the end of a stop is refused as not run', async t => {
  const arrived: (() => void)[] = [];
  const target = await startHttpTarget(() => arrived.shift()?.());
  const options = {slots: 1};
  const {clock, gateway, port} = await startWithTargets(
    t,
    [target],
    {},
    options,
  );
  const running = new Promise<void>(resolve => arrived.push(resolve));
  const first = openConnection(t, port);
  first.send('/plain/a', 'running', 20_000);
  await running;
  // The caller retries with half of its time left as the longest wait, so it waits until the host ends.
  const second = openConnection(t, port);
  second.send('/plain/b', 'waiting', 16_000);
  const stopping = gateway.stop();
  await advanceClock(clock, 9000);
  await second.closed;
  await stopping;
  assert.match(second.text(), /^HTTP\/1\.1 503 .*\r\n/);
  assert.match(second.text(), /"stopping"/);
  assert.deepEqual(target.requests, ['running']);
});
