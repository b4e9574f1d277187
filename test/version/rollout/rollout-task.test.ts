import assert from 'node:assert/strict';
import {test} from 'node:test';
import {drawScenario, type Scenario} from '../../../bench/rollout/scenario.js';
import {Simulation, type Result} from '../../../bench/rollout/simulate.js';
import {isCanary} from '../../../src/version/rollout/rollout-state.js';

type Changes = Partial<Omit<Scenario, 'spec'>> & {
  spec?: Partial<Scenario['spec']>;
};

function scenario(seed: number, changes: Changes): Scenario {
  const drawn = drawScenario(seed);
  return {
    ...drawn,
    engines: 6,
    requestsPerSecond: 6,
    checksFencing: false,
    version: 'good',
    fault: 'none',
    ...changes,
    spec: {...drawn.spec, watchPeriodSeconds: 20, ...changes.spec},
  };
}

/** Runs a scenario on three hosts and checks the invariants every 500 ms of virtual time. */
function run(each: Scenario): Promise<Result> {
  return new Simulation(each, sim => {
    const states = sim.hosts.map(({task}) => task.rollouts);
    for (const {task, caps, clock} of sim.hosts) {
      if (!clock.running || !caps) continue;
      const {banned, entries} = task.rollouts;
      const canary = [...entries.values()].some(isCanary);
      let inFlight = 0;
      for (const list of caps.values()) {
        const cap = list.find(({version}) => version === 'v2');
        if (banned.has('assistant/v2'))
          assert.equal(cap?.share, 0, 'a rolled-back version has a share');
        inFlight += cap?.inFlight ?? 0;
      }
      if (canary) assert.ok(inFlight <= each.spec.canaryInFlight);
    }
    const leaders = sim.hosts.filter(
      ({task, clock}) => clock.running && task.leads('assistant-v2'),
    );
    assert.ok(leaders.length <= 1, 'two leaders at once');
    for (const a of states)
      for (const b of states)
        if (a.offset === b.offset)
          assert.deepEqual(
            a,
            b,
            'hosts have different states at the same offset',
          );
  }).run();
}

/** Checks that no status was false, no order stale or repeated, and the canary limit held. */
function assertConsistent(result: Result): void {
  assert.deepEqual(result.falseStatuses, []);
  assert.equal(result.staleOrders, 0, 'orders of a replaced leader');
  assert.equal(
    result.repeatedOrders,
    0,
    'repeated orders that had already taken effect',
  );
  assert.ok(
    result.canaryPeak <= 4,
    `${result.canaryPeak} canary requests in flight`,
  );
}

for (const fault of ['leader-killed', 'leader-paused'] as const) {
  test(`after ${fault} another host continues halfway through the orders and repeats none`, async () => {
    const each = scenario(3, {
      fault,
      faultAtMs: 2500,
      faultMs: 30_000,
      version: 'fails-at-once',
      severity: 0.9,
      spec: {strategy: 'in-place'},
    });
    const result = await run(each);
    assertConsistent(result);
    assert.equal(result.phase, 'taken-back');
  });
}

test('each host stops a bad version on its own evidence while the log is down', async () => {
  const result = await run(
    scenario(5, {
      fault: 'log-down',
      faultAtMs: 6000,
      faultMs: 240_000,
      version: 'fails-at-once',
      severity: 1,
      requestsPerSecond: 10,
      spec: {strategy: 'surge'},
    }),
  );
  assertConsistent(result);
  assert.equal(result.reason, 'evidence');
  assert.ok(result.lateMs <= 2000, `new requests ${result.lateMs} ms later`);
  assert.ok(result.minutes > 4, 'recorded after the log recovered');
});

test('lost responses neither repeat a change nor stop the rollout', async () => {
  const result = await run(
    scenario(7, {
      fault: 'lost-answers',
      version: 'later',
      onsetMs: 90_000,
      severity: 0.8,
      spec: {strategy: 'in-place'},
    }),
  );
  assertConsistent(result);
  assert.equal(result.phase, 'taken-back');
});

test('a good version is completed in place although a zone goes out of service and returns', async () => {
  const result = await run(
    scenario(9, {
      fault: 'zone-out',
      faultAtMs: 90_000,
      faultMs: 120_000,
      requestsPerSecond: 12,
      spec: {strategy: 'in-place'},
    }),
  );
  assertConsistent(result);
  assert.equal(result.phase, 'done');
});
