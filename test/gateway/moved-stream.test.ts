import assert from 'node:assert/strict';
import {once} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {connect} from 'node:net';
import {test, type TestContext} from 'node:test';
import {feeds} from '../../src/connection/store/shared-store.js';
import {ManualClock} from '../../stand-ins/manual-clock.js';
import {
  bounds,
  configuration,
  sendRequest,
  startHttpTarget,
} from './gateway-fakes.js';
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

/** Clock that can pass without timers or input being handled, as when the process is stopped. */
class StoppableClock extends ManualClock {
  private stoppedMs = 0;

  override nowMs(): number {
    return super.nowMs() + this.stoppedMs;
  }

  /** Passes time in which nothing runs. */
  stop(ms: number): void {
    this.stoppedMs += ms;
  }
}

/** What a test of {@link startStreams} sets. */
interface StreamOptions extends StartOptions {
  readonly targets?: number;
  readonly bounds?: Partial<typeof bounds>;
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
    Array.from({length: options.targets ?? 2}, () =>
      startHttpTarget((req, res) => {
        const lastEventId = req.headers['last-event-id']?.toString();
        runs.push({res, lastEventId});
        if (req.url === '/safe/a') return;
        if (lastEventId !== undefined) return onResume(req, res);
        res.writeHead(200, streamType);
        res.write(event(1));
      }),
    ),
  );
  const started = await startWithTargets(
    t,
    targets,
    {bounds: {...bounds, ...options.bounds}},
    options,
  );
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

function refuseRun(_req: IncomingMessage, res: ServerResponse): void {
  res.writeHead(503, {'x-not-executed': '1'});
  res.end();
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

// Guards against a stream that is cut because the target to which it was moved refuses it and no other retry is left.
test('a stream is moved only if the budget allows for a refusal there', async t => {
  const {clock, open, resumed} = await startStreams(t, {
    bounds: {retryRatio: 0, retrySlack: 1.5},
    onResume: refuseRun,
  });
  const {response, run} = await open();
  await advanceClock(clock, longSilenceMs);
  run.res.end(event(2));
  const {body, complete} = await response;
  assert.equal(body, event(1) + event(2));
  assert.equal(complete, true);
  assert.equal(resumed().length, 0);
});

// Guards against a budget that is used up by retries which were set aside for refusals that did not happen.
test('a retry set aside for a refusal returns to the budget when the target begins to respond', async t => {
  const {clock, open, resumed} = await startStreams(t, {
    targets: 4,
    bounds: {retryRatio: 0, retrySlack: 4},
  });
  for (let i = 0; i < 2; i++) {
    const {response} = await open();
    await advanceClock(clock, longSilenceMs);
    assert.equal((await response).complete, true);
  }
  assert.equal(resumed().length, 2);
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

// Guards against a stream that the host cuts for lack of a slot shortly before its caller would have left, or although its
// caller waits longer.
test('a stream that waits for a slot ends only when its caller leaves or its deadline passes', async t => {
  const {clock, open, resumed} = await startStreams(t, {slots: 1});
  const broken = await open();
  const other = await open();
  broken.run.res.destroy();
  for (let i = 0; i < 8; i++) {
    // The other stream is not silent for long.
    await advanceClock(clock, 500);
    other.run.res.write(': still running\n\n');
  }
  assert.equal(resumed().length, 0);
  other.run.res.end(event(2));
  assert.equal((await other.response).complete, true);
  await advanceClock(clock, 100);
  const {body, complete} = await broken.response;
  assert.equal(body, event(1) + event(2));
  assert.equal(complete, true);
});

// Guards against requests that run again elsewhere, although their target has responded, because the host itself did not run.
test('a request stays at its target when the host was stopped for a time', async t => {
  const clock = new StoppableClock();
  const {port, runs} = await startStreams(t, {clock});
  const response = sendRequest(port, '/safe/a');
  while (runs.length === 0) await new Promise(setImmediate);
  clock.stop(800);
  clock.advance(100);
  runs[0].res.end('done');
  // The response is read before the next check.
  for (let i = 0; i < 50; i++) await new Promise(setImmediate);
  await advanceClock(clock, 1000);
  for (const {res} of runs.slice(1)) res.end('done');
  const {status, body} = await response;
  assert.deepEqual([status, body], [200, 'done']);
  assert.equal(runs.length, 1);
});

// Guards against a sound target that is blamed, and left, because the caller reads slowly.
test('a stream stays at its target while its caller does not read', async t => {
  const {clock, port, runs, resumed} = await startStreams(t, {
    bounds: {eventDelayMs: 0},
  });
  const socket = connect(port, '127.0.0.1');
  socket.write(
    'POST /stream/a HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: slow\r\nContent-Length: 0\r\n\r\n',
  );
  await once(socket, 'data');
  socket.pause();
  const [{res}] = runs;
  const filler = 'x'.repeat(100_000);
  // All buffers on the way are full once a write stays unsent for a while.
  let id = 2;
  for (let unsent = 0; unsent < 200;) {
    if (res.writableNeedDrain) unsent++;
    else {
      unsent = 0;
      res.write(`id: ${id++}\ndata: ${filler}\n\n`);
    }
    await new Promise(setImmediate);
  }
  await advanceClock(clock, longSilenceMs);
  assert.equal(resumed().length, 0);
  socket.destroy();
});
