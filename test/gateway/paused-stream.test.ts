import assert from 'node:assert/strict';
import type {ServerResponse} from 'node:http';
import {test, type TestContext} from 'node:test';
import {bounds, sendRequest, startHttpTarget} from './gateway-fakes.js';
import {advanceClock, startWithTargets} from './started-gateway.js';

const event = (id: number) => `id: ${id}\ndata: ${id}\n\n`;
/** Pause of a target, in milliseconds; longer than the time after which a stream counts as stalled. */
const pauseMs = 2600;

/**
 * Starts a host whose targets pause each stream after its first event.
 *
 * @returns Function that sends a request, waits for the pause and resumes the streams that are still open.
 */
async function startPausing(t: TestContext, change: Partial<typeof bounds>) {
  const paused: ServerResponse[] = [];
  let resumed = 0;
  const targets = await Promise.all(
    Array.from({length: 2}, () =>
      startHttpTarget((req, res) => {
        res.writeHead(200, {'content-type': 'text/event-stream'});
        if (req.headers['last-event-id'] === '1') {
          resumed++;
          res.end(event(2));
          return;
        }
        res.write(event(1));
        paused.push(res);
      }),
    ),
  );
  const {clock, port} = await startWithTargets(t, targets, {
    bounds: {...bounds, ...change},
  });
  return async (path: string) => {
    let began = () => {};
    const begun = new Promise<void>(resolve => (began = resolve));
    const response = sendRequest(port, path, {onData: () => began()});
    await begun;
    await advanceClock(clock, pauseMs);
    for (const res of paused) res.end(event(2));
    return {...(await response), resumed};
  };
}

// Guards against a stream that is broken off because its target pauses: the attempt was aborted although the retry budget
// did not allow another one.
test('a stream whose target pauses goes on if the retry budget is used up', async t => {
  const send = await startPausing(t, {retryRatio: 0, retrySlack: 0});
  const {body, complete, resumed} = await send('/stream/a');
  assert.equal(body, event(1) + event(2));
  assert.equal(complete, true);
  assert.equal(resumed, 0);
});

// Guards against the same where runs are limited to one.
test('a stream whose target pauses goes on if its route allows no retry', async t => {
  const send = await startPausing(t, {});
  const {body, complete, resumed} = await send('/plain/a');
  assert.equal(body, event(1) + event(2));
  assert.equal(complete, true);
  assert.equal(resumed, 0);
});

// Guards against streams that end late because a target is silent for good.
test('a stream whose target is silent is resumed on another target within the budget', async t => {
  const send = await startPausing(t, {});
  const {body, complete, resumed} = await send('/stream/a');
  assert.equal(body, event(1) + event(2));
  assert.equal(complete, true);
  assert.equal(resumed, 1);
});
