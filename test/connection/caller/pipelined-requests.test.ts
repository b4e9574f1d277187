import assert from 'node:assert/strict';
import {once, type EventEmitter} from 'node:events';
import {connect, type Socket} from 'node:net';
import {test} from 'node:test';
import {hangGuard, startServer, type TestHandler} from './caller-fixture.js';

/** Sends pipelined requests for the test handler and collects what the connection receives. */
async function pipeline(
  server: {port: number; handler: TestHandler; arrival: () => Promise<void>},
  count: number,
  head = '',
) {
  const socket = connect(server.port, '127.0.0.1');
  let received = '';
  socket.on('data', chunk => (received += chunk.toString('latin1')));
  socket.on('error', () => {});
  const closed = new Promise(resolve => socket.once('close', resolve));
  const request = 'GET /test HTTP/1.1\r\nhost: h\r\n\r\n';
  const {serving} = server.handler;
  const until = serving.length + count;
  socket.write(head + request.repeat(count));
  while (serving.length < until) await server.arrival();
  const responses = async () => {
    await closed;
    return received
      .split('HTTP/1.1 ')
      .slice(1)
      .map(text => ({text, closes: /connection: close/i.test(text)}));
  };
  return {socket, request, responses};
}

// Guards against a drain that closes a connection after the first of several requests in progress: Node.js closes it after
// the response that announces the close, so the others ran and got no response.
test(
  'a drain answers all pipelined requests of a connection',
  hangGuard,
  async t => {
    const running = await startServer(t);
    const {handler, server} = running;
    const {responses} = await pipeline(running, 3);
    const closed = server.close(60_000);
    for (const {res} of handler.serving) res.end('whole');
    const answers = await responses();
    assert.deepEqual(
      answers.map(({text, closes}) => [text.includes('whole'), closes]),
      [
        [true, false],
        [true, false],
        [true, true],
      ],
    );
    assert.equal(await closed, 0);
  },
);

// Guards against a request that gets no response because an earlier one of its connection announced the close of it: its
// caller does not learn that it was not run.
test(
  'a drain refuses a request that follows one in progress on its connection',
  hangGuard,
  async t => {
    const running = await startServer(t);
    const {handler, server, metrics} = running;
    const {socket, request, responses} = await pipeline(running, 1);
    const closed = server.close(60_000);
    socket.write(request);
    while (!(await metrics.render()).includes('reason="draining"')) {
      await new Promise(resolve => setImmediate(resolve));
    }
    handler.serving[0].res.end('whole');
    const answers = await responses();
    assert.equal(answers.length, 2);
    assert.match(answers[0].text, /whole/);
    assert.match(answers[1].text, /"reason":"draining".*"execution":"not-run"/);
    assert.deepEqual(
      answers.map(({closes}) => closes),
      [false, true],
    );
    assert.equal(await closed, 0);
  },
);

// Guards against a programming error in one request that closes the connection although later ones are in progress.
test(
  'a request that fails does not cut off the ones that follow it',
  hangGuard,
  async t => {
    const running = await startServer(t);
    const fault = 'GET /test HTTP/1.1\r\nhost: h\r\nx-fault: late\r\n\r\n';
    const {socket, responses} = await pipeline(running, 1, fault);
    running.handler.failLate();
    await new Promise(resolve => setImmediate(resolve));
    running.handler.serving[0].res.end('whole');
    socket.end();
    const answers = await responses();
    assert.equal(answers.length, 2);
    assert.match(answers[0].text, /"reason":"internal-error"/);
    assert.match(answers[1].text, /whole/);
  },
);

// Guards against bytes that are no request and close the connection after the first of several responses.
test(
  'garbage after several complete requests does not cut off their responses',
  hangGuard,
  async t => {
    const running = await startServer(t);
    const {socket, responses} = await pipeline(running, 3);
    const rejected = new Promise(resolve =>
      running.handler.serving[0].req.socket.once('pause', resolve),
    );
    socket.write('\0garbage\r\n\r\n');
    await rejected;
    for (const {res} of running.handler.serving) res.end('whole');
    const answers = await responses();
    assert.equal(answers.filter(({text}) => text.includes('whole')).length, 3);
  },
);

// Guards against a request that runs although its response cannot be sent: the connection closes after a refusal that
// waits for the responses before it.
test(
  'a request that follows a response with an announced close is not handled',
  hangGuard,
  async t => {
    const running = await startServer(t);
    const {handler} = running;
    const {socket, request, responses} = await pipeline(running, 16);
    socket.write(request);
    while (!(await running.metrics.render()).includes('reason="overloaded"')) {
      await new Promise(resolve => setImmediate(resolve));
    }
    const [first, second] = handler.serving.map(({res}) => once(res, 'close'));
    handler.serving[0].res.end('whole');
    handler.serving[1].res.end('whole');
    await Promise.all([first, second]);
    const {socket: peer} = handler.serving[2].req;
    const {bytesRead} = peer;
    socket.write(request);
    while (peer.bytesRead === bytesRead) {
      await new Promise(resolve => setImmediate(resolve));
    }
    await new Promise(resolve => setImmediate(resolve));
    const handled = handler.serving.length;
    for (const {res} of handler.serving.slice(2)) res.end('whole');
    const answers = await responses();
    assert.equal(handled, 16);
    assert.equal(answers.filter(({text}) => text.includes('whole')).length, 16);
    assert.match(answers[16].text, /"reason":"overloaded"/);
  },
);

// Guards against a request that runs although it was refused as not run: its body became complete while the refusal of
// bytes that are no request, or that came too late, had not left the host yet.
test(
  'a request that is refused while its body arrives does not run afterwards',
  hangGuard,
  async t => {
    const {server, port, handler, metrics} = await startServer(t);
    const {server: listener} = server as unknown as {server: EventEmitter};
    const connected = once(listener, 'connection') as Promise<[Socket]>;
    const socket = connect(port, '127.0.0.1');
    let received = '';
    socket.on('data', chunk => (received += chunk.toString('latin1')));
    socket.on('error', () => {});
    const closed = new Promise(resolve => socket.once('close', resolve));
    const [peer] = await connected;
    socket.write(
      'POST /test HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nab',
    );
    while (!(await metrics.render()).includes('caller_requests 1')) {
      await new Promise(resolve => setImmediate(resolve));
    }
    // A connection whose buffers are full sends the refusal some time later.
    const {end} = peer;
    let send = () => {};
    peer.end = (...args: unknown[]) => {
      send = () => end.apply(peer, args as Parameters<typeof end>);
      return peer;
    };
    const err = Object.assign(new Error('timeout'), {
      code: 'ERR_HTTP_REQUEST_TIMEOUT',
    });
    listener.emit('clientError', err, peer);
    socket.write('cd');
    for (let turn = 0; turn < 20; turn++) {
      await new Promise(resolve => setImmediate(resolve));
    }
    send();
    await closed;
    assert.match(
      received,
      /"reason":"request-timeout","retryable":true,"execution":"not-run"/,
    );
    assert.equal(handler.serving.length, 0);
  },
);
