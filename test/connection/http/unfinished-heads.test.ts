import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect} from 'node:net';
import {test} from 'node:test';
import {GatewayServer} from '../../../src/connection/gateway/gateway-server.js';
import {CallerMemory} from '../../../src/connection/http/caller-memory.js';
import {GatewayMetrics} from '../../../src/process/gateway-metrics.js';
import {freePort} from '../../../stand-ins/free-port.js';
import {ManualClock} from '../../../stand-ins/manual-clock.js';
import {hangGuard} from '../caller/caller-fixture.js';

const address = '127.0.0.1';
const limitBytes = 200_000;
const headBytes = 40_000;
const crowd = 20;

// Guards against a host whose memory is full of heads that do not end: each is below the limit of one, and nothing limits
// all of them together.
test(
  'heads that do not end are limited over all connections',
  hangGuard,
  async t => {
    const clock = new ManualClock();
    const metrics = new GatewayMetrics();
    const memory = new CallerMemory(limitBytes, {
      clock,
      metrics,
      onEvicted: () => {},
    });
    const heldBytes = async () => {
      const text = await metrics.render();
      return Number(
        /^guavaseam_caller_memory_held_bytes (\d+)$/m.exec(text)?.[1],
      );
    };
    const ends: string[] = [];
    const port = await freePort();
    const server = new GatewayServer(
      {address, port},
      {
        clock,
        memory,
        onRequest: (req, res) => {
          req.resume();
          req.once('end', () => res.end('answer'));
        },
        onDiscarded: () => {},
        onEnded: reason => ends.push(reason),
      },
    );
    await server.listen();
    t.after(() => server.closeAll());
    const open = async () => {
      const socket = connect(port, address);
      t.after(() => socket.destroy());
      socket.on('error', () => {});
      await once(socket, 'connect');
      return socket;
    };
    const sockets = [];
    for (let i = 0; i < crowd; i++) {
      const socket = await open();
      socket.write(
        `GET / HTTP/1.1\r\nHost: h\r\nX-Long: ${'x'.repeat(headBytes)}`,
      );
      sockets.push(socket);
    }
    while (ends.length + (await heldBytes()) / headBytes < crowd - 1) {
      await new Promise(resolve => setImmediate(resolve));
    }
    assert.ok((await heldBytes()) <= limitBytes);
    assert.deepEqual(new Set(ends), new Set(['no-memory']));
    const ordinary = await open();
    ordinary.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
    assert.match(String(await once(ordinary, 'data')), /answer/);
    for (const socket of sockets) socket.destroy();
    while ((await heldBytes()) > 0) {
      await new Promise(resolve => setImmediate(resolve));
    }
  },
);
