import assert from 'node:assert/strict';
import {once} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {GatewayServer} from '../../src/connection/gateway/gateway-server.js';
import type {ConnectionEnd} from '../../src/process/gateway-metrics.js';
import {freePort} from '../../stand-ins/free-port.js';
import {ManualClock} from '../../stand-ins/manual-clock.js';
import {configuration} from './gateway-fakes.js';

const request = 'GET /plain/a HTTP/1.1\r\nHost: h.example\r\n\r\n';

/** Starts a server whose requests are answered at once, and opens a connection on which one was answered. */
async function startServer(t: TestContext, idleTimeoutMs: number) {
  const clock = new ManualClock();
  const sockets: Socket[] = [];
  const ends: ConnectionEnd[] = [];
  let discarded = 0;
  const onRequest = (req: IncomingMessage, res: ServerResponse) => {
    sockets.push(req.socket);
    res.end('done');
  };
  const port = await freePort();
  const server = new GatewayServer(
    {address: '127.0.0.1', port},
    {
      clock,
      onRequest,
      onDiscarded: () => discarded++,
      onEnded: reason => ends.push(reason),
    },
  );
  const setIdleTimeout = (ms: number) =>
    server.setLimits({...configuration.limits, idleTimeoutMs: ms});
  setIdleTimeout(idleTimeoutMs);
  await server.listen();
  t.after(() => server.closeAll());
  const caller = openCaller(port);
  caller.socket.write(request);
  await once(caller.socket, 'data');
  assert.equal(caller.responses(), 1);
  return {
    ...{clock, server, port, sockets, ends, setIdleTimeout, caller},
    discarded: () => discarded,
  };
}

/** Connects and counts the responses that arrive. */
function openCaller(port: number) {
  const socket = connect(port, '127.0.0.1');
  let received = '';
  socket.on('error', () => {});
  socket.on('data', bytes => (received += bytes.toString()));
  const responses = () => received.split('HTTP/1.1 200').length - 1;
  return {socket, responses};
}

/** Waits for the next bytes or the end of a connection. */
function nextInput(socket: Socket): Promise<unknown> {
  return Promise.race([once(socket, 'data'), once(socket, 'close')]);
}

// Guards against a request without an answer after the host did not run for some time: its idle timeout is due when it runs
// again, and timers run before the request that arrived meanwhile is read.
test('a request that arrived before the idle timeout is handled is answered', async t => {
  const {clock, sockets, caller} = await startServer(t, 10_000);
  clock.advance(11_500);
  caller.socket.write(request);
  sockets[0].emit('timeout');
  await nextInput(caller.socket);
  assert.equal(caller.responses(), 2);
});

// Guards against a request without an answer beside a change of the configuration: a longer idle timeout did not apply to
// connections that were idle before, so one was closed while its caller might still use it.
test('a longer idle timeout applies to connections that are idle already', async t => {
  const {clock, sockets, caller, setIdleTimeout} = await startServer(t, 4000);
  setIdleTimeout(16_000);
  clock.advance(5000);
  sockets[0].emit('timeout');
  await new Promise(setImmediate);
  await new Promise(setImmediate);
  caller.socket.write(request);
  await nextInput(caller.socket);
  assert.equal(caller.responses(), 2);
});

test('a connection that is idle for longer than the timeout is closed', async t => {
  const {clock, sockets, caller, ends} = await startServer(t, 10_000);
  clock.advance(11_500);
  sockets[0].emit('timeout');
  await once(caller.socket, 'close');
  assert.deepEqual(ends, ['idle-timeout']);
});

// Guards against requests without an answer from a host that stops after it did not run for some time: their connections were
// opened before, and are reset if the host closes its address before it accepts them.
test('connections that were opened before a stopping host closes its address are served', async t => {
  const {clock, server, port} = await startServer(t, 10_000);
  const callers = Array.from({length: 5}, () => openCaller(port));
  for (const {socket} of callers) socket.write(request);
  // Connections to loopback addresses are open once connect() was called, in the next tick.
  await new Promise<void>(resolve => process.nextTick(resolve));
  const drained = server.drain(clock.nowMs() + 5000);
  const inputs = callers.map(({socket}) => nextInput(socket));
  await Promise.all(inputs);
  assert.deepEqual(
    callers.map(({responses}) => responses()),
    [1, 1, 1, 1, 1],
  );
  let isDrained = false;
  void drained.then(() => (isDrained = true));
  while (!isDrained) {
    clock.advance(50);
    await new Promise(setImmediate);
  }
});

// Guards against a request that a stopping host discards although it arrived before the connection was ended.
test('a request that arrived before a stopping host ends idle connections is answered', async t => {
  const {clock, server, caller, discarded} = await startServer(t, 10_000);
  server.closeAfterResponses();
  const drained = server.drain(clock.nowMs() + 5000);
  for (let i = 0; i < 10; i++) await new Promise(setImmediate);
  caller.socket.write(request);
  clock.advance(500);
  await nextInput(caller.socket);
  assert.equal(caller.responses(), 2);
  assert.equal(discarded(), 0);
  let isDrained = false;
  void drained.then(() => (isDrained = true));
  while (!isDrained) {
    clock.advance(50);
    await new Promise(setImmediate);
  }
});
