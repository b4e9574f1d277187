import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {GroupScheduler} from '../../../src/request/scheduler/group-scheduler.js';
import {grants, outcome, request, schedulerWith, view} from './helpers.js';

const cold = view('t', {maxConcurrency: 8, coldConcurrency: 2});
let nextNumber = 0;

/** Offers requests until none is granted and returns the permits. */
function fill(scheduler: GroupScheduler, nowMs: number): string[] {
  const permits: string[] = [];
  for (;;) {
    const id = `f${nextNumber++}`;
    const [grant] = grants(
      scheduler.offer(request(id, {idempotent: false}), nowMs),
    );
    if (!grant) {
      scheduler.cancel(id, nowMs);
      return permits;
    }
    permits.push(grant.permitId);
  }
}

/** Runs requests with good latencies one after the other. */
function runGood(scheduler: GroupScheduler, count: number, nowMs: number) {
  for (let i = 0; i < count; i++) {
    const [{permitId}] = grants(
      scheduler.offer(request(`g${nextNumber++}`), nowMs + i),
    );
    scheduler.complete(permitId, outcome('ok'), nowMs + i);
  }
}

test('a cold target does not get more requests than its cold limit', () => {
  assert.equal(fill(schedulerWith([cold]), 0).length, 2);
});

test('a cold limit does not double before eight good responses', () => {
  const scheduler = schedulerWith([cold]);
  runGood(scheduler, 7, 0);
  assert.equal(scheduler.limits().get('t'), 2);
  runGood(scheduler, 1, 10);
  assert.equal(scheduler.limits().get('t'), 4);
  runGood(scheduler, 16, 20);
  assert.equal(scheduler.limits().get('t'), 8);
});

test('slow first tokens do not raise a cold limit', () => {
  const scheduler = schedulerWith([cold]);
  for (let i = 0; i < 16; i++) {
    const [{permitId}] = grants(scheduler.offer(request(`s${i}`), i));
    const slow = outcome('ok', {firstTokenMs: 1001, totalMs: 1100});
    scheduler.complete(permitId, slow, i);
  }
  assert.equal(scheduler.limits().get('t'), 2);
});

test('the limit of a target that is still warming up does not rise', () => {
  const scheduler = schedulerWith([cold]);
  const windows = [500, 100, 100].map((totalMs, window) => {
    for (let i = 0; i < 8; i++) {
      const [{permitId}] = grants(
        scheduler.offer(request(`${window}.${i}`), 0),
      );
      scheduler.complete(permitId, outcome('ok', {totalMs}), 0);
    }
    return scheduler.limits().get('t');
  });
  // The second window shows that the first one was slow because the target was cold.
  assert.deepEqual(windows, [4, 4, 8]);
});

for (const result of ['not-started', 'broken', 'crashed'] as const) {
  test(`a target returns to its cold limit after one attempt ended as ${result}`, () => {
    const scheduler = schedulerWith([cold]);
    runGood(scheduler, 24, 0);
    const [{permitId}] = grants(scheduler.offer(request(result), 50));
    scheduler.complete(permitId, outcome(result, {tokens: 0}), 51);
    assert.equal(scheduler.limits().get('t'), 2);
  });
}

test('late first tokens return a target to its cold limit before the responses end', () => {
  const scheduler = schedulerWith([cold]);
  runGood(scheduler, 24, 0);
  const [a, b] = ['a', 'b'].map(
    id => grants(scheduler.offer(request(id), 50))[0],
  );
  scheduler.progress(a.permitId, 1, 800, 850);
  scheduler.progress(b.permitId, 1, 800, 850);
  assert.equal(scheduler.limits().get('t'), 2);
});

test('a target without a first token returns to its cold limit within about a second', () => {
  const scheduler = schedulerWith([cold]);
  runGood(scheduler, 24, 0);
  scheduler.offer(request('a'), 50);
  scheduler.tick(1050);
  assert.equal(scheduler.limits().get('t'), 2);
});

test('a restarted target returns to its cold limit', () => {
  const scheduler = schedulerWith([cold]);
  runGood(scheduler, 24, 0);
  const report = {running: 0, waiting: 0, ageMs: 0, cacheUse: 0};
  scheduler.loadReport('t', {...report, epoch: 1}, 50);
  assert.equal(scheduler.limits().get('t'), 8);
  scheduler.loadReport('t', {...report, epoch: 2}, 51);
  assert.equal(scheduler.limits().get('t'), 2);
});

test('the limit of a congested target falls, and rises again afterwards', () => {
  const scheduler = schedulerWith([cold]);
  runGood(scheduler, 24, 0);
  const [{permitId}] = grants(scheduler.offer(request('busy'), 50));
  scheduler.complete(permitId, outcome('busy', {tokens: 0}), 51);
  assert.equal(scheduler.limits().get('t'), 6);
  const permits = fill(scheduler, 52);
  assert.equal(permits.length, 6);
  for (let i = 0; i < 8; i++) {
    scheduler.complete(permits.shift() as string, outcome('ok'), 60 + i);
    permits.push(...fill(scheduler, 60 + i));
  }
  assert.equal(scheduler.limits().get('t'), 7);
});

test('the shares of two owners do not exceed the limit of a target', () => {
  for (const max of [1, 2, 3, 5, 8]) {
    for (const followers of [0, 1, 2, 3, 4, 5, 6, 7, 8]) {
      const [a, b] = [followers / 8, 1 - followers / 8].map(share => {
        const scheduler = schedulerWith([view('t', {maxConcurrency: max})]);
        scheduler.setShare(share, 0);
        return fill(scheduler, 0).length;
      });
      assert.ok(a + b <= max, `${followers} of 8 followers, limit ${max}`);
      // The owner with most of the followers can use even a limit of one, so that no cold target is
      // idle.
      assert.ok(a + b >= 1 || followers === 4, `${followers}, limit ${max}`);
    }
  }
});

test('a new owner stays within the cold limit until all permits are known', () => {
  const warm = view('t', {maxConcurrency: 8, coldConcurrency: 2});
  const scheduler = schedulerWith([warm], {recovering: true});
  for (let i = 0; i < 4; i++) {
    const permit = {
      permitId: `old-${i}`,
      request: request(`old${i}`, {idempotent: false}),
      target: 't',
      ageMs: 100,
      tokens: 5,
    };
    scheduler.adopt(permit, 0);
  }
  assert.equal(fill(scheduler, 0).length, 0);
  scheduler.recovered(1);
  // Four requests that generate tokens show that the target handles four, and no more than that.
  assert.equal(scheduler.limits().get('t'), 4);
  assert.equal(fill(scheduler, 1).length, 0);
  scheduler.complete('old-0', outcome('ok'), 2);
  assert.equal(fill(scheduler, 2).length, 1);
});

test('outstanding permits still count after their target was removed and added again', () => {
  const scheduler = schedulerWith([view('t', {maxConcurrency: 2})]);
  fill(scheduler, 0);
  scheduler.setTargets([], 1);
  scheduler.setTargets([view('t', {maxConcurrency: 2})], 2);
  assert.equal(fill(scheduler, 3).length, 0);
});

test('a response without streaming does not make its target look slow', () => {
  const scheduler = schedulerWith([cold]);
  runGood(scheduler, 24, 0);
  const before = scheduler.limits().get('t') as number;
  assert.equal(before, 8);
  const nonStreaming = {wholeAnswer: true, maxTokens: 200};
  // The first byte of a response that is not streamed comes with its last token.
  const done = outcome('ok', {firstTokenMs: 3000, totalMs: 3000, tokens: 200});
  for (let i = 0; i < 4; i++) {
    const atMs = 100 + 4000 * i;
    const [{permitId}] = grants(
      scheduler.offer(request(`w${i}`, nonStreaming), atMs),
    );
    scheduler.tick(atMs + 2900);
    scheduler.complete(permitId, done, atMs + 3000);
    assert.equal(scheduler.limits().get('t'), before);
  }
});

test('a target that is much too late with a response without streaming returns to its cold limit', () => {
  const scheduler = schedulerWith([cold]);
  runGood(scheduler, 24, 0);
  scheduler.offer(request('w', {wholeAnswer: true, maxTokens: 20}), 100);
  scheduler.tick(30_000);
  assert.equal(scheduler.limits().get('t'), cold.coldConcurrency);
});

test('the number of free slots follows grants, completions, shares and removed targets', () => {
  const views = ['t', 'u'].map(name => view(name, {maxConcurrency: 4}));
  const scheduler = schedulerWith(views);
  assert.equal(scheduler.freeSlots, 8);
  const permits = ['a', 'b', 'c'].map(
    id => grants(scheduler.offer(request(id), 0))[0].permitId,
  );
  assert.equal(scheduler.freeSlots, 5);
  scheduler.complete(permits[0], outcome('ok'), 1);
  assert.equal(scheduler.freeSlots, 6);
  scheduler.setShare(0.5, 2);
  assert.equal(scheduler.freeSlots, 2);
  scheduler.setShare(1, 3);
  scheduler.setTargets([views[0], {...views[1], usable: false}], 4);
  const used = grants(scheduler.offer(request('d'), 4)).length;
  assert.equal(used, 1);
  assert.ok(scheduler.freeSlots <= 3);
  scheduler.setTargets([views[0]], 5);
  scheduler.setTargets([], 6);
  assert.equal(scheduler.freeSlots, 0);
});
