import assert from 'node:assert/strict';
import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import {connect} from 'node:net';
import {test} from 'node:test';
import {feeds} from '../../src/connection/store/shared-store.js';
import {configuration, sendRequest, startHttpTarget} from './gateway-fakes.js';
import {advanceClock, startWithTargets} from './started-gateway.js';

const event = (id: number) => `id: ${id}\ndata: ${id}\n\n`;
const body = 'x'.repeat(5000);

/** Configurations that would not admit the requests in progress, or end them early. */
const changes = {
  'no routes': {routes: []},
  'other services': {
    routes: configuration.routes.map(route => ({
      ...route,
      services: [{service: 'other', weight: 1}],
    })),
    services: [],
  },
  'short timeouts': {
    routes: configuration.routes.map(route => ({...route, timeoutMs: 10})),
  },
  'no keys': {organisations: []},
  'small limits': {
    limits: {
      maxHeaderBytes: 10,
      maxBodyBytes: 10,
      headerTimeoutMs: 10,
      idleTimeoutMs: 10,
    },
  },
} as const;

for (const [name, change] of Object.entries(changes)) {
  // Guards against requests that end without a response because a change of the configuration affects requests that began
  // before it: a stream, one whose body still arrives, one that waits for a slot and one that is resumed elsewhere.
  test(`requests in progress are completed beside a configuration with ${name}`, async t => {
    const runs: {res: ServerResponse; path: string}[] = [];
    const targets = await Promise.all(
      Array.from({length: 2}, () =>
        startHttpTarget((req, res) => {
          if (req.headers['last-event-id'] === undefined) {
            runs.push({res, path: req.url ?? ''});
          } else {
            res.writeHead(200, {'content-type': 'text/event-stream'});
            res.end(event(2));
          }
        }),
      ),
    );
    const {clock, store, port} = await startWithTargets(
      t,
      targets,
      {},
      {slots: 1},
    );
    /** Passes little time in each turn of the event loop, so that no request expires while connections are slow. */
    const until = async (isDone: () => boolean) => {
      while (!isDone()) {
        clock.advance(1);
        await new Promise(setImmediate);
      }
    };
    let eventsReceived = 0;
    const streams = ['/stream/a', '/keyed/a'].map(path =>
      sendRequest(port, path, {
        headers: {'x-key': 'key'},
        onData: () => eventsReceived++,
      }),
    );
    await until(() => runs.length === 2);
    for (const {res} of runs) {
      res.writeHead(200, {'content-type': 'text/event-stream'});
      res.write(event(1));
    }
    await until(() => eventsReceived === 2);
    const waiting = sendRequest(port, '/safe/a');
    const socket = connect(port, '127.0.0.1');
    let received = '';
    socket.on('data', bytes => (received += bytes.toString()));
    socket.write(
      'POST /safe/b HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: slow\r\n' +
        `Expect: 100-continue\r\nConnection: close\r\nContent-Length: ${body.length}\r\n\r\n`,
    );
    // The host has read the head.
    await until(() => received.includes('100 Continue'));

    store.put(feeds.orders, {
      kind: 'configuration',
      configuration: {...configuration, version: 2, ...change},
    });
    await advanceClock(clock, 2000);
    if (name === 'no routes') {
      assert.equal((await sendRequest(port, '/plain/a')).status, 404);
    }
    socket.write(body);
    await advanceClock(clock, 100);
    // One stream is broken off by its target and resumed on the other, once the stream there has ended.
    for (const {res, path} of runs) {
      if (path === '/keyed/a') res.end(event(2));
    }
    await advanceClock(clock, 100);
    for (const {res, path} of runs) {
      if (path === '/stream/a') res.destroy();
    }
    let ended = false;
    const all = Promise.all([...streams, waiting, once(socket, 'close')]);
    void all.then(() => (ended = true));
    await until(() => {
      for (const {res, path} of runs) {
        if (path.startsWith('/safe/') && !res.writableEnded) res.end('done');
      }
      return ended;
    });
    const responses = await Promise.all([...streams, waiting]);
    assert.deepEqual(
      responses.map(response => [response.status, response.complete]),
      [200, 200, 200].map(status => [status, true]),
    );
    assert.match(received, /\r\nHTTP\/1\.1 200 /);
  });
}
