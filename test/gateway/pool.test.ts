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
  localRequests = 0,
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
  target.localRequests = localRequests;
  return target;
}

const baseRequest = {
  promptTokens: 600,
  outputTokens: 200,
  longOutputTokens: 300,
  objectiveMs: 400,
  remainingMs: 12_000,
  zone: 'z',
  nowMs: 0,
};

// Guards against placement by load alone, which would fill slow engines first.
test('a busy fast engine is preferred to an idle slow one', () => {
  const targets = [createEngine('slow', 10), createEngine('fast', 4, 9)];
  assert.equal(chooseTarget(targets, baseRequest)?.entry.id, 'fast');
});

// Guards against processing long prompts again on another engine, and against an affinity that keeps
// sessions on an engine that became slow.
test('a session returns to the engine that cached its prompt unless that engine is slower', () => {
  const long = {...baseRequest, promptTokens: 20_000, cachedAt: 'b'};
  const targets = [createEngine('a', 4), createEngine('b', 4, 5)];
  assert.equal(chooseTarget(targets, long)?.entry.id, 'b');
  targets[1] = createEngine('b', 30, 5);
  assert.equal(chooseTarget(targets, long)?.entry.id, 'a');
});

// Guards against a late first token: pending prompts delay it although few requests run there.
test('a short request avoids an engine that is processing long prompts', () => {
  const reading = createEngine('reading', 4, 2);
  reading.localPendingTokens = 54_000;
  const targets = [reading, createEngine('slower', 7, 4)];
  const short = {...baseRequest, outputTokens: 24, longOutputTokens: 40};
  assert.equal(chooseTarget(targets, short)?.entry.id, 'slower');
  reading.localPendingTokens = 0;
  assert.equal(chooseTarget(targets, short)?.entry.id, 'reading');
});

// Guards against long responses that are aborted at the deadline with all their work lost.
test('a long response that a slow engine cannot complete in time goes to a busy fast one', () => {
  const long = {
    ...baseRequest,
    outputTokens: 2400,
    longOutputTokens: 3840,
    remainingMs: 15_000,
  };
  const targets = [createEngine('slow', 5, 0), createEngine('fast', 2.2, 9)];
  targets[1].localPendingTokens = 60_000;
  assert.equal(chooseTarget(targets, long)?.entry.id, 'fast');
});

// Guards against equal treatment of fast and slow engines until a restarted host has its own samples.
test('a restarted host uses the token times that other hosts measured', () => {
  const fast = createEngine('fast', 0, 0, 3);
  const slow = createEngine('slow', 0, 0, 12);
  assert.equal(chooseTarget([slow, fast], baseRequest)?.entry.id, 'fast');
});

// Guards against a target that attracts requests because it fails them quickly.
test('a fast target with a high failure rate is avoided', () => {
  const failing = createEngine('failing', 2);
  for (let i = 0; i < 10; i++) {
    failing.recordOutcome(i % 2 ? outcomes.failed : outcomes.answered, 0);
  }
  assert.equal(
    chooseTarget([failing, createEngine('healthy', 5)], baseRequest)?.entry.id,
    'healthy',
  );
});

// Guards against attempts wasted on a crashed target, and against ignoring one that has recovered.
test('an unreachable target is suspended for increasing but bounded times', () => {
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
  let remainingMs = slotMs;
  while (remainingMs > 0 && queue.size > 0) {
    const [head] = queue.heads(0);
    queue.remove(head, true);
    remainingMs -= head.costMs;
    served.set(head.rank, (served.get(head.rank) ?? 0) + 1);
  }
  return served;
}

// Guards against strict priorities: urgent requests alone can fill all slots under overload.
test('under overload no rank starves and the most urgent one gets most slots', () => {
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
  // Each of the two ranks that would starve is guaranteed an eighth of the slot time.
  assert.ok(a > b && b >= c && c >= 30, `${a} ${b} ${c}`);
});

// Guards against an order by rank alone, which ignores how long a request occupies its slot.
test('short requests of the last rank are served while long ones of the first rank wait', () => {
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

// Guards against slots spent on requests that miss their objective in any case.
test('a request that can still meet its objective is served before a late one', () => {
  const queue = new RankQueue<QueuedItem>();
  queue.push({rank: 0, organisationRank: 0, costMs: 1, dueAtMs: 5});
  queue.push({rank: 1, organisationRank: 0, costMs: 1, dueAtMs: 100});
  assert.equal(queue.heads(50)[0].rank, 1);
});

// Guards against waits after which the objective is missed, and against refusing a retry again early.
test('a first attempt waits no longer than its objective, a retry may wait longer', () => {
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

// Guards against callers that ignore a long Retry-After, and against retries that arrive all at once.
test('Retry-After stays within the time that callers honour, and spreads retries', () => {
  for (const draw of [0, 0.5, 0.99]) {
    assert.ok(computeRetryAfterMs(10_000, 3000, draw) <= 1000);
  }
  assert.notEqual(
    computeRetryAfterMs(500, 12_000, 0),
    computeRetryAfterMs(500, 12_000, 0.9),
  );
});

// Guards against double counting when a host reports again, and against load of hosts that are gone.
test('reports of other hosts are summed up, and dropped when a host falls silent', () => {
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

// Guards against requests to a target whose load the hosts have not reported yet.
test('the load that a target reports temporarily overrides older reports of hosts', () => {
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
  // A rollout waits until no request is left on the old version, so it must not miss one.
  assert.equal(target.hostReportedLoad, 2);
});

// Guards against messages that fill the links between hosts: each repeated the speeds of all targets, and what
// other messages said about leaving targets waited or was lost.
test('an idle target is reported once after its speed was measured, and to hosts that have just started', () => {
  const target = createEngine('t', 4);
  const report = {load: 0, pendingPromptTokens: 0, tokenMs: 4};
  assert.deepEqual(target.takeReport(false), report);
  assert.equal(target.takeReport(false), undefined);
  assert.deepEqual(target.takeReport(true), report);
  target.localRequests = 1;
  assert.deepEqual(target.takeReport(false), {...report, load: 1});
});

// Guards against many hosts that send to the same target, because it was idle in their latest reports.
test('all hosts agree on which host each slot of a target belongs to', () => {
  const hosts = Array.from({length: 69}, (_, i) => `host-${i}`);
  const hostShares = hosts.map(host => new SlotShares(host));
  for (const each of hostShares) each.setHosts([...hosts].reverse());
  const owned = hosts.map(() => 0);
  for (let id = 0; id < 98; id++) {
    const slots = hostShares.map(each => each.of(`i-${id}`, 6));
    assert.equal(
      slots.reduce((sum, n) => sum + n, 0),
      6,
    );
    slots.forEach((n, i) => (owned[i] += n));
  }
  assert.ok(Math.min(...owned) >= 2, 'every host owns some slots');
  // The slots of hosts that fall silent are divided among the others.
  for (const each of hostShares) each.setHosts(hosts.slice(0, 3));
  const remapped = hostShares.slice(0, 3).map(each => each.of('i-0', 6));
  assert.deepEqual(remapped, [2, 2, 2]);
});

// Guards against long responses placed on slow engines because their estimate was drawn to the mean.
test("a caller's length estimate is weighted by the past accuracy of such estimates", () => {
  const random = createRandom(7);
  const draw = () => Math.max(1e-9, random());
  const normal = () =>
    Math.sqrt(-2 * Math.log(draw())) * Math.cos(2 * Math.PI * draw());
  const [accurate, inaccurate] = [new LengthEstimator(), new LengthEstimator()];
  let covered = 0;
  for (let i = 0; i < 2000; i++) {
    const tokens = Math.exp(Math.log(250) + normal());
    const hint = tokens * Math.exp(0.5 * normal());
    if (i >= 1000 && tokens <= accurate.estimate(hint).long) covered++;
    accurate.record(tokens, hint);
    inaccurate.record(tokens, Math.exp(Math.log(250) + normal()));
  }
  const weighted = accurate.estimate(2500);
  assert.ok(weighted.mean > 1400 && weighted.long > 2000, `${weighted.mean}`);
  assert.ok(inaccurate.estimate(2500).mean < 1000);
  assert.ok(covered > 780 && covered < 900, `${covered} of 1000 within`);
});
