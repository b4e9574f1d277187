import assert from 'node:assert/strict';
import {once} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {connect} from 'node:net';
import {test, type TestContext} from 'node:test';
import {GatewayServer} from '../../src/connection/gateway/gateway-server.js';
import {SystemClock} from '../../src/process/clock.js';
import {
  connectionEnds,
  type ConnectionEnd,
} from '../../src/process/gateway-metrics.js';
import {freePort} from '../../stand-ins/free-port.js';
import {configuration} from './gateway-fakes.js';

const head = 'GET /plain/a HTTP/1.1\r\nHost: h.example\r\n';

/** Starts a server with short timeouts and a connection to it; returns the reasons for which connections ended. */
async function startServer(
  t: TestContext,
  onRequest: (req: IncomingMessage, res: ServerResponse) => void = () => {},
) {
  const ends: ConnectionEnd[] = [];
  const port = await freePort();
  const server = new GatewayServer(
    {address: '127.0.0.1', port},
    {
      clock: new SystemClock(),
      onRequest,
      onDiscarded: () => assert.fail('a request was discarded'),
      onEnded: reason => ends.push(reason),
    },
  );
  server.setLimits({
    ...configuration.limits,
    headerTimeoutMs: 10,
    idleTimeoutMs: 10,
  });
  await server.listen();
  t.after(() => server.closeAll());
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => {});
  socket.resume();
  return {ends, socket};
}

// Guards against connections that Node.js closes by its own timeouts and that no metric shows.
test('a connection on which no further request comes is counted when it is closed', async t => {
  const {ends, socket} = await startServer(t, (_req, res) => res.end('done'));
  socket.write(`${head}\r\n`);
  await once(socket, 'close');
  assert.deepEqual(ends, [connectionEnds.idleTimeout]);
});

test('a connection whose request stays incomplete is counted when it is closed', async t => {
  const {ends, socket} = await startServer(t);
  socket.write(head);
  await once(socket, 'end');
  assert.deepEqual(ends, [connectionEnds.requestTimeout]);
});

test('a connection on which nothing is sent is counted when it is closed', async t => {
  const {ends, socket} = await startServer(t);
  await once(socket, 'end');
  assert.deepEqual(ends, [connectionEnds.unusedTimeout]);
});
