import assert from 'node:assert/strict';
import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import {connect} from 'node:net';
import {test} from 'node:test';
import {GatewayServer} from '../../../src/connection/gateway/gateway-server.js';
import {freePort} from '../../../stand-ins/free-port.js';
import {ManualClock} from '../../../stand-ins/manual-clock.js';
import {hangGuard} from '../caller/caller-fixture.js';

const address = '127.0.0.1';
const count = 80;
/** Requests in progress on one connection at most. */
const maxInProgress = 64;

// Guards against complete requests without an answer: part of a head was parsed before the requests ahead of it had to wait,
// and the parser reports that the head takes too long.
test(
  'requests that wait behind others for longer than a head may take are answered',
  hangGuard,
  async t => {
    const port = await freePort();
    const begun: ServerResponse[] = [];
    const server = new GatewayServer(
      {address, port},
      {
        clock: new ManualClock(),
        onRequest: (req, res) => {
          req.resume();
          begun.push(res);
        },
        onDiscarded: () => {},
        onEnded: () => {},
      },
    );
    await server.listen();
    t.after(() => server.closeAll());
    const socket = connect(port, address);
    t.after(() => socket.destroy());
    let received = '';
    socket.on('data', bytes => (received += String(bytes)));
    await once(socket, 'connect');
    const head = `GET / HTTP/1.1\r\nHost: h\r\nX-Pad: ${'x'.repeat(60)}\r\n\r\n`;
    socket.write(head.repeat(count));
    while (begun.length < maxInProgress) {
      await new Promise(resolve => setImmediate(resolve));
    }
    const [{req}] = begun;
    const err = Object.assign(new Error('Request timeout'), {
      code: 'ERR_HTTP_REQUEST_TIMEOUT',
    });
    const {server: httpServer} = req.socket as unknown as {
      server: NodeJS.EventEmitter;
    };
    httpServer.emit('clientError', err, req.socket);
    let next = 0;
    while (next < count && !socket.closed) {
      if (begun[next]) begun[next++].end('answer');
      else await new Promise(resolve => setImmediate(resolve));
    }
    const answers = () => received.split('HTTP/1.1 200').length - 1;
    while (answers() < count && !socket.closed) {
      await new Promise(resolve => setImmediate(resolve));
    }
    assert.equal(answers(), count);
  },
);
