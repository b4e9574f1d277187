import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  grants,
  outcome,
  preemptions,
  request,
  schedulerWith,
  view,
} from './helpers.js';

test('a top-tier request does not wait for running lower-tier work', () => {
  const scheduler = schedulerWith([view('t')]);
  const [low] = grants(scheduler.offer(request('low', {tier: 3}), 0));
  const decisions = scheduler.offer(request('top', {tier: 0}), 1);
  assert.deepEqual(
    preemptions(decisions).map(one => one.permitId),
    [low.permitId],
  );
  // The slot is free only when the engine has confirmed the cancellation.
  assert.deepEqual(grants(decisions), []);
  const after = scheduler.complete(low.permitId, outcome('cancelled'), 2);
  assert.deepEqual(
    grants(after).map(one => one.requestId),
    ['top'],
  );
});

test('non-idempotent work is never preempted', () => {
  const scheduler = schedulerWith([view('t')]);
  scheduler.offer(request('low', {tier: 3, idempotent: false}), 0);
  const decisions = scheduler.offer(request('top', {tier: 0}), 1);
  assert.deepEqual(preemptions(decisions), []);
});

test('a waiting request does not preempt more than one permit', () => {
  const scheduler = schedulerWith([view('t', {maxConcurrency: 3})]);
  for (const id of ['a', 'b', 'c']) scheduler.offer(request(id, {tier: 3}), 0);
  const first = scheduler.offer(request('top', {tier: 0}), 1);
  assert.equal(preemptions(first).length, 1);
  assert.equal(preemptions(scheduler.tick(100)).length, 0);
});

test('the work that wastes least is preempted, of the lowest tier first', () => {
  const scheduler = schedulerWith([view('t', {maxConcurrency: 3})]);
  const permit = (id: string, tier: 1 | 3) =>
    grants(scheduler.offer(request(id, {tier}), 0))[0].permitId;
  permit('tier1', 1);
  const far = permit('far', 3);
  const near = permit('near', 3);
  scheduler.progress(far, 9, 20, 30);
  scheduler.progress(near, 2, 20, 30);
  const decisions = scheduler.offer(request('top', {tier: 0}), 31);
  assert.deepEqual(
    preemptions(decisions).map(one => one.requestId),
    ['near'],
  );
});

test('work of the same tier is not preempted', () => {
  const scheduler = schedulerWith([view('t')]);
  scheduler.offer(request('a', {tier: 0}), 0);
  const decisions = scheduler.offer(request('b', {tier: 0}), 1);
  assert.deepEqual(preemptions(decisions), []);
});

test('nothing is preempted where the slot could not be used', () => {
  const scheduler = schedulerWith([view('t')]);
  scheduler.offer(request('low', {tier: 3}), 0);
  scheduler.setTargets([view('t', {usable: false}), view('u')], 1);
  scheduler.offer(request('fixed', {tier: 0, idempotent: false}), 1);
  const decisions = scheduler.offer(request('top', {tier: 0}), 2);
  assert.deepEqual(preemptions(decisions), []);
});

/** Creates a scheduler whose permits came back once a millisecond until time 19. */
function quickReleases() {
  const scheduler = schedulerWith([view('t', {maxConcurrency: 4})]);
  const open = ['a', 'b', 'c', 'd'].map(
    id => grants(scheduler.offer(request(id, {tier: 3}), 0))[0].permitId,
  );
  for (let i = 0; i < 20; i++) {
    scheduler.offer(request(`n${i}`, {tier: 3}), i);
    const [next] = grants(
      scheduler.complete(open.shift() as string, outcome('ok'), i),
    );
    open.push(next.permitId);
  }
  return scheduler;
}

test('a momentary shortage of slots does not preempt work when slots return quickly', () => {
  const scheduler = quickReleases();
  const decisions = scheduler.offer(request('top', {tier: 0}), 20);
  assert.deepEqual(preemptions(decisions), []);
  assert.equal(preemptions(scheduler.tick(200)).length, 1);
});

test('a top-tier request preempts at once when slots have stopped returning', () => {
  const scheduler = quickReleases();
  const decisions = scheduler.offer(request('top', {tier: 0}), 1000);
  assert.equal(preemptions(decisions).length, 1);
});

test('a permit that makes no progress for long is taken back', () => {
  const scheduler = schedulerWith([view('t')]);
  scheduler.offer(request('a'), 0);
  assert.equal(preemptions(scheduler.tick(9000)).length, 0);
  assert.equal(preemptions(scheduler.tick(60_000)).length, 1);
});
