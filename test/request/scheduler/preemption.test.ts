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

test('the permit whose preemption wastes least is preempted, lowest tier first', () => {
  const scheduler = schedulerWith([view('t', {maxConcurrency: 3})]);
  const permit = (id: string, tier: 1 | 3) =>
    grants(scheduler.offer(request(id, {tier}), 0))[0].permitId;
  permit('tier1', 1);
  const far = permit('far', 3);
  permit('near', 3);
  scheduler.progress(far, 0, 20, 30);
  const decisions = scheduler.offer(request('top', {tier: 0}), 31);
  assert.deepEqual(
    preemptions(decisions).map(one => one.requestId),
    ['near'],
  );
});

test('a partly relayed response is aborted only for a top-tier request at risk', () => {
  const scheduler = schedulerWith([view('t', {maxConcurrency: 3})]);
  const permit = (id: string, tier: 1 | 3) =>
    grants(scheduler.offer(request(id, {tier}), 0))[0].permitId;
  const open = [permit('tier1', 1), permit('far', 3), permit('near', 3)];
  open.forEach((id, i) => scheduler.progress(id, [1, 9, 2][i], 20, 30));
  const top = request('top', {tier: 0, timeoutMs: 5000, maxTokens: 1});
  scheduler.offer(top, 100);
  // A first token that misses its objective of 500 ms does not justify losing a response.
  assert.deepEqual(preemptions(scheduler.tick(1000)), []);
  // 500 ms, the objective for the first token, are reserved for the response.
  assert.deepEqual(preemptions(scheduler.tick(4599)), []);
  const [forced, ...others] = preemptions(scheduler.tick(4601));
  assert.equal(forced.requestId, 'near');
  assert.ok(forced.force);
  assert.deepEqual(others, []);
  assert.deepEqual(preemptions(scheduler.tick(4700)), []);
});

test('a partly relayed response is aborted before the deadline of a top-tier request passes', () => {
  const scheduler = schedulerWith([view('t')], {firstTokenTargetMs: 60_000});
  const [{permitId}] = grants(scheduler.offer(request('low', {tier: 3}), 0));
  scheduler.progress(permitId, 2, 20, 30);
  const top = request('top', {tier: 0, timeoutMs: 5000, maxTokens: 1});
  assert.deepEqual(preemptions(scheduler.offer(top, 100)), []);
  // A quarter of the time limit of 5 s is reserved, since the first-token objective is longer.
  assert.deepEqual(preemptions(scheduler.tick(3849)), []);
  assert.equal(preemptions(scheduler.tick(3851)).length, 1);
});

test('a declined preemption is replaced by one of another permit at once', () => {
  const scheduler = schedulerWith([view('t', {maxConcurrency: 3})]);
  for (const id of ['a', 'b']) scheduler.offer(request(id, {tier: 3}), 0);
  scheduler.offer(request('fixed', {tier: 3, idempotent: false}), 0);
  const top = request('top', {tier: 0, timeoutMs: 5000, maxTokens: 1});
  const [first] = preemptions(scheduler.offer(top, 1));
  const [second] = preemptions(scheduler.declined(first.permitId, 2));
  assert.notEqual(second.requestId, first.requestId);
  assert.ok(!first.force && !second.force);
  assert.deepEqual(preemptions(scheduler.declined(second.permitId, 3)), []);
  // Both responses are partly relayed; one is aborted when the request is at risk.
  const forced = preemptions(scheduler.tick(4600));
  assert.deepEqual(
    forced.map(({force}) => force),
    [true],
  );
  const after = scheduler.complete(
    forced[0].permitId,
    outcome('cancelled'),
    4601,
  );
  assert.deepEqual(
    grants(after).map(one => one.requestId),
    ['top'],
  );
});

test('a permit of a higher tier without a relayed response is preempted before one with', () => {
  const scheduler = schedulerWith([view('t', {maxConcurrency: 2})]);
  const [{permitId}] = grants(scheduler.offer(request('low', {tier: 3}), 0));
  scheduler.progress(permitId, 1, 20, 30);
  scheduler.offer(request('tier1', {tier: 1}), 31);
  const decisions = scheduler.offer(request('top', {tier: 0}), 32);
  assert.deepEqual(
    preemptions(decisions).map(one => one.requestId),
    ['tier1'],
  );
});

test('a partly relayed response is not aborted for a request below the top tier', () => {
  const scheduler = schedulerWith([view('t')]);
  const [{permitId}] = grants(scheduler.offer(request('low', {tier: 3}), 0));
  scheduler.progress(permitId, 1, 20, 30);
  scheduler.offer(request('tier1', {tier: 1}), 31);
  assert.deepEqual(preemptions(scheduler.tick(30_000)), []);
});

test('non-idempotent work is not preempted for a request at risk either', () => {
  const scheduler = schedulerWith([view('t')]);
  scheduler.offer(request('low', {tier: 3, idempotent: false}), 0);
  scheduler.offer(request('top', {tier: 0}), 1);
  assert.deepEqual(preemptions(scheduler.tick(59_900)), []);
});

test('work of the same tier is not preempted', () => {
  const scheduler = schedulerWith([view('t')]);
  scheduler.offer(request('a', {tier: 0}), 0);
  const decisions = scheduler.offer(request('b', {tier: 0}), 1);
  assert.deepEqual(preemptions(decisions), []);
});

test('nothing is preempted at a target whose freed slot could not be used', () => {
  const scheduler = schedulerWith([view('t')]);
  scheduler.offer(request('low', {tier: 3}), 0);
  scheduler.setTargets([view('t', {usable: false}), view('u')], 1);
  scheduler.offer(request('fixed', {tier: 0, idempotent: false}), 1);
  const decisions = scheduler.offer(request('top', {tier: 0}), 2);
  assert.deepEqual(preemptions(decisions), []);
});

/** Creates a scheduler whose permits were released once a millisecond until time 19. */
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

test('a brief shortage of slots preempts nothing while permits are released quickly', () => {
  const scheduler = quickReleases();
  const decisions = scheduler.offer(request('top', {tier: 0}), 20);
  assert.deepEqual(preemptions(decisions), []);
  assert.equal(preemptions(scheduler.tick(200)).length, 1);
});

test('a top-tier request preempts at once when permits are no longer released', () => {
  const scheduler = quickReleases();
  const decisions = scheduler.offer(request('top', {tier: 0}), 1000);
  assert.equal(preemptions(decisions).length, 1);
});

test('a permit without progress for a long time is preempted', () => {
  const scheduler = schedulerWith([view('t')]);
  scheduler.offer(request('a'), 0);
  assert.equal(preemptions(scheduler.tick(9000)).length, 0);
  assert.equal(preemptions(scheduler.tick(60_000)).length, 1);
});

test('no permit is preempted at a target that the top-tier request cannot use', () => {
  // Each freed slot would go to a lower tier again, and be preempted again without end.
  const scheduler = schedulerWith([view('failed'), view('busy')]);
  const fixed = request('fixed', {
    tier: 0,
    idempotent: false,
    avoid: ['failed'],
  });
  assert.equal(grants(scheduler.offer(fixed, 0)).length, 1);
  const low = scheduler.offer(request('low', {tier: 3}), 0);
  assert.equal(grants(low)[0].target.name, 'failed');
  const top = request('top', {tier: 0, attempt: 1, avoid: ['failed']});
  assert.deepEqual(preemptions(scheduler.offer(top, 1)), []);
});

test('no permit is preempted at a target that is too slow for the top-tier request', () => {
  const scheduler = schedulerWith([view('t')]);
  const [{permitId}] = grants(scheduler.offer(request('slow', {tier: 3}), 0));
  scheduler.progress(permitId, 1, 4000, 4000);
  scheduler.complete(permitId, {...outcome('ok'), firstTokenMs: 4000}, 5000);
  grants(scheduler.offer(request('low', {tier: 3}), 5001));
  const top = request('top', {tier: 0, timeoutMs: 20});
  assert.deepEqual(preemptions(scheduler.offer(top, 5002)), []);
});
