import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {test} from 'node:test';
import {HttpClient} from '../../../src/connection/http/http-client.js';
import {holdTimers} from '../late-timeout.js';

// Guards against calls to the platform that count as unanswered because the host did not run for some time: the timeout is
// due when it runs again, and timers run before the response that arrived meanwhile is read.
test('a response that arrived before the timeout of its call is returned', async t => {
  const timeoutMs = 4321;
  const expire = holdTimers(t, timeoutMs);
  const server = createServer(socket => {
    socket.on('error', () => {});
    socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone');
      expire();
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const client = new HttpClient({address: '127.0.0.1', port}, 1);
  t.after(async () => {
    await client.close();
    server.close();
  });
  const response = await client.call({method: 'GET', path: '/', timeoutMs});
  assert.equal(response.body.toString(), 'done');
});

// Guards against a call that never ends because its timeout has no effect.
test('a call without a response fails as silent at its timeout', async t => {
  const timeoutMs = 4321;
  const expire = holdTimers(t, timeoutMs);
  const server = createServer(socket => {
    socket.on('error', () => {});
    socket.once('data', expire);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const client = new HttpClient({address: '127.0.0.1', port}, 1);
  t.after(async () => {
    await client.close();
    server.close();
  });
  await assert.rejects(client.call({method: 'GET', path: '/', timeoutMs}), {
    failure: {kind: 'silent', timeoutMs},
  });
});
