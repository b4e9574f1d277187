import assert from 'node:assert/strict';
import {once} from 'node:events';
import type {Server} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {serveReadiness} from '../../../src/connection/gateway/serve-readiness.js';
import {StateServer} from '../../../src/connection/peer/state-server.js';
import {freePort} from '../../../stand-ins/free-port.js';
import {hangGuard} from '../caller/caller-fixture.js';

const address = '127.0.0.1';
/** More connections than an internal server keeps open. */
const crowd = 200;
/** Bytes that a server may read of a body, and what the buffers of both sockets hold. */
const maxSentBytes = 32 * 1024 * 1024;
const block = 'x'.repeat(64 * 1024);
const chunk = `${block.length.toString(16)}\r\n${block}\r\n`;
const turn = () => new Promise(resolve => setImmediate(resolve));

/** Starts a server of each kind and returns its port. */
const servers = {
  readiness: async (t: TestContext) => {
    const server: Server = await serveReadiness(
      {address, port: 0},
      '/ready',
      () => true,
    );
    t.after(() => {
      server.close();
      server.closeAllConnections();
    });
    return (server.address() as AddressInfo).port;
  },
  state: async (t: TestContext) => {
    const port = await freePort();
    const metrics = () => Promise.resolve('metrics');
    const noCopy = () => assert.fail('the state was read');
    const server = new StateServer({address, port}, noCopy, metrics);
    await server.listen();
    t.after(() => server.close());
    return port;
  },
};

async function open(t: TestContext, port: number): Promise<Socket> {
  const socket = connect({port, host: address, allowHalfOpen: true});
  t.after(() => socket.destroy());
  socket.on('error', () => {});
  await once(socket, 'connect');
  return socket;
}

const get = (path: string, framing = '') =>
  `GET ${path} HTTP/1.1\r\nHost: h\r\n${framing}\r\n`;

async function untilReceived(socket: Socket, pattern: RegExp): Promise<void> {
  let text = '';
  while (!pattern.test(text)) {
    const [bytes] = (await once(socket, 'data')) as [Buffer];
    text += bytes.toString('latin1');
  }
}

for (const [kind, start] of Object.entries(servers)) {
  const path = kind === 'state' ? '/metrics' : '/ready';

  // Guards against a body without an end that occupies the host for as long as its sender likes.
  test(
    `the ${kind} server answers a request with a body and closes its connection`,
    hangGuard,
    async t => {
      const socket = await open(t, await start(t));
      socket.write(get(path, 'Transfer-Encoding: chunked\r\n'));
      await untilReceived(socket, /^HTTP\/1\.1 200 .*connection: close/is);
      let sentBytes = 0;
      while (!socket.destroyed && sentBytes <= maxSentBytes) {
        if (!socket.writableNeedDrain) {
          socket.write(chunk);
          sentBytes += chunk.length;
        }
        await turn();
      }
      assert.ok(sentBytes <= maxSentBytes, 'the body was read on');
    },
  );

  // Guards against connections that shut out the load balancer or the monitoring, or that take all descriptors.
  test(
    `the ${kind} server closes idle connections for a new one`,
    hangGuard,
    async t => {
      const port = await start(t);
      let closed = 0;
      for (let i = 0; i < crowd; i++) {
        const socket = await open(t, port);
        socket.once('close', () => closed++);
        socket.on('end', () => socket.destroy());
        socket.resume();
        socket.write('GET / HT');
      }
      const probe = await open(t, port);
      probe.write(get(path));
      await untilReceived(probe, /^HTTP\/1\.1 200 /);
      while (closed <= crowd / 4) await turn();
    },
  );

  // Guards against many answers in memory because their requests were sent ahead by a caller that does not read.
  test(
    `the ${kind} server answers one request of several that are sent ahead`,
    hangGuard,
    async t => {
      const socket = await open(t, await start(t));
      let text = '';
      socket.on('data', (bytes: Buffer) => (text += bytes.toString('latin1')));
      socket.write(get(path).repeat(3));
      await once(socket, 'end');
      assert.equal(text.split('HTTP/1.1 200').length, 2);
    },
  );
}
