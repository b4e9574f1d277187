import assert from 'node:assert/strict';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {test, type TestContext} from 'node:test';
import {feeds} from '../../src/connection/store/shared-store.js';
import {configuration, sendRequest, startHttpTarget} from './gateway-fakes.js';
import {
  advanceClock,
  startWithTargets,
  type StartOptions,
} from './started-gateway.js';

const event = (id: number) => `id: ${id}\ndata: ${id}\n\n`;
const streamType = {'content-type': 'text/event-stream'};

/** Objective and longest pause of the streams, in milliseconds; callers leave after a pause of 3,200 ms. */
const streamLimits = {objectiveMs: 400, gapMs: 400};
/** Pause of a sound target, in milliseconds. */
const pauseMs = 1600;
/** Silence after which a stream must go on elsewhere, because its caller leaves soon, in milliseconds. */
const longSilenceMs = 2600;

/** A request that a target runs. */
interface Run {
  readonly res: ServerResponse;
  readonly lastEventId: string | undefined;
}

/** What a test of {@link startStreams} sets. */
interface StreamOptions extends StartOptions {
  /** Responds to a request that resumes a stream. */
  readonly onResume?: (req: IncomingMessage, res: ServerResponse) => void;
}

/** Starts a host whose targets send the first event of each stream and leave the rest to the test. */
async function startStreams(t: TestContext, options: StreamOptions) {
  const runs: Run[] = [];
  const onResume =
    options.onResume ??
    ((_req: IncomingMessage, res: ServerResponse) => {
      res.writeHead(200, streamType);
      res.end(event(2));
    });
  const targets = await Promise.all(
    Array.from({length: 2}, () =>
      startHttpTarget((req, res) => {
        const lastEventId = req.headers['last-event-id']?.toString();
        runs.push({res, lastEventId});
        if (lastEventId !== undefined) return onResume(req, res);
        res.writeHead(200, streamType);
        res.write(event(1));
      }),
    ),
  );
  const started = await startWithTargets(t, targets, {}, options);
  const {clock, store, port} = started;
  store.put(feeds.orders, {
    kind: 'configuration',
    configuration: {
      ...configuration,
      version: 2,
      routes: configuration.routes.map(route => ({...route, ...streamLimits})),
    },
  });
  await advanceClock(clock, 1000);
  /** Opens a stream and waits for its first event. */
  const open = async () => {
    let began = () => {};
    const begun = new Promise<void>(resolve => (began = resolve));
    const response = sendRequest(port, '/stream/a', {onData: () => began()});
    await begun;
    return {response, run: runs[runs.length - 1]};
  };
  const resumed = () => runs.filter(run => run.lastEventId !== undefined);
  return {clock, port, runs, open, resumed};
}

// Guards against a stream that runs again elsewhere, at the risk of being cut there, because a sound target is silent for a
// second or so.
test('a stream whose target pauses for a second or so stays there', async t => {
  const {clock, open, resumed} = await startStreams(t, {});
  const {response, run} = await open();
  await advanceClock(clock, pauseMs);
  run.res.end(event(2));
  const {body, complete} = await response;
  assert.equal(body, event(1) + event(2));
  assert.equal(complete, true);
  assert.equal(resumed().length, 0);
});

// Guards against a stream that its caller gives up because a target is silent for good.
test('a stream whose target stays silent is resumed elsewhere before its caller leaves', async t => {
  const {clock, open, resumed} = await startStreams(t, {});
  const {response} = await open();
  await advanceClock(clock, longSilenceMs);
  const {body, complete} = await response;
  assert.equal(body, event(1) + event(2));
  assert.equal(complete, true);
  assert.deepEqual(
    resumed().map(run => run.lastEventId),
    ['1'],
  );
});

// Guards against a stream that is cut because no slot is free at once, although its caller would wait.
test('a stream whose target breaks off waits for a slot until its caller leaves', async t => {
  const {clock, open, resumed} = await startStreams(t, {slots: 1});
  const broken = await open();
  const other = await open();
  broken.run.res.destroy();
  await advanceClock(clock, 1000);
  assert.equal(resumed().length, 0);
  other.run.res.end(event(2));
  assert.equal((await other.response).complete, true);
  await advanceClock(clock, 100);
  const {body, complete} = await broken.response;
  assert.equal(body, event(1) + event(2));
  assert.equal(complete, true);
});
