import assert from 'node:assert/strict';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {connect} from 'node:net';
import {test} from 'node:test';
import {GatewayServer} from '../../../src/connection/gateway/gateway-server.js';
import {freePort} from '../../../stand-ins/free-port.js';
import {ManualClock} from '../../../stand-ins/manual-clock.js';
import {hangGuard} from '../caller/caller-fixture.js';

/** Simulated time to handle a part of a body, in milliseconds. */
const partMs = 0.005;
/** Parts of a body that may be handled in one turn of the event loop: a turn of 5 ms, and a slice of each connection. */
const maxPartsPerTurn = 5 / partMs + 8 * 200;
const connections = 8;
const partsEach = 30_000;
const head = 'POST / HTTP/1.1\r\nHost: h\r\n';
const framing = 'Transfer-Encoding: chunked\r\n\r\n';

const turn = () => new Promise(resolve => setImmediate(resolve));

/** Starts a server that answers each request at the end of its body. */
async function startServer(
  clock: ManualClock,
  onPart: (bytes: Buffer) => void,
) {
  const port = await freePort();
  const onRequest = (req: IncomingMessage, res: ServerResponse) => {
    req.on('data', onPart);
    req.on('end', () => res.end(`answer to ${req.url}`));
  };
  const onDiscarded = () => {};
  const onEnded = () => {};
  const parts = {clock, onRequest, onDiscarded, onEnded};
  const server = new GatewayServer({address: '127.0.0.1', port}, parts);
  await server.listen();
  return {port, server};
}

// Guards against a host that hangs: bodies in chunks of one byte took the processor for seconds in one turn of the event loop.
test(
  'parts of bodies that are handled in one turn of the event loop are bounded',
  hangGuard,
  async t => {
    const clock = new ManualClock();
    let parts = 0;
    const {port, server} = await startServer(clock, () => {
      parts++;
      clock.advance(partMs);
    });
    t.after(() => server.closeAll());
    let answers = 0;
    for (let i = 0; i < connections; i++) {
      const socket = connect(port, '127.0.0.1');
      t.after(() => socket.destroy());
      socket.on('data', () => answers++);
      const body = '1\r\nx\r\n'.repeat(partsEach);
      socket.write(`${head}${framing}${body}0\r\n\r\n`);
    }
    let most = 0;
    while (answers < connections) {
      const before = parts;
      await turn();
      most = Math.max(most, parts - before);
      clock.advance(1);
    }
    assert.equal(parts, connections * partsEach);
    assert.ok(most <= maxPartsPerTurn, `${most} parts in one turn`);
  },
);

// Guards against a body whose bytes are lost, doubled or out of order, or a request that is read as a part of one.
test(
  'requests of any size and framing are read as they were sent',
  hangGuard,
  async t => {
    const clock = new ManualClock();
    const received: Buffer[] = [];
    const {port, server} = await startServer(clock, bytes =>
      received.push(bytes),
    );
    t.after(() => server.closeAll());
    const bodies = [0, 1, 900, 1024, 5000, 70_000, 300_000].map((size, i) =>
      Buffer.alloc(size, String.fromCharCode(97 + i)),
    );
    const pieces = bodies.flatMap((body, i) => [
      Buffer.from(
        `POST /${i} HTTP/1.1\r\nHost: h\r\nContent-Length: ${body.length}\r\n\r\n`,
      ),
      body,
      Buffer.from(`${head}${framing}${body.length ? '' : '0\r\n\r\n'}`),
      ...(body.length
        ? [
            Buffer.from(`${body.length.toString(16)}\r\n`),
            body,
            Buffer.from('\r\n0\r\n\r\n'),
          ]
        : []),
    ]);
    const socket = connect(port, '127.0.0.1');
    t.after(() => socket.destroy());
    let text = '';
    socket.on('data', (chunk: Buffer) => (text += chunk.toString('latin1')));
    socket.write(Buffer.concat(pieces));
    while (text.split('answer to').length <= 2 * bodies.length) await turn();
    const expected = Buffer.concat(bodies.flatMap(body => [body, body]));
    assert.ok(Buffer.concat(received).equals(expected));
  },
);
