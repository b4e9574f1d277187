import assert from 'node:assert/strict';
import {Readable} from 'node:stream';
import {test} from 'node:test';
import {ResponseSink} from '../../src/request/response-sink.js';
import {Relay} from '../../src/request/relay.js';
import {ManualClock} from '../../stand-ins/manual-clock.js';

class DiscardingSink extends ResponseSink {
  started = false;

  override head(): void {
    this.started = true;
  }

  override write(): undefined {
    return undefined;
  }

  override end(): void {}

  override abort(): void {}
}

test('a long stream does not overload the group owner with progress reports', async () => {
  const clock = new ManualClock();
  const reports: {atMs: number; tokens: number}[] = [];
  const relay = new Relay({
    clock,
    sink: new DiscardingSink(),
    model: true,
    record: false,
    onStart: () => {},
    onProgress: tokens => reports.push({atMs: clock.nowMs(), tokens}),
  });
  async function* events() {
    for (let i = 0; i < 240; i++) {
      yield Buffer.from(`data: {"n":${i}}\n\n`);
      clock.advance(58);
    }
    yield Buffer.from('data: [DONE]\n\n');
  }

  await relay.run({
    status: 200,
    headers: {
      'content-type': 'text/event-stream',
      'transfer-encoding': 'chunked',
    },
    body: Readable.from(events()),
  });

  const gaps = reports.slice(1).map(({atMs}, i) => atMs - reports[i].atMs);
  assert.equal(reports[0].tokens, 1);
  assert.ok(reports.length <= 8, `${reports.length} reports in 14 s`);
  // Owners treat a permit as stalled after 10 s without a report.
  assert.ok(Math.max(...gaps) < 5000, gaps.join(' '));
});
