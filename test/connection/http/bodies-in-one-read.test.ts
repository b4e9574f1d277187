import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect} from 'node:net';
import {test, type TestContext} from 'node:test';
import {GatewayServer} from '../../../src/connection/gateway/gateway-server.js';
import {CallerMemory} from '../../../src/connection/http/caller-memory.js';
import {readBody} from '../../../src/connection/http/request-body.js';
import {GatewayMetrics} from '../../../src/process/gateway-metrics.js';
import {freePort} from '../../../stand-ins/free-port.js';
import {ManualClock} from '../../../stand-ins/manual-clock.js';
import {hangGuard} from '../caller/caller-fixture.js';

const address = '127.0.0.1';
const bodyBytes = 4 * 1024 * 1024;
const limitBytes = 6 * 1024 * 1024;
const turn = () => new Promise(resolve => setImmediate(resolve));

const head = (path: string, length: number) =>
  `POST ${path} HTTP/1.1\r\nHost: h\r\nContent-Length: ${length}\r\n\r\n`;
/** A small request, and the head of a large one behind it. */
const bothHeads = `${head('/small', 1)}x${head('/large', bodyBytes)}`;

/** Starts a server that answers each body with its size, and records the ends of bodies and connections. */
async function start(t: TestContext) {
  const clock = new ManualClock();
  const metrics = new GatewayMetrics();
  const memory = new CallerMemory(limitBytes, {
    clock,
    metrics,
    onEvicted: () => {},
  });
  const port = await freePort();
  const ends: string[] = [];
  const failed: string[] = [];
  const server = new GatewayServer(
    {address, port},
    {
      clock,
      memory,
      onRequest: (req, res) => {
        readBody(req, bodyBytes, memory, {
          onBody: ({length}, release) => {
            release();
            res.end(`size ${length}.`);
          },
          onFailure: failure => {
            failed.push(`${req.url} ${failure}`);
            res.end(failure);
          },
        });
      },
      onDiscarded: () => {},
      onEnded: reason => ends.push(reason),
    },
  );
  await server.listen();
  t.after(() => server.closeAll());
  const send = async (...parts: (string | Buffer)[]) => {
    const socket = connect(port, address);
    t.after(() => socket.destroy());
    const caller = {socket, received: ''};
    socket.on('error', () => {});
    socket.on('data', bytes => (caller.received += String(bytes)));
    await once(socket, 'connect');
    for (const part of parts) socket.write(part);
    return caller;
  };
  const heldBytes = async () => {
    const text = await metrics.render();
    const held = /^guavaseam_caller_memory_held_bytes (\d+)$/m.exec(text);
    return Number(held?.[1]);
  };
  return {clock, ends, failed, heldBytes, send};
}

// Guards against a body that is charged twice because the request ahead of it ends while it arrives.
test(
  'the largest body fits behind a request that arrives with its head',
  hangGuard,
  async t => {
    const {ends, failed, send} = await start(t);
    const caller = await send(bothHeads, Buffer.alloc(bodyBytes));
    while (!caller.received.includes(`size ${bodyBytes}.`)) {
      assert.deepEqual([ends, failed], [[], []]);
      await turn();
    }
    assert.match(caller.received, /size 1\./);
  },
);

// Guards against a body that stays in memory after its eviction, because the request ahead of it ended while it arrived.
test(
  'a body behind a request that arrives with its head is evicted',
  hangGuard,
  async t => {
    const {clock, failed, heldBytes, send} = await start(t);
    // The body begins in the same read as both requests.
    await send(`${bothHeads}x`, Buffer.alloc(bodyBytes - 2));
    while ((await heldBytes()) < bodyBytes - 2) await turn();
    clock.advance(5000);
    const other = await send(
      head('/other', bodyBytes),
      Buffer.alloc(bodyBytes),
    );
    while (!other.received.includes('.')) {
      assert.ok(!failed.includes('/other noMemory'));
      await turn();
    }
    assert.match(other.received, new RegExp(`size ${bodyBytes}\\.`));
    assert.deepEqual(failed, ['/large noMemory']);
    while ((await heldBytes()) > 0) await turn();
  },
);
