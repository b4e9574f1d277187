import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import type {ServerResponse} from 'node:http';
import {test} from 'node:test';
import {ResponseRelay} from '../../src/request/gateway/response-relay.js';
import {ManualClock} from '../../stand-ins/manual-clock.js';

const head = {
  status: 200,
  notRun: false,
  framed: true,
  closes: false,
  leaving: false,
  eventStream: true,
  relayed: {},
};

/** Response to a caller that reads nothing until `drain` is emitted. */
class FullResponse extends EventEmitter {
  writeHead(): this {
    return this;
  }

  write(): boolean {
    return false;
  }
}

// Guards against memory that grows while a caller reads slowly: of a stream that is resumed, the next target is paused,
// too, and what a target still sends after the pause adds no listener.
test('each target of a stream is paused while the caller reads slowly', () => {
  const res = new FullResponse();
  const calls: string[] = [];
  const relay = new ResponseRelay(
    res as unknown as ServerResponse,
    () => false,
    {pause: () => calls.push('pause'), resume: () => calls.push('resume')},
    new ManualClock(),
    0,
  );
  assert.equal(relay.begin(head), true);
  relay.data(Buffer.from('id: 1\ndata: a\n\n'), 0, true);
  relay.restart();
  assert.equal(relay.begin(head), true);
  relay.data(Buffer.from('id: 2\ndata: b\n\n'), 0, true);
  assert.deepEqual(calls, ['pause', 'pause']);
  assert.equal(res.listenerCount('drain'), 1);
  res.emit('drain');
  assert.deepEqual(calls, ['pause', 'pause', 'resume']);
});
