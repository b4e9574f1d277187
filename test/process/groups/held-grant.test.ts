import assert from 'node:assert/strict';
import {test} from 'node:test';
import {HeldGrant} from '../../../src/process/groups/held-grant.js';
import {toTargetView} from '../../../src/process/groups/group-targets.js';
import type {TargetView} from '../../../src/request/scheduler/types.js';
import {PermitFleet} from './permit-fleet.js';

// A preemption that arrives after the first relayed byte would truncate the caller's response.
test('only a forced preemption aborts a response that was partly relayed', () => {
  const fleet = new PermitFleet(1);
  fleet.declare('a', 1, 4);
  const target = toTargetView(fleet.config, 'a0', new Set()) as TargetView;
  const released: string[] = [];
  const create = () =>
    new HeldGrant(
      'p',
      fleet.request(),
      target,
      0,
      0,
      () => {},
      ({result}) => released.push(result),
    );
  const waiting = create();
  waiting.tokens = 1;
  assert.ok(
    waiting.preempt(false),
    'a response that is not streamed is held back until it is complete',
  );
  assert.ok(waiting.preempted.aborted);
  const forced = create();
  forced.relayed();
  assert.ok(forced.preempt(true));
  assert.ok(forced.preempted.aborted);
  const relayed = create();
  relayed.relayed();
  assert.ok(!relayed.preempt(false));
  assert.ok(!relayed.preempted.aborted);
  const outcome = {result: 'ok' as const, totalMs: 1, tokens: 1};
  relayed.release(outcome);
  relayed.release(outcome);
  assert.deepEqual(released, ['ok']);
});
