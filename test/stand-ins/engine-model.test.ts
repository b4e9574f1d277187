import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  defaultEngineModelCfg,
  EngineModel,
  type EngineEvent,
  type EngineModelCfg,
} from '../../stand-ins/engine-model.js';
import {seededRandom} from '../../stand-ins/seeded-random.js';

const warm = {coldMs: 0, cacheEventGapShare: 0};

function create(cfg: Partial<EngineModelCfg> = {}, seed = 1): EngineModel {
  return new EngineModel(
    {...defaultEngineModelCfg, ...warm, ...cfg},
    seededRandom(seed),
  );
}

function req(id: string, promptTokens = 100, outputTokens = 10) {
  return {id, promptTokens, outputTokens, prefixes: [] as string[]};
}

function drain(model: EngineModel): EngineEvent[] {
  const events: EngineEvent[] = [];
  let next: number | undefined;
  while ((next = model.nextEventMs()) !== undefined) {
    events.push(...model.advance(next));
  }
  return events;
}

function endOf(events: EngineEvent[], id: string): number {
  const end = events.find(
    event => event.kind === 'finished' && event.id === id,
  );
  assert.ok(end, `${id} did not finish`);
  return end.atMs;
}

test('a bigger batch and more prefill make each step longer', () => {
  const alone = create();
  alone.submit(req('a'), 0);
  const aloneMs = endOf(drain(alone), 'a');
  const crowded = create();
  for (const id of ['a', 'b', 'c', 'd']) crowded.submit(req(id), 0);
  const crowdedMs = endOf(drain(crowded), 'a');
  // The first step starts with `a` alone; the second processes 300 prompt tokens beside it, and
  // in 8 more steps 3 more requests decode.
  assert.equal(Math.round((crowdedMs - aloneMs) * 10), (8 * 3 * 0.4 + 12) * 10);
});

test('a long prompt is processed in chunks and does not stop the others', () => {
  const model = create();
  model.submit(req('short', 10, 50), 0);
  model.submit(req('long', 5000, 1), 0);
  const events = drain(model);
  const firstLong = events.findIndex(
    event => event.kind === 'firstToken' && event.id === 'long',
  );
  const before = events
    .slice(0, firstLong)
    .filter(event => event.kind === 'token' && event.id === 'short');
  // One in the step before the long prompt arrived, one beside each of its first 4 chunks.
  assert.equal(before.length, 5);
});

test('a cold engine crashes above its cold concurrency and starts again with a new epoch', () => {
  const model = create({coldMs: 1000, coldConcurrency: 2, loadLagMs: 0});
  model.submit(req('a'), 0);
  model.submit(req('b'), 0);
  assert.equal(model.submit(req('c'), 0), true);
  const events = model.advance(0);
  assert.deepEqual(
    events.map(event => event.kind),
    ['failed', 'failed', 'failed', 'crashed'],
  );
  assert.equal(model.submit(req('d'), 10), false);
  model.advance(3000);
  assert.equal(model.loadReport(3000).epoch, 2);
  assert.equal(model.submit(req('d'), 3000), true);
});

test('a cold engine is slower until it generated enough tokens', () => {
  const model = create({coldMs: 1e9, coldTokens: 5, coldFactor: 4});
  model.submit(req('a', 1, 20), 0);
  const times = drain(model)
    .filter(event => event.kind === 'token')
    .map(event => event.atMs);
  assert.ok(times[3] - times[2] > 3.9 * (times[9] - times[8]));
});

test('a cached prefix shortens prefill and memory pressure evicts it', () => {
  const model = create({memoryTokens: 4000, perPrefillTokenMs: 1});
  const prefixes = ['p1', 'p2', 'p3', 'p4'];
  model.submit({...req('a', 1024, 1), prefixes}, 0);
  const first = endOf(drain(model), 'a');
  model.submit({...req('b', 1024, 1), prefixes}, first);
  const hit = drain(model).find(event => event.kind === 'finished');
  assert.equal(hit?.kind === 'finished' && hit.cachedTokens, 1023);
  assert.ok((hit?.atMs ?? 0) - first < first / 10);
  model.submit(req('big', 3900, 1), 2000);
  drain(model);
  assert.deepEqual(
    model.cacheEvents(1e6).map(event => event.op),
    ['stored', 'evicted'],
  );
});

test('requests wait while memory is full, and cancel frees it', () => {
  const model = create({memoryTokens: 1000, loadLagMs: 0});
  model.submit(req('a', 500, 400), 0);
  model.submit(req('b', 500, 400), 0);
  assert.equal(model.loadReport(1).waiting, 1);
  assert.equal(model.cancel('a', 50), true);
  const events = drain(model);
  assert.ok(
    !events.some(event => event.kind === 'finished' && event.id === 'a'),
  );
  endOf(events, 'b');
});

test('a load report shows the state of an earlier time', () => {
  const model = create({loadLagMs: 500});
  model.submit(req('a', 100, 100), 1000);
  assert.equal(model.loadReport(1400).running, 0);
  assert.equal(model.loadReport(1501).running, 1);
});

test('faults keep to their route, batch size and time', () => {
  const count = (fault: object, route: string, atMs: number, n = 1) => {
    const model = create();
    model.setFault({failShare: 1, ...fault});
    for (let i = 0; i < n; i++) model.submit({...req(`r${i}`), route}, atMs);
    return drain(model).filter(event => event.kind === 'failed').length;
  };
  assert.equal(count({route: '/x'}, '/x', 0), 1);
  assert.equal(count({route: '/x'}, '/y', 0), 0);
  assert.equal(count({aboveBatch: 2}, '/x', 0, 2), 0);
  assert.ok(count({aboveBatch: 2}, '/x', 0, 6) > 0);
  assert.equal(count({fromMs: 100}, '/x', 0), 0);
  assert.equal(count({fromMs: 100}, '/x', 100), 1);
});

test('a slow fault on one route leaves the other route at full speed', () => {
  const run = (fault?: {slowFactor: number; route: string}) => {
    const model = create();
    model.setFault(fault);
    model.submit({...req('x'), route: '/x'}, 0);
    model.submit({...req('y'), route: '/y'}, 0);
    return drain(model);
  };
  const slow = run({slowFactor: 3, route: '/x'});
  assert.ok(endOf(slow, 'x') > 2.5 * endOf(run(), 'x'));
  assert.ok(endOf(slow, 'y') <= endOf(run(), 'y'));
});

test('a request with the marker crashes the engine with everything in it', () => {
  const model = create();
  model.setFault({crashMarker: 'boom'});
  model.submit(req('a'), 0);
  model.submit({...req('b'), content: 'x boom y'}, 1);
  assert.deepEqual(
    drain(model).map(event => event.kind),
    ['failed', 'failed', 'crashed'],
  );
});

test('the same seed gives the same events, another seed gives others', () => {
  const run = (seed: number) => {
    const model = create({cacheEventGapShare: 0.3}, seed);
    model.setFault({failShare: 0.5});
    for (let i = 0; i < 20; i++) {
      model.submit({...req(`r${i}`, 300, 20), prefixes: [`p${i}`]}, i * 7);
    }
    return JSON.stringify([drain(model), model.cacheEvents(1e6)]);
  };
  assert.equal(run(7), run(7));
  assert.notEqual(run(7), run(8));
});
