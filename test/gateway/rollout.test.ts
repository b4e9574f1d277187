import assert from 'node:assert/strict';
import {test} from 'node:test';
import {feeds} from '../../src/connection/store/shared-store.js';
import {Logger} from '../../src/process/logger.js';
import {DeploymentState} from '../../src/version/deployment/deployment-state.js';
import {RolloutController} from '../../src/version/deployment/rollout-controller.js';
import {nextRolloutStep} from '../../src/version/deployment/rollout-step.js';
import {StateFeed} from '../../src/version/deployment/state-feed.js';
import {
  canaryPhases,
  CanaryRouter,
} from '../../src/version/deployment/canary-router.js';
import {
  evaluateVersion,
  CanaryEvaluator,
  verdicts,
  type EvidenceCell,
} from '../../src/version/deployment/canary-evaluator.js';
import {rolloutStates} from '../../src/version/deployment/types.js';
import {ManualClock} from '../../stand-ins/manual-clock.js';
import {MemoryStore} from './memory-store.js';

const order = {service: 's', version: 'v2', durationMs: 12_000};

function cell(requests: number, failures: number, ms: number): EvidenceCell {
  return {
    requests,
    failures,
    logLatencySum: (requests - failures) * Math.log(ms),
  };
}

test('a canary gets its share of the requests and no others', () => {
  const router = new CanaryRouter(0.1);
  router.begin(order, 5);
  let canaryRequests = 0;
  for (let i = 0; i < 1000; i++)
    if (router.assignToCanary('s')) canaryRequests++;
  assert.ok(
    canaryRequests > 50 && canaryRequests <= 100,
    String(canaryRequests),
  );
  assert.equal(router.allows('s', 'v2', false), false);
  assert.equal(router.allows('s', 'v1', false), true);
  router.set('s', canaryPhases.stopped);
  assert.equal(router.assignToCanary('s'), false);
  assert.equal(router.allows('s', 'v2', true), false);
  // Beginning the same order again does not restart the canary.
  router.begin(order, 5);
  assert.equal(router.phase('s'), canaryPhases.stopped);
});

test('a version is evaluated by its failures, overall and per route, and by its latency', () => {
  const old = {'v1\na': cell(500, 5, 100), 'v1\nb': cell(500, 70, 30)};
  const evaluate = (now: Record<string, EvidenceCell>) =>
    evaluateVersion([old, now], 'v2');
  assert.equal(evaluate({'v2\na': cell(5, 0, 100)}), verdicts.open);
  assert.equal(evaluate({'v2\na': cell(30, 0, 120)}), verdicts.good);
  assert.equal(evaluate({'v2\na': cell(30, 12, 100)}), verdicts.bad);
  // Failures do not count against the new version if the old one has them on the same route, too.
  assert.equal(
    evaluate({'v2\na': cell(20, 0, 99), 'v2\nb': cell(20, 4, 30)}),
    verdicts.good,
  );
  assert.equal(
    evaluate({'v2\na': cell(200, 0, 99), 'v2\nb': cell(12, 10, 30)}),
    verdicts.bad,
  );
  assert.equal(evaluate({'v2\na': cell(20, 0, 700)}), verdicts.bad);
});

// Guards against a slow version that gets all requests: it counted as good after 12 requests, before any route had enough of
// them to compare its latency.
test('a version is not good before its latency was compared', () => {
  const old = {'v1\na': cell(90, 0, 100), 'v1\nb': cell(90, 0, 300)};
  const evaluate = (now: Record<string, EvidenceCell>) =>
    evaluateVersion([old, now], 'v2');
  const few = {'v2\na': cell(7, 0, 400), 'v2\nb': cell(7, 0, 1200)};
  assert.equal(evaluate(few), verdicts.open);
  const between = {'v2\na': cell(20, 0, 250)};
  assert.equal(evaluate(between), verdicts.open);
  const sound = {'v2\na': cell(9, 0, 150), 'v2\nb': cell(7, 0, 300)};
  assert.equal(evaluate(sound), verdicts.good);
  // Without requests on the old version, the number of requests decides.
  assert.equal(evaluateVersion([sound], 'v2'), verdicts.good);
});

test('all requests move to a good version before the rollout is recorded as completed', () => {
  const input = {
    ageMs: 7000,
    durationMs: 12_000,
    verdict: verdicts.good,
    phase: canaryPhases.trial,
    recorded: rolloutStates.running,
    oldVersionRequests: 9,
  };
  const moved = nextRolloutStep(input);
  assert.deepEqual(moved, {phase: canaryPhases.moved});
  assert.equal(nextRolloutStep({...input, ...moved}).record, undefined);
  const empty = nextRolloutStep({...input, ...moved, oldVersionRequests: 0});
  assert.equal(empty.record, rolloutStates.completed);
  const late = nextRolloutStep({...input, ...moved, ageMs: 10_900});
  assert.equal(late.record, rolloutStates.completed);
});

test('a version without enough evidence is rolled back before the deadline, a final state stays', () => {
  const input = {
    ageMs: 10_900,
    durationMs: 12_000,
    verdict: verdicts.open,
    phase: canaryPhases.trial,
    recorded: rolloutStates.running,
    oldVersionRequests: 9,
  };
  assert.equal(nextRolloutStep(input).record, rolloutStates.rolledBack);
  const completed = {...input, recorded: rolloutStates.completed};
  const step = nextRolloutStep({...completed, verdict: verdicts.bad});
  assert.deepEqual(step, {phase: canaryPhases.moved});
});

/** Starts two hosts that run a rollout and exchange no evidence. */
function startHosts() {
  const clock = new ManualClock();
  const store = new MemoryStore();
  store.put(feeds.orders, {kind: 'rollout-order', service: 's', order});
  const hosts = [0, 1].map(index => {
    const state = new DeploymentState();
    const logger = Logger.create('silent');
    const feed = new StateFeed({
      clock,
      logger,
      store,
      state,
      bounds: {configMs: 2000, drainMs: 2000},
      random: () => 0.5,
      position: () => 0,
      onRead: () => {},
      onUnreadable: () => {},
      onRestored: () => {},
    });
    const router = new CanaryRouter(0.1);
    const evaluator = new CanaryEvaluator();
    const controller = new RolloutController({
      clock,
      logger,
      store,
      state,
      feed,
      router,
      evaluator,
      oldVersionRequests: () => 0,
      position: () => 0,
    });
    feed.start();
    controller.start();
    return {controller, feed, router, evaluator, index};
  });
  const run = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += 50) {
      clock.advance(50);
      await new Promise(resolve => setImmediate(resolve));
    }
  };
  const finalStates = () =>
    store
      .statuses()
      .map(({state}) => state)
      .filter(state => state !== rolloutStates.running);
  return {hosts, store, run, finalStates};
}

test('two hosts with different verdicts record only one final state', async () => {
  const {hosts, run, finalStates} = startHosts();
  await run(1000);
  // One host has evidence for the version, the other against it.
  for (let i = 0; i < 40; i++) {
    for (const {evaluator, index} of hosts) {
      evaluator.record('s', 'v1', 'r', false, 50);
      evaluator.record('s', 'v2', 'r', index === 1, 50);
    }
  }
  await run(12_000);
  const final = finalStates();
  assert.equal(final.length, 1, final.join());
  for (const {controller, feed, router} of hosts) {
    assert.equal(
      router.phase('s'),
      final[0] === rolloutStates.completed
        ? canaryPhases.moved
        : canaryPhases.stopped,
    );
    controller.stop();
    feed.stop();
  }
});

// Guards against a rollout whose final status nobody writes again after the store has lost it, and against one that then
// ends in another way: by now the evidence would speak for the new version.
test('a final status that the store has lost is recorded again, once and unchanged', async () => {
  const {hosts, store, run, finalStates} = startHosts();
  await run(1000);
  const record = (failed: boolean, count: number) => {
    for (let i = 0; i < count; i++) {
      for (const {evaluator} of hosts) {
        evaluator.record('s', 'v1', 'r', false, 50);
        evaluator.record('s', 'v2', 'r', failed, 50);
      }
    }
  };
  record(true, 40);
  await run(3000);
  assert.deepEqual(finalStates(), [rolloutStates.rolledBack]);
  store.restore({statuses: 1, orders: 0});
  await run(500);
  record(false, 2000);
  store.put(feeds.orders, {kind: 'rollout-order', service: 's', order});
  await run(15_000);
  assert.deepEqual(finalStates(), [rolloutStates.rolledBack]);
  for (const {controller, feed, router} of hosts) {
    assert.equal(router.phase('s'), canaryPhases.stopped);
    controller.stop();
    feed.stop();
  }
});
