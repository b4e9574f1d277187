import assert from 'node:assert/strict';
import {once} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {GatewayServer} from '../../../src/connection/gateway/gateway-server.js';
import {freePort} from '../../../stand-ins/free-port.js';
import {ManualClock} from '../../../stand-ins/manual-clock.js';
import {
  hangGuard,
  startServer as startCallerServer,
} from '../caller/caller-fixture.js';

/** Bytes that a server may read of a body after its response, and what the buffers of both sockets hold. */
const maxSentBytes = 32 * 1024 * 1024;
const block = Buffer.alloc(64 * 1024, 'x');
const chunk = Buffer.concat([
  Buffer.from(`${block.length.toString(16)}\r\n`),
  block,
  Buffer.from('\r\n'),
]);
const head = (path: string) =>
  `POST ${path} HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n`;
const turn = () => new Promise(resolve => setImmediate(resolve));

/** Starts a server that answers each request before its body ends, and then ignores the body. */
async function startGatewayServer(t: TestContext, closes: boolean) {
  const port = await freePort();
  const clock = new ManualClock();
  const onRequest = (req: IncomingMessage, res: ServerResponse) => {
    req.on('error', () => {});
    req.resume();
    if (server.closesAfter(res, closes)) res.setHeader('connection', 'close');
    res.end('refused');
  };
  const ends: string[] = [];
  const server = new GatewayServer(
    {address: '127.0.0.1', port},
    {
      clock,
      onRequest,
      onDiscarded: () => {},
      onEnded: reason => ends.push(reason),
    },
  );
  await server.listen();
  t.after(() => server.closeAll());
  return {port, clock, ends};
}

/** Sends a body without an end; counts what was sent until the server ends the connection or reads no more. */
class EndlessCaller {
  readonly socket: Socket;
  received = '';
  sentBytes = 0;
  isEnded = false;

  constructor(t: TestContext, port: number, path: string) {
    this.socket = connect({port, host: '127.0.0.1', allowHalfOpen: true});
    t.after(() => this.socket.destroy());
    this.socket.on('error', () => {});
    this.socket.on('data', (bytes: Buffer) => {
      this.received += bytes.toString('latin1');
    });
    for (const event of ['end', 'close']) {
      this.socket.once(event, () => (this.isEnded = true));
    }
    this.socket.write(head(path));
  }

  /** Sends until the end of the connection. */
  async sendToEnd(clock?: ManualClock): Promise<void> {
    await once(this.socket, 'data');
    while (!this.socket.destroyed && this.sentBytes <= maxSentBytes) {
      if (!this.socket.writableNeedDrain) {
        this.socket.write(chunk);
        this.sentBytes += chunk.length;
      }
      clock?.advance(1);
      await turn();
    }
  }
}

// Guards against a caller that occupies a host with a body without an end: the rest of a refused body was read for ever.
for (const closes of [false, true]) {
  test(
    `a body that goes on after ${closes ? 'the last' : 'a'} response is read to a limit, then its connection is closed`,
    hangGuard,
    async t => {
      const {port, clock, ends} = await startGatewayServer(t, closes);
      const caller = new EndlessCaller(t, port, '/');
      await caller.sendToEnd(clock);
      assert.ok(caller.sentBytes <= maxSentBytes, 'the body was read on');
      assert.match(caller.received, /^HTTP\/1\.1 200 .*refused$/s);
      assert.deepEqual(ends, [closes ? 'last-response' : 'unread-body']);
    },
  );
}

// Guards against a caller that holds a connection by a few bytes of a refused body now and then.
test(
  'a body that goes on slowly after its response is read for a limited time',
  hangGuard,
  async t => {
    const {port, clock, ends} = await startGatewayServer(t, false);
    const caller = new EndlessCaller(t, port, '/');
    await once(caller.socket, 'data');
    for (
      let passedMs = 0;
      passedMs < 30_000 && !caller.isEnded;
      passedMs += 10
    ) {
      caller.socket.write('1\r\nx\r\n');
      clock.advance(10);
      await turn();
    }
    assert.ok(caller.isEnded);
    assert.deepEqual(ends, ['unread-body']);
  },
);

// Guards against a rule for refused bodies that closes the connection of a caller whose body ends in time.
test(
  'a connection stays usable after the rest of a refused body',
  hangGuard,
  async t => {
    const {port, clock, ends} = await startGatewayServer(t, false);
    const caller = new EndlessCaller(t, port, '/');
    await once(caller.socket, 'data');
    caller.socket.write(chunk);
    caller.socket.write(`0\r\n\r\n${head('/')}0\r\n\r\n`);
    while (caller.received.split('refused').length < 3) await turn();
    clock.advance(30_000);
    for (let i = 0; i < 100; i++) await turn();
    caller.socket.write(`${head('/')}0\r\n\r\n`);
    while (caller.received.split('refused').length < 4) await turn();
    assert.deepEqual(ends, []);
  },
);

// Guards against the same caller at an entry host.
test(
  'an entry host reads a refused body to a limit, then closes the connection',
  hangGuard,
  async t => {
    const {port} = await startCallerServer(t);
    const caller = new EndlessCaller(t, port, '/unknown');
    await caller.sendToEnd();
    assert.ok(caller.sentBytes <= maxSentBytes, 'the body was read on');
    assert.match(caller.received, /^HTTP\/1\.1 404 /);
  },
);
