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
import {MemoryStore} from './gateway-fakes.js';

const order = {service: 's', version: 'v2', durationMs: 12_000};

function cell(requests: number, failures: number, ms: number): EvidenceCell {
  return {
    requests,
    failures,
    logLatencySum: (requests - failures) * Math.log(ms),
  };
}

test('a version under trial gets its share and no other request', () => {
  const gate = new CanaryRouter(0.1);
  gate.begin(order, 5);
  let trials = 0;
  for (let i = 0; i < 1000; i++) if (gate.assignToCanary('s')) trials++;
  assert.ok(trials > 50 && trials <= 100, String(trials));
  assert.equal(gate.allows('s', 'v2', false), false);
  assert.equal(gate.allows('s', 'v1', false), true);
  gate.set('s', canaryPhases.stopped);
  assert.equal(gate.assignToCanary('s'), false);
  assert.equal(gate.allows('s', 'v2', true), false);
  // The same order seen again does not begin a new trial.
  gate.begin(order, 5);
  assert.equal(gate.phase('s'), canaryPhases.stopped);
});

test('a version is judged by failures, also on one route only, and by its times', () => {
  const old = {'v1\na': cell(500, 5, 100), 'v1\nb': cell(500, 70, 30)};
  const judge = (now: Record<string, EvidenceCell>) =>
    evaluateVersion([old, now], 'v2');
  assert.equal(judge({'v2\na': cell(5, 0, 100)}), verdicts.open);
  assert.equal(judge({'v2\na': cell(30, 0, 120)}), verdicts.good);
  assert.equal(judge({'v2\na': cell(30, 12, 100)}), verdicts.bad);
  // Failures that the old version has on the same route are no fault of the new one.
  assert.equal(
    judge({'v2\na': cell(20, 0, 99), 'v2\nb': cell(20, 4, 30)}),
    verdicts.good,
  );
  assert.equal(
    judge({'v2\na': cell(200, 0, 99), 'v2\nb': cell(12, 10, 30)}),
    verdicts.bad,
  );
  assert.equal(judge({'v2\na': cell(20, 0, 700)}), verdicts.bad);
});

test('requests move to a good version before it is recorded as completed', () => {
  const view = {
    ageMs: 7000,
    durationMs: 12_000,
    verdict: verdicts.good,
    phase: canaryPhases.trial,
    recorded: rolloutStates.running,
    oldVersionRequests: 9,
  };
  const moved = nextRolloutStep(view);
  assert.deepEqual(moved, {phase: canaryPhases.moved});
  assert.equal(nextRolloutStep({...view, ...moved}).record, undefined);
  const empty = nextRolloutStep({...view, ...moved, oldVersionRequests: 0});
  assert.equal(empty.record, rolloutStates.completed);
  const late = nextRolloutStep({...view, ...moved, ageMs: 10_900});
  assert.equal(late.record, rolloutStates.completed);
});

test('a version without evidence is taken back before the deadline, a final state stays', () => {
  const view = {
    ageMs: 10_900,
    durationMs: 12_000,
    verdict: verdicts.open,
    phase: canaryPhases.trial,
    recorded: rolloutStates.running,
    oldVersionRequests: 9,
  };
  assert.equal(nextRolloutStep(view).record, rolloutStates.rolledBack);
  const completed = {...view, recorded: rolloutStates.completed};
  const step = nextRolloutStep({...completed, verdict: verdicts.bad});
  assert.deepEqual(step, {phase: canaryPhases.moved});
});

test('two hosts that both record do not contradict each other', async () => {
  const clock = new ManualClock();
  const store = new MemoryStore();
  store.put(feeds.orders, {kind: 'rollout-order', service: 's', order});
  const hosts = [0, 1].map(turn => {
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
    });
    const gate = new CanaryRouter(0.1);
    const judge = new CanaryEvaluator();
    const duty = new RolloutController({
      clock,
      logger,
      store,
      state,
      feed,
      router: gate,
      evaluator: judge,
      oldVersionRequests: () => 0,
      position: () => 0,
    });
    feed.start();
    duty.start();
    return {duty, feed, gate, judge, turn};
  });
  const run = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += 50) {
      clock.advance(50);
      await new Promise(resolve => setImmediate(resolve));
    }
  };
  await run(1000);
  // Each host has evidence of its own: one for the version, one against it.
  for (let i = 0; i < 40; i++) {
    for (const {judge, turn} of hosts) {
      judge.record('s', 'v1', 'r', false, 50);
      judge.record('s', 'v2', 'r', turn === 1, 50);
    }
  }
  await run(12_000);
  const states = store.statuses().map(({state}) => state);
  const final = states.filter(state => state !== rolloutStates.running);
  assert.equal(final.length, 1, states.join());
  for (const {duty, feed, gate} of hosts) {
    assert.equal(
      gate.phase('s'),
      final[0] === rolloutStates.completed
        ? canaryPhases.moved
        : canaryPhases.stopped,
    );
    duty.stop();
    feed.stop();
  }
});
