import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  grantOrder,
  grants,
  outcome,
  request,
  schedulerWith,
  view,
} from './helpers.js';

/** Creates a scheduler whose only slot runs a request; returns its permit, too. */
function withBusyTarget() {
  const scheduler = schedulerWith([view('t')]);
  const [{permitId}] = grants(
    scheduler.offer(request('first', {idempotent: false}), 0),
  );
  return {scheduler, permitId};
}

test('a lower tier is not served before a higher one that arrived later', () => {
  const {scheduler, permitId} = withBusyTarget();
  for (const tier of [3, 1, 2, 0] as const) {
    scheduler.offer(request(`t${tier}`, {tier}), 0);
  }
  assert.deepEqual(grantOrder(scheduler, permitId, 1), [
    't0',
    't1',
    't2',
    't3',
  ]);
});

test('an organisation with many requests does not delay one with few', () => {
  const {scheduler, permitId} = withBusyTarget();
  for (let i = 0; i < 6; i++) {
    scheduler.offer(request(`a${i}`, {organisation: 'a'}), 0);
  }
  scheduler.offer(request('b0', {organisation: 'b'}), 0);
  scheduler.offer(request('b1', {organisation: 'b'}), 0);
  const order = grantOrder(scheduler, permitId, 1);
  assert.ok(order.indexOf('b1') <= 3, order.join());
});

test('an organisation with twice the weight gets twice the share', () => {
  const {scheduler, permitId} = withBusyTarget();
  for (let i = 0; i < 8; i++) {
    scheduler.offer(request(`a${i}`, {organisation: 'a', weight: 2}), 0);
    scheduler.offer(request(`b${i}`, {organisation: 'b', weight: 1}), 0);
  }
  const six = grantOrder(scheduler, permitId, 1).slice(0, 6);
  assert.equal(six.filter(id => id.startsWith('a')).length, 4, six.join());
});

test('an organisation whose responses are longer than expected is charged for them', () => {
  const {scheduler, permitId} = withBusyTarget();
  for (let i = 0; i < 4; i++) {
    for (const organisation of ['a', 'b']) {
      scheduler.offer(
        request(`${organisation}${i}`, {organisation, maxTokens: undefined}),
        0,
      );
    }
  }
  const order: string[] = [];
  let next = permitId;
  for (let i = 0; i < 6; i++) {
    const long = order.at(-1)?.startsWith('a');
    const tokens = long ? 1000 : 10;
    const [grant] = grants(
      scheduler.complete(next, outcome('ok', {tokens}), 1 + i),
    );
    order.push(grant.requestId);
    next = grant.permitId;
  }
  assert.deepEqual(order, ['a0', 'b0', 'b1', 'b2', 'b3', 'a1']);
});

test('a request with a late deadline is not served before an urgent one', () => {
  const {scheduler, permitId} = withBusyTarget();
  scheduler.offer(request('late', {timeoutMs: 50_000}), 0);
  scheduler.offer(request('soon', {timeoutMs: 20_000}), 0);
  assert.deepEqual(grantOrder(scheduler, permitId, 1), ['soon', 'late']);
});

test('a retry is not served before a first attempt of its tier', () => {
  const {scheduler, permitId} = withBusyTarget();
  scheduler.offer(request('retry', {attempt: 1, timeoutMs: 20_000}), 0);
  scheduler.offer(request('lower', {tier: 2}), 0);
  scheduler.offer(request('first-try', {organisation: 'b'}), 0);
  const order = grantOrder(scheduler, permitId, 1);
  assert.deepEqual(order, ['first-try', 'retry', 'lower']);
});
