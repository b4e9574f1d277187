import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {GroupScheduler} from '../../../src/request/scheduler/group-scheduler.js';
import type {QueuedRequest} from '../../../src/request/scheduler/types.js';
import {
  grants,
  outcome,
  refusals,
  request,
  schedulerWith,
  view,
} from './helpers.js';

const twoTargets = ['a', 'b'].map(name => view(name, {maxConcurrency: 8}));
let nextNumber = 0;

function place(
  scheduler: GroupScheduler,
  other: Partial<QueuedRequest> = {},
  nowMs = 0,
) {
  return grants(scheduler.offer(request(`p${nextNumber++}`, other), nowMs))[0];
}

function fail(
  scheduler: GroupScheduler,
  count: number,
  other: Partial<QueuedRequest>,
  nowMs = 0,
): void {
  for (let i = 0; i < count; i++) {
    const {permitId} = place(scheduler, other, nowMs);
    scheduler.complete(permitId, outcome('failed', {tokens: 0}), nowMs);
  }
}

test('a request is not placed away from the target that caches its prefix', () => {
  const scheduler = schedulerWith(twoTargets);
  const prefixes = ['p1', 'p2'];
  scheduler.cacheEvent('b', {op: 'stored', prefixes, sequence: 1}, 0);
  const grant = place(scheduler, {prefixes, promptTokens: 2000});
  assert.equal(grant.target.name, 'b');
  assert.equal(grant.cachedTokens, 2000);
});

test('a popular prefix does not stay on one busy target', () => {
  const scheduler = schedulerWith(twoTargets);
  const prefixes = ['p'];
  const names = Array.from(
    {length: 12},
    () => place(scheduler, {prefixes, promptTokens: 500}).target.name,
  );
  assert.equal(new Set(names).size, 2);
});

test('lost cache events halve the expected cached tokens, and a cleared cache leaves none', () => {
  const scheduler = schedulerWith(twoTargets);
  const stored = {op: 'stored', prefixes: ['p']} as const;
  const cached = () => {
    const grant = place(scheduler, {prefixes: ['p'], promptTokens: 4000});
    scheduler.complete(grant.permitId, outcome('cancelled', {tokens: 0}), 0);
    return grant.cachedTokens;
  };
  scheduler.cacheEvent('a', {...stored, sequence: 1}, 0);
  scheduler.cacheEvent('a', {...stored, prefixes: ['q'], sequence: 3}, 0);
  assert.equal(cached(), 2000);
  scheduler.cacheEvent('a', {op: 'cleared', prefixes: [], sequence: 4}, 0);
  assert.equal(cached(), 0);
});

test('a freed slot goes to a request whose prefix the target caches', () => {
  const one = ['a', 'b'].map(name => view(name));
  const scheduler = schedulerWith(one);
  const put = (name: string, prefix: string) =>
    scheduler.cacheEvent(
      name,
      {op: 'stored', prefixes: [prefix], sequence: 1},
      0,
    );
  put('a', 'pa');
  put('b', 'pb');
  const long = {promptTokens: 2000, idempotent: false};
  place(scheduler, {prefixes: ['pa'], ...long});
  const {permitId} = place(scheduler, {prefixes: ['pb'], ...long});
  scheduler.offer(request('wants-a', {prefixes: ['pa'], ...long}), 0);
  scheduler.offer(request('wants-b', {prefixes: ['pb'], ...long}), 1);
  const [grant] = grants(scheduler.complete(permitId, outcome('ok'), 2));
  assert.equal(grant.requestId, 'wants-b');
});

test('a slow target does not get as many requests as a fast one', () => {
  const scheduler = schedulerWith(twoTargets);
  const counts = {a: 0, b: 0};
  for (let i = 0; i < 40; i++) {
    const grant = place(scheduler, {}, i);
    const slow = grant.target.name === 'a';
    const times = slow
      ? {firstTokenMs: 400, totalMs: 800}
      : {firstTokenMs: 50, totalMs: 100};
    scheduler.complete(grant.permitId, outcome('ok', times), i);
    counts[grant.target.name as 'a' | 'b']++;
  }
  assert.ok(counts.a <= 4, `${counts.a} of 40 went to the slow target`);
});

test('a retry does not go to a target that failed the request while another is usable', () => {
  const scheduler = schedulerWith(twoTargets);
  for (let i = 0; i < 5; i++) {
    assert.equal(place(scheduler, {avoid: ['a']}).target.name, 'b');
  }
  scheduler.setTargets([twoTargets[0], view('b', {usable: false})], 1);
  assert.equal(place(scheduler, {avoid: ['a']}).target.name, 'a');
});

test('a target that fails fast does not attract load', () => {
  const scheduler = schedulerWith(twoTargets);
  fail(scheduler, 3, {avoid: ['b']});
  for (let i = 0; i < 8; i++) {
    assert.equal(place(scheduler, {}, 10).target.name, 'b');
  }
  assert.equal(place(scheduler, {}, 999), undefined);
  // One probe after the pause, and no more until it has succeeded.
  const probe = place(scheduler, {}, 1001) ?? grants(scheduler.tick(1001))[0];
  assert.equal(probe.target.name, 'a');
  assert.equal(place(scheduler, {}, 1002), undefined);
  scheduler.complete(probe.permitId, outcome('ok'), 1100);
  assert.equal(scheduler.freeSlots > 0, true);
});

test('a target that fails on one route still serves the others', () => {
  const scheduler = schedulerWith([twoTargets[0]]);
  for (let i = 0; i < 3; i++) {
    fail(scheduler, 1, {route: '/bad'});
    const {permitId} = place(scheduler, {route: '/good'});
    scheduler.complete(permitId, outcome('ok'), 0);
  }
  assert.equal(place(scheduler, {route: '/bad'}, 10), undefined);
  assert.equal(place(scheduler, {route: '/good'}, 10).target.name, 'a');
});

test('a new version does not exceed its share of new grants or its requests in flight', () => {
  const scheduler = schedulerWith([
    view('old', {maxConcurrency: 500}),
    view('new', {maxConcurrency: 500, version: 'v2'}),
  ]);
  const count = (cap: {share: number; inFlight: number}) => {
    scheduler.setVersionCaps([{version: 'v2', ...cap}], 0);
    return Array.from(
      {length: 100},
      () => place(scheduler).target.version,
    ).filter(version => version === 'v2').length;
  };
  assert.equal(count({share: 0, inFlight: 9}), 0);
  // Its first grant comes only after twenty requests to the old version.
  assert.equal(count({share: 0.05, inFlight: 99}), 4);
  assert.equal(count({share: 0.05, inFlight: 6}), 2);
  assert.equal(count({share: 0, inFlight: 99}), 0);
});

test('a request waits when no version may get a grant', () => {
  const scheduler = schedulerWith([twoTargets[0]]);
  scheduler.setVersionCaps([{version: 'v1', share: 0, inFlight: 9}], 0);
  const decisions = scheduler.offer(request('w', {timeoutMs: 2000}), 0);
  assert.deepEqual(grants(decisions), []);
  assert.deepEqual(refusals(scheduler.tick(2000)), [
    'w deadline-exceeded-waiting',
  ]);
});

test('a permit counts for the version that it was granted for after its target changes version', () => {
  const scheduler = schedulerWith([view('t', {maxConcurrency: 4})]);
  const {permitId} = place(scheduler);
  scheduler.setTargets([view('t', {maxConcurrency: 4, version: 'v2'})], 1);
  scheduler.setVersionCaps([{version: 'v2', share: 1, inFlight: 2}], 1);
  place(scheduler, {}, 2);
  place(scheduler, {}, 2);
  scheduler.complete(permitId, outcome('ok'), 3);
  assert.equal(place(scheduler, {}, 4), undefined);
});

test('a request does not wait long for a busy target that caches its prefix', () => {
  const scheduler = schedulerWith(['a', 'b'].map(name => view(name)));
  const prefixes = ['p'];
  scheduler.cacheEvent('a', {op: 'stored', prefixes, sequence: 1}, 0);
  const withPrefix = {prefixes, promptTokens: 2000, idempotent: false};
  assert.equal(place(scheduler, {...withPrefix, tier: 0}).target.name, 'a');
  assert.equal(place(scheduler, {...withPrefix, tier: 0}, 1), undefined);
  // The slot that stays free in the meantime is reserved for the higher tier.
  assert.equal(place(scheduler, {tier: 3}, 2), undefined);
  assert.deepEqual(grants(scheduler.tick(40)), []);
  const [late] = grants(scheduler.tick(60));
  assert.equal(late.target.name, 'b');
});

test('a request that waits for a target that caches its prefix gets it as soon as it is free', () => {
  const scheduler = schedulerWith(['a', 'b'].map(name => view(name)));
  const prefixes = ['p'];
  scheduler.cacheEvent('a', {op: 'stored', prefixes, sequence: 1}, 0);
  const withPrefix = {
    prefixes,
    promptTokens: 2000,
    idempotent: false,
    tier: 0,
  } as const;
  const first = place(scheduler, withPrefix);
  assert.equal(place(scheduler, withPrefix, 1), undefined);
  assert.deepEqual(grants(scheduler.tick(5)), []);
  const [next] = grants(scheduler.complete(first.permitId, outcome('ok'), 10));
  assert.equal(next.target.name, 'a');
});
