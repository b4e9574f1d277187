import assert from 'node:assert/strict';
import {once} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {GatewayServer} from '../../../src/connection/gateway/gateway-server.js';
import {freePort} from '../../../stand-ins/free-port.js';
import {ManualClock} from '../../../stand-ins/manual-clock.js';
import {hangGuard} from '../caller/caller-fixture.js';

const connections = 20;
const requestsEach = 200;
/** Requests in progress beyond the first one of each connection. */
const maxAhead = 512;
/** Number of turns of the event loop in which a server handles bytes that have arrived. */
const settleTurns = 300;

const turn = () => new Promise(resolve => setImmediate(resolve));
const request = (i: number) => `GET /${i} HTTP/1.1\r\nHost: h.example\r\n\r\n`;

async function settle(): Promise<void> {
  for (let i = 0; i < settleTurns; i++) await turn();
}

/** Starts a server whose requests stay in progress until the test answers them. */
async function startServer(t: TestContext) {
  const port = await freePort();
  const begun: {req: IncomingMessage; res: ServerResponse}[] = [];
  const discarded: IncomingMessage[] = [];
  const server = new GatewayServer(
    {address: '127.0.0.1', port},
    {
      clock: new ManualClock(),
      onRequest: (req, res) => begun.push({req, res}),
      onDiscarded: req => discarded.push(req),
      onEnded: () => {},
    },
  );
  await server.listen();
  t.after(() => server.closeAll());
  const answer = ({req, res}: (typeof begun)[number]) => {
    req.resume();
    if (server.closesAfter(res)) res.setHeader('connection', 'close');
    res.end(`answer to ${req.url};`);
  };
  return {port, begun, discarded, answer};
}

function open(t: TestContext, port: number) {
  const socket: Socket = connect(port, '127.0.0.1');
  t.after(() => socket.destroy());
  socket.on('error', () => {});
  const caller = {socket, received: ''};
  socket.on('data', (bytes: Buffer) => {
    caller.received += bytes.toString('latin1');
  });
  return caller;
}

const answersIn = (text: string) =>
  [...text.matchAll(/answer to \/(\d*);/g)].map(([, number]) => Number(number));

// Guards against a host whose heap is full of requests: all that callers had sent ahead were in progress at the same time.
test(
  'requests that callers send ahead wait beyond a limit and are answered in order',
  hangGuard,
  async t => {
    const {port, begun, discarded, answer} = await startServer(t);
    const callers = Array.from({length: connections}, () => open(t, port));
    const numbers = Array.from({length: requestsEach}, (_, i) => i);
    const text = numbers.map(request).join('');
    for (const {socket} of callers) socket.write(text);
    await settle();
    assert.ok(begun.length <= connections + maxAhead, `${begun.length} begun`);
    const first = new Set(begun.map(({req}) => req.socket.remotePort));
    assert.equal(first.size, connections);
    for (let i = 0; i < connections * requestsEach; i++) {
      while (begun.length <= i) await turn();
      answer(begun[i]);
    }
    await settle();
    for (const {received} of callers) {
      assert.deepEqual(answersIn(received), numbers);
    }
    assert.deepEqual(discarded, []);
  },
);

// Guards against requests that begin although their caller has left while they waited.
test(
  'requests that wait are dropped when their caller leaves',
  hangGuard,
  async t => {
    const {port, begun} = await startServer(t);
    const {socket} = open(t, port);
    await once(socket, 'connect');
    socket.write(request(0).repeat(requestsEach));
    await settle();
    const count = begun.length;
    assert.ok(count < requestsEach);
    const closed = Promise.all(begun.map(({res}) => once(res, 'close')));
    socket.destroy();
    await closed;
    await settle();
    assert.equal(begun.length, count);
  },
);

// Guards against a connection that holds many parsed requests because they are tiny, or that drops some among others.
test(
  'a connection with too many tiny requests closes after those that it handled',
  hangGuard,
  async t => {
    const {port, begun, discarded, answer} = await startServer(t);
    const {socket, ...caller} = open(t, port);
    let received = '';
    socket.on(
      'data',
      (bytes: Buffer) => (received += bytes.toString('latin1')),
    );
    const ended = once(socket, 'end');
    socket.write('GET / HTTP/1.1\r\n\r\n'.repeat(requestsEach));
    await settle();
    assert.equal(caller.received, '');
    for (let i = 0; i < begun.length; i++) {
      answer(begun[i]);
      await settle();
    }
    await ended;
    assert.equal(answersIn(received).length, begun.length);
    assert.ok(begun.length + discarded.length < requestsEach);
    assert.match(
      received.slice(received.lastIndexOf('HTTP/1.1')),
      /connection: close/i,
    );
  },
);

// Guards against a response that is cut off because bytes that are no request follow requests that wait.
test(
  'requests that wait are answered although bytes that are no request follow them',
  hangGuard,
  async t => {
    const {port, begun, answer} = await startServer(t);
    const caller = open(t, port);
    const ended = once(caller.socket, 'end');
    const numbers = Array.from({length: 70}, (_, i) => i);
    caller.socket.write(`${numbers.map(request).join('')}no request\r\n\r\n`);
    for (const i of numbers) {
      while (begun.length <= i) await turn();
      answer(begun[i]);
      await settle();
    }
    await ended;
    assert.deepEqual(answersIn(caller.received), numbers);
  },
);
