import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {
  FollowerMessage,
  OwnerMessage,
} from '../../../src/process/groups/permit-messages.js';
import {GroupScheduler} from '../../../src/request/scheduler/group-scheduler.js';
import {PermitFleet} from './permit-fleet.js';

const ids = ['h1', 'h2', 'h3'];

/** Fills two targets of one slot with tier 3 requests of one follower; records preemption messages. */
async function fillTargets(seed: number) {
  let cores = 0;
  const fleet = new PermitFleet(
    seed,
    () => new GroupScheduler({owner: `o${++cores}`, recovering: true}),
  );
  fleet.declare('a', 2, 1);
  fleet.start('a', ids);
  await fleet.run(1000);
  const [host] = ids.filter(id => id !== fleet.owner());
  const low = () => ({...fleet.request(), tier: 3 as const});
  const running = [fleet.acquire(host, low()), fleet.acquire(host, low())];
  await fleet.run(20);
  const seen: string[] = [];
  fleet.network.filter = (_from, _to, frame) => {
    const body = frame.body as FollowerMessage | OwnerMessage | undefined;
    if (body?.kind === 'declined') seen.push('declined');
    if (body?.kind === 'preempt') {
      seen.push(body.force ? 'forced' : 'preempt');
    }
    return true;
  };
  const acquireTop = () =>
    fleet.acquire(host, {
      ...fleet.request(undefined, 1000),
      tier: 0 as const,
      maxTokens: 1,
    });
  return {fleet, running, seen, acquireTop};
}

// The owner learns late which responses are relayed. It must not truncate one while another permit
// can be preempted.
test('a follower declines for a relayed response, and the owner preempts the other permit', async () => {
  const {fleet, running, seen, acquireTop} = await fillTargets(21);
  const [a, b] = running.map(({grant}) => grant);
  assert.ok(a && b, 'both slots are taken');
  // The owner does not know yet that the response it would preempt first is relayed.
  b.relayed();
  const top = acquireTop();
  await fleet.run(50);
  assert.deepEqual(seen, ['preempt', 'declined', 'preempt']);
  assert.ok(a.preempted.aborted && !b.preempted.aborted);
  a.release({result: 'cancelled', totalMs: 1, tokens: 0});
  await fleet.run(20);
  assert.ok(top.grant);
});

// If all followers decline, only a forced preemption lets a top-tier request meet its deadline.
test('a top-tier request at risk gets the slot of a relayed response', async () => {
  const {fleet, running, seen, acquireTop} = await fillTargets(22);
  for (const {grant} of running) grant?.relayed();
  const top = acquireTop();
  await fleet.run(200);
  assert.deepEqual(seen, ['preempt', 'declined', 'preempt', 'declined']);
  await fleet.run(600);
  assert.deepEqual(seen.slice(4), ['forced']);
  const broken = running.filter(({grant}) => grant?.preempted.aborted);
  assert.equal(broken.length, 1);
  broken[0].grant?.release({result: 'cancelled', totalMs: 1, tokens: 5});
  await fleet.run(20);
  assert.ok(top.grant);
});
