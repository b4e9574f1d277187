import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FailureError} from '../../../src/process/errors/catalogue.js';
import type {Grant} from '../../../src/request/dispatcher.js';
import {PermitDispatcher} from '../../../src/request/permit-dispatcher.js';
import type {QueuedRequest} from '../../../src/request/scheduler/types.js';
import {PermitFleet} from './permit-fleet.js';

/** Starts three zones with two hosts and one target of four slots each. */
async function startZones(seed: number): Promise<PermitFleet> {
  const fleet = new PermitFleet(seed);
  for (const zone of ['a', 'b', 'c']) fleet.declare(zone, 1, 4);
  for (const zone of ['a', 'b', 'c']) {
    fleet.start(zone, [`${zone}x`, `${zone}y`]);
  }
  await fleet.run(1000);
  return fleet;
}

function dispatch(fleet: PermitFleet, id: string, req = fleet.request()) {
  const host = fleet.host(id);
  const spills: string[] = [];
  const outcome: {grant?: Grant; refusal?: string; spills: string[]} = {spills};
  const dispatcher = new PermitDispatcher({
    permits: host.manager,
    members: host.members,
    config: () => host.config,
    clock: fleet.clock,
    onSpill: zone => spills.push(zone),
  });
  dispatcher.acquire(req, new AbortController().signal).then(
    grant => (outcome.grant = grant),
    err => {
      assert.ok(err instanceof FailureError && err.failure.kind === 'refused');
      outcome.refusal = err.failure.reason;
    },
  );
  return outcome;
}

// A request that leaves its zone without need pays the latency between zones.
test('a request is served in the local zone while it has capacity', async () => {
  const fleet = await startZones(1);
  const outcome = dispatch(fleet, 'ax');
  await fleet.run(50);
  assert.equal(outcome.grant?.target.zone, 'a');
  assert.deepEqual(outcome.spills, []);
});

// An evacuated zone must get no requests, neither from its own hosts nor from those of other zones.
test('with the local zone out, a request goes to the zone with the most free slots, never to one that is out', async () => {
  const fleet = await startZones(2);
  fleet.put('zone', 'a', {region: 'r', state: 'out'});
  fleet.put('zone', 'b', {region: 'r', state: 'out'});
  await fleet.run(50);
  const outcome = dispatch(fleet, 'ax');
  await fleet.run(50);
  assert.equal(outcome.grant?.target.zone, 'c');
  fleet.put('zone', 'c', {region: 'r', state: 'out'});
  await fleet.run(50);
  const refused = dispatch(fleet, 'ax');
  await fleet.run(50);
  assert.equal(refused.refusal, 'no-target');
  assert.deepEqual(refused.spills, []);
});

// A follower of another zone that counted as a share would shrink the limits of the zone's own hosts.
test('a spilled request counts against the limits of the other zone without adding a share', async () => {
  const fleet = await startZones(3);
  fleet.put('zone', 'a', {region: 'r', state: 'out'});
  fleet.put('zone', 'c', {region: 'r', state: 'out'});
  await fleet.run(50);
  const outcomes = Array.from({length: 6}, () => dispatch(fleet, 'ax'));
  await fleet.run(50);
  assert.equal(fleet.held('b0'), 4);
  assert.equal(outcomes.filter(({grant}) => grant).length, 4);
  const owner = fleet.host(fleet.owner('b/s/0'));
  const task = owner.manager.owned.get('b/s/0');
  assert.equal(task?.status.share.hosts, 2);
  assert.equal(task?.status.followers, 3);
});

// The new owner knows the hosts of its zone only. If it granted before the other zones' hosts have
// listed their permits, it would grant those slots twice.
test('permits of another zone’s host still count after the owner crashes', async () => {
  const fleet = await startZones(4);
  fleet.put('zone', 'a', {region: 'r', state: 'out'});
  fleet.put('zone', 'c', {region: 'r', state: 'out'});
  await fleet.run(50);
  const spilled = Array.from({length: 4}, () => dispatch(fleet, 'ax'));
  await fleet.run(50);
  assert.equal(spilled.filter(({grant}) => grant).length, 4);
  const owner = fleet.owner('b/s/0');
  const other = owner === 'bx' ? 'by' : 'bx';
  fleet.kill(owner);
  const waiting = Array.from({length: 4}, () => dispatch(fleet, other));
  await fleet.run(4000);
  assert.equal(waiting.filter(({grant}) => grant).length, 0);
  spilled[0].grant?.release({result: 'ok', totalMs: 1, tokens: 1});
  await fleet.run(50);
  assert.equal(waiting.filter(({grant}) => grant).length, 1);
});

// Such a spill would time out where the caller can get an immediate refusal.
test('a request is not spilled if its deadline is near or the host is cut off', async () => {
  const fleet = await startZones(5);
  fleet.put('zone', 'a', {region: 'r', state: 'out'});
  await fleet.run(50);
  const late: QueuedRequest = fleet.request(undefined, 40);
  const refused = dispatch(fleet, 'ax', late);
  await fleet.run(20);
  assert.deepEqual(refused, {refusal: 'no-target', spills: []});
  const {members} = fleet.host('ax');
  for (const id of ['ay', 'bx', 'by', 'cx', 'cy']) {
    members.set({...fleet.host(id).members.self, state: 'dead'});
  }
  const alone = dispatch(fleet, 'ax');
  await fleet.run(50);
  assert.deepEqual(alone, {refusal: 'no-target', spills: []});
});

// Guards against a retry that waits for the only target of its zone, which has just failed it.
test('a retry that failed on all local targets goes to another zone, and waits here if that refuses', async () => {
  const fleet = await startZones(6);
  const retry = (): QueuedRequest => ({
    ...fleet.request(),
    attempt: 1,
    avoid: ['a0'],
  });
  const served = dispatch(fleet, 'ax', retry());
  await fleet.run(50);
  assert.notEqual(served.grant?.target.zone, 'a');
  assert.equal(served.spills.length, 1);
  fleet.put('zone', 'b', {region: 'r', state: 'out'});
  fleet.put('zone', 'c', {region: 'r', state: 'out'});
  await fleet.run(50);
  const alone = dispatch(fleet, 'ax', retry());
  await fleet.run(50);
  // The scheduler of this fleet never grants a target that is to be avoided, so the request waits.
  assert.deepEqual(alone, {spills: []});
});
