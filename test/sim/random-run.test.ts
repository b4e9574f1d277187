import assert from 'node:assert/strict';
import {test} from 'node:test';
import {RandomRun, startFleet} from '../../sim/random-run.js';

// Guards against a violation of an invariant under combined faults; each seed is a different mix.
for (const seed of [3, 7, 106, 114, 115]) {
  test(`every invariant holds under random faults, seed ${seed}`, async () => {
    const fleet = await startFleet(seed);
    const result = await new RandomRun(fleet).run(2000);
    assert.ok(result.answered > 200, `answered ${result.answered}`);
    assert.ok(result.faults > 5, `faults ${result.faults}`);
  });
}

test('a request that runs twice is reported as a violation of I1', async () => {
  const fleet = await startFleet(1);
  await fleet.run(2000);
  const call = fleet.send('a1', {service: 'orders', tier: 0});
  await fleet.run(1000);
  assert.equal(call.result?.kind, 'answered');
  const [run] = fleet.targets.runs;
  fleet.checker.onStart(run);
  assert.throws(() => fleet.checker.check(), /I1\/I8 violated/);
});
