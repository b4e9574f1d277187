import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  grants,
  outcome,
  refusals,
  request,
  schedulerWith,
  view,
} from './helpers.js';

const bounds = {queueLimits: [2, 2, 2, 2], queueTotal: 3};

/** Creates a scheduler with a small queue whose only slot runs a request that is not idempotent. */
function withBusyTarget() {
  const scheduler = schedulerWith([view('t')], bounds);
  scheduler.offer(request('running', {tier: 0, idempotent: false}), 0);
  return scheduler;
}

test('a request whose deadline passes in the queue is not left waiting', () => {
  const scheduler = withBusyTarget();
  scheduler.offer(request('a', {timeoutMs: 5000}), 0);
  assert.deepEqual(refusals(scheduler.tick(4999)), []);
  assert.deepEqual(refusals(scheduler.tick(5000)), [
    'a deadline-exceeded-waiting',
  ]);
});

test('a request that cannot complete in time behind the queue is refused at once', () => {
  const scheduler = schedulerWith([view('t')]);
  let [{permitId}] = grants(scheduler.offer(request('r'), 0));
  for (let i = 1; i <= 5; i++) {
    scheduler.offer(request(`q${i}`, {timeoutMs: 90_000}), i);
    const done = outcome('ok', {totalMs: 10_000, tokens: 10});
    [{permitId}] = grants(scheduler.complete(permitId, done, i));
  }
  scheduler.offer(request('ahead', {timeoutMs: 25_000}), 10);
  const late = scheduler.offer(request('late', {timeoutMs: 25_001}), 10);
  assert.deepEqual(refusals(late), []);
  const decisions = scheduler.offer(request('x', {timeoutMs: 25_002}), 10);
  assert.deepEqual(refusals(decisions), ['x deadline-unreachable']);
});

test('no request is accepted when no target is usable', () => {
  const scheduler = schedulerWith([view('t', {usable: false})]);
  const decisions = scheduler.offer(request('a'), 0);
  assert.deepEqual(refusals(decisions), ['a no-target']);
});

test('waiting requests are refused when the last target becomes unusable', () => {
  const scheduler = withBusyTarget();
  scheduler.offer(request('a'), 0);
  scheduler.setTargets([view('t', {usable: false})], 1);
  assert.deepEqual(refusals(scheduler.tick(2)), ['a no-target']);
});

test('the queue of a tier does not grow without bound', () => {
  const scheduler = withBusyTarget();
  scheduler.offer(request('a'), 0);
  scheduler.offer(request('b'), 0);
  const decisions = scheduler.offer(request('c'), 0);
  assert.deepEqual(refusals(decisions), ['c queue-full']);
});

test('a full queue sheds the lowest tier for a higher one', () => {
  const scheduler = withBusyTarget();
  scheduler.offer(request('t3', {tier: 3}), 0);
  scheduler.offer(request('t2', {tier: 2}), 0);
  scheduler.offer(request('t1', {tier: 1}), 0);
  const higher = scheduler.offer(request('u1', {tier: 1}), 0);
  assert.deepEqual(refusals(higher), ['t3 shed']);
  const lower = scheduler.offer(request('u3', {tier: 3}), 0);
  assert.deepEqual(refusals(lower), ['u3 queue-full']);
});

test('the top tier is not refused for a full queue while a lower tier waits', () => {
  const scheduler = withBusyTarget();
  scheduler.offer(request('low', {tier: 3}), 0);
  scheduler.offer(request('a', {tier: 0}), 0);
  scheduler.offer(request('b', {tier: 0}), 0);
  const decisions = scheduler.offer(request('c', {tier: 0}), 0);
  assert.deepEqual(refusals(decisions), ['low shed']);
});

test('a bursting organisation does not keep others out of a full queue', () => {
  const scheduler = withBusyTarget();
  scheduler.offer(request('a1', {organisation: 'a'}), 0);
  scheduler.offer(request('a2', {organisation: 'a', timeoutMs: 70_000}), 0);
  const decisions = scheduler.offer(request('b1', {organisation: 'b'}), 0);
  assert.deepEqual(refusals(decisions), ['a2 queue-full']);
});

test('an organisation does not exceed its limits', () => {
  const scheduler = schedulerWith([view('t', {maxConcurrency: 9})]);
  scheduler.setOrganisationLimits(
    new Map([
      ['slow', {requestsPerSecond: 1}],
      ['narrow', {concurrency: 1}],
    ]),
  );
  const offer = (organisation: string, id: string, nowMs: number) =>
    scheduler.offer(request(id, {organisation}), nowMs);
  assert.equal(grants(offer('slow', 's1', 0)).length, 1);
  assert.deepEqual(refusals(offer('slow', 's2', 500)), ['s2 rate-limited']);
  assert.equal(grants(offer('slow', 's3', 1000)).length, 1);
  const [{permitId}] = grants(offer('narrow', 'n1', 0));
  assert.deepEqual(refusals(offer('narrow', 'n2', 1)), [
    'n2 concurrency-limited',
  ]);
  scheduler.complete(permitId, outcome('ok'), 2);
  assert.equal(grants(offer('narrow', 'n3', 3)).length, 1);
});

test('a request that was cancelled while it waited is not granted later', () => {
  const scheduler = schedulerWith([view('t')]);
  const [{permitId}] = grants(scheduler.offer(request('a'), 0));
  scheduler.offer(request('b'), 0);
  scheduler.cancel('b', 1);
  assert.deepEqual(scheduler.complete(permitId, outcome('ok'), 2), []);
});

test('the top tier is not refused for a full queue while lower idempotent work runs', () => {
  const scheduler = schedulerWith([view('t', {maxConcurrency: 1})], bounds);
  scheduler.offer(request('low', {tier: 3}), 0);
  for (const id of ['a', 'b', 'c', 'd']) {
    const decisions = scheduler.offer(request(id, {tier: 0}), 0);
    // The first one preempts the lower tier; without a victim the bounds apply again.
    assert.deepEqual(refusals(decisions), id < 'c' ? [] : [`${id} queue-full`]);
  }
  const wide = schedulerWith([view('t', {maxConcurrency: 4})], bounds);
  for (let i = 0; i < 4; i++) wide.offer(request(`low${i}`, {tier: 3}), 0);
  for (const id of ['a', 'b', 'c', 'd']) {
    const decisions = wide.offer(request(id, {tier: 0}), 0);
    assert.deepEqual(refusals(decisions), []);
  }
});

/** A warm target of one slot that took 10 s for each of several responses, and runs one request. */
function withSlowResponses(
  running: Parameters<typeof request>[1],
  responses: number,
) {
  const scheduler = schedulerWith([view('t')]);
  let [{permitId}] = grants(scheduler.offer(request('r', running), 0));
  for (let i = 1; i <= responses; i++) {
    scheduler.offer(request(`q${i}`, running), i);
    const done = outcome('ok', {totalMs: 10_000, tokens: 10});
    [{permitId}] = grants(scheduler.complete(permitId, done, i));
  }
  return {scheduler, permitId};
}

test('no request is refused because of an estimate before enough responses were observed', () => {
  const {scheduler} = withSlowResponses({tier: 1}, 2);
  for (let i = 0; i < 9; i++) {
    const decisions = scheduler.offer(
      request(`w${i}`, {tier: 1, timeoutMs: 5000, maxTokens: 4000}),
      10,
    );
    assert.deepEqual(refusals(decisions), []);
  }
});

test('the top tier is not refused because of an estimate while lower tiers run or wait', () => {
  const top = (id: string) => request(id, {tier: 0, timeoutMs: 15_000});
  const fixed = {tier: 0, idempotent: false} as const;
  const alone = withSlowResponses(fixed, 5).scheduler;
  alone.offer(top('a'), 10);
  alone.offer(top('b'), 10);
  assert.deepEqual(refusals(alone.offer(top('c'), 10)), [
    'c deadline-unreachable',
  ]);
  const lower = withSlowResponses(fixed, 5).scheduler;
  lower.offer(request('low', {tier: 3}), 9);
  const runs = withSlowResponses({tier: 3}, 5).scheduler;
  for (const scheduler of [lower, runs]) {
    for (const id of ['a', 'b', 'c', 'd']) {
      assert.deepEqual(refusals(scheduler.offer(top(id), 10)), []);
    }
  }
});

test('a preempted request that returns to the queue is not refused because of an estimate', () => {
  const {scheduler} = withSlowResponses({tier: 0, idempotent: false}, 5);
  const late = {tier: 1, timeoutMs: 9000} as const;
  scheduler.offer(request('ahead', {tier: 1}), 10);
  const first = scheduler.offer(request('first', late), 10);
  assert.deepEqual(refusals(first), ['first deadline-unreachable']);
  const again = scheduler.offer(request('again', {...late, attempt: 1}), 10);
  assert.deepEqual(refusals(again), []);
});

test('limits that are still rising do not make deadlines look unreachable', () => {
  const cold = {coldConcurrency: 1, maxConcurrency: 16};
  const scheduler = schedulerWith([view('t', cold)]);
  let [{permitId}] = grants(scheduler.offer(request('r'), 0));
  for (let i = 1; i <= 5; i++) {
    scheduler.offer(request(`q${i}`), i);
    const done = outcome('ok', {totalMs: 2000, tokens: 10});
    [{permitId}] = grants(scheduler.complete(permitId, done, i));
  }
  for (let i = 0; i < 8; i++) {
    const req = request(`w${i}`, {timeoutMs: 6000});
    assert.deepEqual(refusals(scheduler.offer(req, 10)), []);
  }
});
