import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {probeResults} from '../../../src/connection/gateway/target-probe.js';
import {maxOverdueMs} from '../../../src/request/gateway/open-request-check.js';
import type {Configuration} from '../../../src/version/deployment/types.js';
import {configuration} from '../gateway-fakes.js';
import type {FakeCaller} from './fake-caller.js';
import type {FakeConnection} from './fake-connections.js';
import {World} from './world.js';

const runs = Number(process.env.RUNS ?? 200);
const seed = Number(process.env.SEED ?? 1);

/** Longest time limit of the requests, in milliseconds. */
const maxDeadlineMs = 3000;
const paths = ['/plain/a', '/safe/a', '/stream/a', '/once/a', '/keyed/a'];
const base: Configuration = {
  ...configuration,
  routes: [
    ...configuration.routes,
    {
      ...configuration.routes[2],
      name: 'once',
      pathPrefix: '/once/',
      resumable: false,
      maxRuns: 1,
    },
  ].map(route => ({...route, timeoutMs: 2500, objectiveMs: 400, gapMs: 100})),
};
const changes: readonly Partial<Configuration>[] = [
  {},
  {routes: []},
  {
    routes: base.routes.map(route => ({
      ...route,
      services: [{service: 'other', weight: 1}],
    })),
  },
  {services: []},
  {routes: base.routes.map(route => ({...route, timeoutMs: 10}))},
  {routes: base.routes.map(route => ({...route, maxRuns: 1}))},
  {routes: base.routes.map(route => ({...route, isPublic: false}))},
  {organisations: []},
  {
    organisations: base.organisations.map(organisation => ({
      ...organisation,
      ratePerSecond: 1,
      burst: 2,
    })),
  },
  {limits: {...base.limits, maxBodyBytes: 5, maxHeaderBytes: 50}},
];

const operations = [
  ...['arrive', 'arrive', 'arrive', 'arrive', 'bodyPart', 'bodyPart', 'leave'],
  ...['pause', 'read', 'pass', 'pass', 'pass', 'pass', 'connected', 'refused'],
  ...['progress', 'progress', 'progress', 'progress', 'progress', 'progress'],
  ...['answer', 'streams', 'turnedAway', 'fails', 'foreign', 'event', 'part'],
  ...['large', 'end', 'reset', 'close', 'targetLeaves', 'targetStarts'],
  ...['targetStarts', 'addressReused', 'drains', 'configure', 'block', 'view'],
  ...['probe', 'evacuate', 'stop', 'connectAll', 'endAll'],
] as const;

/** Operations that few sequences contain, because nothing is served after them for a time. */
const rare: ReadonlySet<string> = new Set([
  ...['stop', 'block', 'view', 'configure', 'evacuate'],
]);

const step = fc.record({
  op: fc.constantFrom(...operations),
  a: fc.nat(1000),
  b: fc.nat(1000),
});
type Step = {op: (typeof operations)[number]; a: number; b: number};

const framed = {'content-length': '1000000'};
const streamType = {'content-type': 'text/event-stream'};

/** Chooses what a sound target does next on a connection. */
function nextOf({phase, path, events}: FakeConnection, b: number): Step['op'] {
  const isStream = /^.(stream|once)/.test(path);
  if (phase === 'connecting') return 'connected';
  if (phase === 'sent') return isStream ? 'streams' : 'answer';
  return isStream && (events === 0 || b % 3 > 0) ? 'event' : 'end';
}

/** Sends what a target may send next on a connection. */
function playTarget(
  connection: FakeConnection | undefined,
  op: Step['op'],
  b: number,
): void {
  if (!connection) return;
  const id = {'x-request-id': connection.requestId};
  const mayFrame = b % 3 === 0 ? {} : framed;
  const isSent = connection.phase === 'sent';
  const hasHead = connection.phase === 'body';
  switch (op) {
    case 'progress':
      return playTarget(connection, nextOf(connection, b), b);
    case 'connected':
      if (connection.phase === 'connecting') connection.open();
      break;
    case 'refused':
      if (connection.phase !== 'connecting') break;
      connection.fail(new Error('connect ECONNREFUSED'));
      connection.close('connect failed');
      break;
    case 'answer':
      if (isSent) connection.head(200, {...id, ...mayFrame});
      break;
    case 'streams':
      if (isSent) connection.head(200, {...id, ...mayFrame, ...streamType});
      break;
    case 'turnedAway':
      if (isSent) connection.head(503, {'x-not-executed': '1', ...framed});
      break;
    case 'fails':
      if (isSent) connection.head(500, {...id, ...mayFrame});
      break;
    case 'foreign':
      if (isSent) connection.head(200, {'x-request-id': 'other', ...framed});
      break;
    case 'event':
      if (!hasHead) break;
      connection.data(`id: ${++connection.events}\ndata: x\n\n`);
      break;
    case 'part':
      if (hasHead) connection.data('data: x');
      break;
    case 'large':
      if (hasHead) connection.data('x'.repeat(300_000));
      break;
    case 'end':
      connection.isClean = b % 4 !== 0;
      if (hasHead) connection.end();
      break;
    case 'reset':
    case 'close':
      if (!isSent && !hasHead) break;
      connection.fail(
        Object.assign(
          new Error('other side closed'),
          op === 'reset' ? {code: 'ECONNRESET'} : {},
        ),
      );
      connection.close('disconnected');
      break;
  }
}

function playStep(world: World, {op, a, b}: Step, index: number): void {
  const {callers, clock, connections} = world;
  const caller: FakeCaller | undefined = callers[a % callers.length];
  const active = [...connections.active];
  const target = a % 4;
  if (rare.has(op) && b % 4 !== 0) return;
  switch (op) {
    case 'arrive':
      return world.arrive({
        id: `r${index}`,
        path: paths[a % paths.length],
        deadlineMs: b % 5 === 0 ? 1 + b : maxDeadlineMs - a,
        bodyParts: b % 4 === 0 ? 2 : 0,
        http10: b % 11 === 0,
      });
    case 'bodyPart':
      return caller?.sendPart();
    case 'leave':
      return caller?.leave();
    case 'pause':
      return caller?.pause();
    case 'read':
      return caller?.read();
    case 'pass':
      return clock.advance(b % 8 === 0 ? b : b % 60);
    case 'targetLeaves':
      return world.apply({kind: 'target', id: `i-${target}`});
    case 'targetStarts':
      return world.addTarget(target, index + 2);
    case 'addressReused':
      return world.addTarget(target, index + 2, '10.0.0.0:80', 'other');
    case 'drains':
      return world.drainTarget(target);
    case 'configure':
      return world.configure({...base, ...changes[a % changes.length]});
    case 'block':
      world.isBlocked = !world.isBlocked;
      return;
    case 'view':
      world.isViewCurrent = !world.isViewCurrent;
      return world.dispatcher.serveAll();
    case 'probe':
      world.probe.result = Object.values(probeResults)[a % 3];
      return;
    case 'evacuate':
      return world.apply({
        kind: 'evacuation',
        zone: a % 2 === 0 ? 'z' : 'y',
        active: b % 2 === 0,
      });
    case 'stop':
      world.stopsAtMs = Math.min(world.stopsAtMs, clock.nowMs() + 2000);
      return;
    case 'connectAll':
      for (const each of active) playTarget(each, 'connected', b);
      return;
    case 'endAll':
      for (const each of active) playTarget(each, 'end', 1);
      return;
    default:
      return playTarget(active[a % active.length], op, b);
  }
}

/** Events that state why a response was cut off. */
const reasons: ReadonlySet<string> = new Set(['responseAborted', 'callerLeft']);

function checkCallers({callers, decisions}: World): void {
  for (const {request, isWhole, left, res, ends, status} of callers) {
    const {id} = request;
    assert.ok(ends <= 1, `${id} was ended ${ends} times`);
    if (!isWhole || left) continue;
    assert.ok(res.writableEnded || res.destroyed, `${id} has no end`);
    const events = decisions.byRequest.get(id) ?? [];
    if (res.writableEnded) {
      const isRefusal = events.includes('gatewayRefused');
      assert.ok(isRefusal || status > 0, `${id} has no status`);
      assert.ok(!events.includes('responseAborted'), `${id} ended and cut`);
    } else {
      const hasReason = events.some(event => reasons.has(event));
      assert.ok(hasReason, `${id} was cut without a reason`);
    }
  }
}

async function play(
  steps: readonly Step[],
  hostSeed: number,
  retrySlack: number,
): Promise<void> {
  const world = new World(hostSeed, retrySlack);
  world.configure(base);
  for (let i = 0; i < 4; i++) world.addTarget(i, 1);
  for (const [index, each] of steps.entries()) {
    playStep(world, each, index);
    await world.settle();
  }
  // The callers that still send a body leave; all deadlines pass.
  for (const caller of world.callers) {
    if (!caller.isWhole) caller.leave();
  }
  for (let passed = 0; passed <= maxDeadlineMs + maxOverdueMs; passed += 50) {
    world.clock.advance(50);
    await world.settle();
  }
  checkCallers(world);
  assert.equal(world.openRequests, 0, 'open requests');
  assert.equal(world.dispatcher.waiting, 0, 'waiting requests');
  assert.equal(world.slotsTaken, 0, 'taken slots');
  world.end();
}

// Guards against a request that gets neither a response nor a refusal in some order of events, and against a slot or a place
// in a queue that is never given back.
test('each request ends by its deadline whatever the order of events', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, {minLength: 20, maxLength: 200, size: 'max'}),
      fc.nat(1000),
      fc.constantFrom(0, 2, 100),
      play,
    ),
    {seed, numRuns: runs, endOnFailure: process.env.SHRINK === undefined},
  );
});
