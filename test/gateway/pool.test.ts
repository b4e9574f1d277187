import assert from 'node:assert/strict';
import {test} from 'node:test';
import {chooseTarget} from '../../src/process/pool/choose-target.js';
import {LoadReports} from '../../src/process/pool/load-reports.js';
import {outcomes, PooledTarget} from '../../src/process/pool/pooled-target.js';
import {SlotShares} from '../../src/process/pool/slot-shares.js';
import {RankQueue} from '../../src/process/pool/rank-queue.js';
import {createRandom} from '../../src/process/random.js';
import {LengthEstimator} from '../../src/request/gateway/length-estimate.js';
import {
  maxWaitMs,
  computeRetryAfterMs,
} from '../../src/request/gateway/wait-policy.js';

function createEngine(
  id: string,
  tokenMs: number,
  own = 0,
  reportedTokenMs = 0,
): PooledTarget {
  const target = new PooledTarget(
    {
      id,
      service: 's',
      address: '10.0.0.1:80',
      zone: 'z',
      version: 'v1',
      slots: 10,
      draining: false,
      coldMs: 0,
      bornMs: 0,
    },
    {load: 0, pendingPromptTokens: 0, tokenMs: reportedTokenMs},
  );
  if (tokenMs > 0) target.sampleTokenMs(tokenMs);
  target.localRequests = own;
  return target;
}

const demand = {
  promptTokens: 600,
  outputTokens: 200,
  longOutputTokens: 300,
  objectiveMs: 400,
  remainingMs: 12_000,
  zone: 'z',
  nowMs: 0,
};

test('engines of unlike speed: the faster one is filled first', () => {
  const targets = [createEngine('slow', 10), createEngine('fast', 4, 9)];
  assert.equal(chooseTarget(targets, demand)?.entry.id, 'fast');
});

test('a session goes back to the engine that read its prompt while that is not slower', () => {
  const long = {...demand, promptTokens: 20_000, cachedAt: 'b'};
  const targets = [createEngine('a', 4), createEngine('b', 4, 5)];
  assert.equal(chooseTarget(targets, long)?.entry.id, 'b');
  targets[1] = createEngine('b', 30, 5);
  assert.equal(chooseTarget(targets, long)?.entry.id, 'a');
});

test('long prompts: a request does not queue behind them where another engine is free', () => {
  const reading = createEngine('reading', 4, 2);
  reading.localPendingTokens = 54_000;
  const targets = [reading, createEngine('slower', 7, 4)];
  const short = {...demand, outputTokens: 24, longOutputTokens: 40};
  assert.equal(chooseTarget(targets, short)?.entry.id, 'slower');
  reading.localPendingTokens = 0;
  assert.equal(chooseTarget(targets, short)?.entry.id, 'reading');
});

test('long answers: one that a slow engine could not end in time goes to a fast one that is full', () => {
  const long = {
    ...demand,
    outputTokens: 2400,
    longOutputTokens: 3840,
    remainingMs: 15_000,
  };
  const targets = [createEngine('slow', 5, 0), createEngine('fast', 2.2, 9)];
  targets[1].localPendingTokens = 60_000;
  assert.equal(chooseTarget(targets, long)?.entry.id, 'fast');
});

test('a host that was restarted uses the speeds that others measured', () => {
  const fast = createEngine('fast', 0, 0, 3);
  const slow = createEngine('slow', 0, 0, 12);
  assert.equal(chooseTarget([slow, fast], demand)?.entry.id, 'fast');
});

test('a target that fails part of its requests is avoided although it answers fast', () => {
  const failing = createEngine('failing', 2);
  for (let i = 0; i < 10; i++) {
    failing.recordOutcome(i % 2 ? outcomes.failed : outcomes.answered, 0);
  }
  assert.equal(
    chooseTarget([failing, createEngine('sound', 5)], demand)?.entry.id,
    'sound',
  );
});

test('an unreachable target is suspended, longer each time, and not for good', () => {
  const target = createEngine('t', 4);
  assert.equal(target.recordOutcome(outcomes.unreachable, 0), true);
  const first = target.suspendedUntilMs;
  assert.ok(first > 0);
  target.recordOutcome(outcomes.unreachable, first + 1);
  assert.ok(target.suspendedUntilMs - (first + 1) > first);
  for (let i = 0; i < 20; i++) {
    target.recordOutcome(outcomes.unreachable, target.suspendedUntilMs + 1);
  }
  assert.ok(target.suspendedUntilMs < 60_000);
});

interface QueuedItem {
  readonly rank: number;
  readonly organisationRank: number;
  readonly costMs: number;
  readonly dueAtMs: number;
}

function serveByRank(
  items: readonly QueuedItem[],
  slotMs: number,
): Map<number, number> {
  const queue = new RankQueue<QueuedItem>();
  for (const item of items) queue.push(item);
  const served = new Map<number, number>();
  let left = slotMs;
  while (left > 0 && queue.size > 0) {
    const [head] = queue.heads(0);
    queue.remove(head, true);
    left -= head.costMs;
    served.set(head.rank, (served.get(head.rank) ?? 0) + 1);
  }
  return served;
}

test('overload of all ranks: none starves, the most urgent gets most of the slots', () => {
  const items = [0, 1, 2].flatMap(rank =>
    Array.from({length: 300}, () => ({
      rank,
      organisationRank: 0,
      costMs: 10,
      dueAtMs: 1e9,
    })),
  );
  const served = serveByRank(items, 3000);
  const [a, b, c] = [0, 1, 2].map(rank => served.get(rank) ?? 0);
  // The guarantee of the two ranks that would starve is an eighth of the slot time each.
  assert.ok(a > b && b >= c && c >= 30, `${a} ${b} ${c}`);
});

test('short requests of the last rank pass while long ones of the first wait', () => {
  const long = Array.from({length: 50}, () => ({
    rank: 0,
    organisationRank: 0,
    costMs: 1800,
    dueAtMs: 1e9,
  }));
  const short = Array.from({length: 50}, () => ({
    rank: 2,
    organisationRank: 0,
    costMs: 100,
    dueAtMs: 1e9,
  }));
  const served = serveByRank([...long, ...short], 40_000);
  assert.equal(served.get(2), 50);
});

test('a request that can meet its objective goes before one that is late', () => {
  const queue = new RankQueue<QueuedItem>();
  queue.push({rank: 0, organisationRank: 0, costMs: 1, dueAtMs: 5});
  queue.push({rank: 1, organisationRank: 0, costMs: 1, dueAtMs: 100});
  assert.equal(queue.heads(50)[0].rank, 1);
});

test('a request waits no longer than its objective, one that came back longer', () => {
  const input = {
    objectiveMs: 400,
    remainingMs: 12_000,
    responseMs: 100,
    isRetry: false,
    stream: true,
  };
  assert.ok(maxWaitMs(input) <= 400);
  assert.ok(maxWaitMs({...input, isRetry: true}) > 400);
  assert.equal(maxWaitMs({...input, remainingMs: 50}), 0);
});

test('a time to come back is one that callers honour, and spreads them', () => {
  for (const draw of [0, 0.5, 0.99]) {
    assert.ok(computeRetryAfterMs(10_000, 3000, draw) <= 1000);
  }
  assert.notEqual(
    computeRetryAfterMs(500, 12_000, 0),
    computeRetryAfterMs(500, 12_000, 0.9),
  );
});

test('reports of other hosts add up, and end with the hosts that are not heard any more', () => {
  const reports = new LoadReports();
  const report = (load: number) => ({
    t: {load, pendingPromptTokens: load * 100, tokenMs: 4},
  });
  reports.apply('a', report(3));
  reports.apply('b', report(2));
  reports.apply('a', report(1));
  assert.deepEqual(reports.of('t'), {
    load: 3,
    pendingPromptTokens: 300,
    tokenMs: 4,
  });
  reports.apply('b', {});
  assert.equal(reports.of('t').load, 1);
  reports.retainHosts(new Set(['b']));
  assert.deepEqual(reports.of('t'), {
    load: 0,
    pendingPromptTokens: 0,
    tokenMs: 4,
  });
});

test('the load that a target states goes before older reports of hosts, for a while', () => {
  const reports = new LoadReports();
  const target = new PooledTarget(createEngine('t', 4).entry, reports.of('t'));
  reports.apply('a', {t: {load: 2, pendingPromptTokens: 0, tokenMs: 4}});
  target.localRequests = 1;
  assert.equal(target.loadAt(0), 3);
  target.recordTargetLoad({running: 6, waiting: 2}, 0);
  assert.equal(target.loadAt(100), 8);
  target.localRequests = 0;
  assert.equal(target.loadAt(100), 7);
  assert.equal(target.loadAt(1000), 2);
  target.recordTargetLoad({running: 0, waiting: 0}, 1000);
  assert.equal(target.loadAt(1100), 0);
  // A rollout that waits for the last request of the old version must not miss one.
  assert.equal(target.hostReportedLoad, 2);
});

// Guards against many hosts that all send to the target which was idle when they last heard of it.
test('late news: each slot of a target belongs to one host, and all hosts agree on it', () => {
  const hosts = Array.from({length: 69}, (_, i) => `host-${i}`);
  const shares = hosts.map(host => new SlotShares(host));
  for (const each of shares) each.setHosts([...hosts].reverse());
  const owned = hosts.map(() => 0);
  for (let id = 0; id < 98; id++) {
    const slots = shares.map(each => each.of(`i-${id}`, 6));
    assert.equal(
      slots.reduce((sum, n) => sum + n, 0),
      6,
    );
    slots.forEach((n, i) => (owned[i] += n));
  }
  assert.ok(Math.min(...owned) >= 2, 'every host owns some slots');
  // A host that is not heard any more leaves its slots to the others.
  for (const each of shares) each.setHosts(hosts.slice(0, 3));
  const left = shares.slice(0, 3).map(each => each.of('i-0', 6));
  assert.deepEqual(left, [2, 2, 2]);
});

// Guards against long answers that are given to slow engines because their estimate was drawn to the mean.
test('long answers: a caller that estimates a long one is believed as far as its kind has been right', () => {
  const random = createRandom(7);
  const draw = () => Math.max(1e-9, random());
  const normal = () =>
    Math.sqrt(-2 * Math.log(draw())) * Math.cos(2 * Math.PI * draw());
  const [good, poor] = [new LengthEstimator(), new LengthEstimator()];
  let covered = 0;
  for (let i = 0; i < 2000; i++) {
    const tokens = Math.exp(Math.log(250) + normal());
    const hint = tokens * Math.exp(0.5 * normal());
    if (i >= 1000 && tokens <= good.estimate(hint).long) covered++;
    good.record(tokens, hint);
    poor.record(tokens, Math.exp(Math.log(250) + normal()));
  }
  const believed = good.estimate(2500);
  assert.ok(believed.mean > 1400 && believed.long > 2000, `${believed.mean}`);
  assert.ok(poor.estimate(2500).mean < 1000);
  assert.ok(covered > 780 && covered < 900, `${covered} of 1000 within`);
});
