import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {OwnerMessage} from '../../../src/process/groups/permit-messages.js';
import {PermitFleet, type Outcome} from './permit-fleet.js';

const ids = ['h1', 'h2', 'h3', 'h4', 'h5'];

/** Starts five hosts in zone a that share two targets, by default with eight slots each. */
async function startFleet(seed: number, max = 8): Promise<PermitFleet> {
  const fleet = new PermitFleet(seed);
  fleet.declare('a', 2, max);
  fleet.start('a', ids);
  await fleet.run(1000);
  return fleet;
}

function granted(outcomes: readonly Outcome[]): Outcome[] {
  return outcomes.filter(({grant}) => grant);
}

test('hosts share the limits of the targets, and a release lets the next request run', async () => {
  const fleet = await startFleet(1);
  const outcomes = Array.from({length: 20}, (_, i) =>
    fleet.acquire(ids[i % 5]),
  );
  await fleet.run(20);
  assert.equal(granted(outcomes).length, 16);
  fleet.release(granted(outcomes)[0]);
  await fleet.run(20);
  assert.equal(granted(outcomes).length, 17);
});

// An owner that crashes loses its table. The followers must list their requests and permits to the
// next one; otherwise requests are lost or slots are granted twice.
test('a crashed owner is replaced within 2 s; waiting requests are kept and permits still count', async () => {
  const fleet = await startFleet(2);
  const owner = fleet.owner();
  const others = ids.filter(id => id !== owner);
  const outcomes = Array.from({length: 24}, (_, i) =>
    fleet.acquire(others[i % 4]),
  );
  await fleet.run(20);
  assert.equal(granted(outcomes).length, 16);
  fleet.kill(owner);
  fleet.release(granted(outcomes)[0]);
  await fleet.run(2000);
  assert.notEqual(fleet.owner(), owner);
  assert.equal(granted(outcomes).length, 17);
  for (const outcome of granted(outcomes)) fleet.release(outcome);
  await fleet.run(50);
  assert.equal(granted(outcomes).length, 24);
});

// Hosts with different member lists follow different owners, each of which grants on its own.
test('two owners due to differing member lists stay within the limits together', async () => {
  const fleet = await startFleet(3);
  const owner = fleet.owner();
  const others = ids.filter(id => id !== owner);
  const outcomes = Array.from({length: 16}, () => fleet.acquire(others[0]));
  await fleet.run(20);
  assert.equal(granted(outcomes).length, 16);
  // Two hosts consider the owner to have left; the others still follow it.
  const left = {...fleet.host(owner).members.self, state: 'left' as const};
  for (const id of others.slice(1, 3)) fleet.host(id).members.set(left);
  const more = ids.flatMap(id => [0, 1, 2, 3].map(() => fleet.acquire(id)));
  for (let i = 0; i < 16; i++) {
    fleet.release(outcomes[i]);
    await fleet.run(300, () => {}, 5);
  }
  const owners = new Set(
    ids.map(id => fleet.host(id).manager.followed.get('a/s/0')?.currentOwner),
  );
  assert.equal(owners.size, 2, 'there are two owners');
  assert.ok(granted(more).length > 0);
});

// The follower holds more permits than its share. If the former owner stopped counting them, it
// would grant their slots again.
test('permits of a follower that switches owners still count at the former owner', async () => {
  const fleet = await startFleet(12);
  const owner = fleet.owner();
  const [mover, ...others] = ids.filter(id => id !== owner);
  const outcomes = Array.from({length: 16}, () => fleet.acquire(mover));
  await fleet.run(20);
  assert.equal(granted(outcomes).length, 16);
  const waiting = others.map(id =>
    fleet.acquire(id, fleet.request(undefined, 60_000)),
  );
  const left = {...fleet.host(owner).members.self, state: 'left' as const};
  fleet.host(mover).members.set(left);
  await fleet.run(500);
  assert.notEqual(
    fleet.host(mover).manager.followed.get('a/s/0')?.currentOwner,
    owner,
  );
  assert.equal(granted(waiting).length, 0);
  await fleet.run(9000, () => {}, 20);
  for (const outcome of outcomes) fleet.release(outcome);
  assert.equal(granted(waiting).length, 0);
  await fleet.run(1000, () => {}, 20);
  assert.ok(granted(waiting).length > 0, 'they expire with their deadlines');
});

// The engines still run the requests of a crashed host until they detect the closed connections.
test('permits of a crashed follower count until its death is confirmed', async () => {
  const fleet = await startFleet(4);
  const owner = fleet.owner();
  const [follower, other] = ids.filter(id => id !== owner);
  const outcomes = Array.from({length: 16}, () => fleet.acquire(follower));
  await fleet.run(20);
  assert.equal(granted(outcomes).length, 16);
  const waiting = Array.from({length: 16}, () => fleet.acquire(other));
  fleet.kill(follower, 1000, 1000);
  await fleet.run(1100);
  assert.equal(granted(waiting).length, 0);
  await fleet.run(500);
  assert.equal(granted(waiting).length, 16);
});

// The owner counts a permit that the follower never received, until the gap in the sequence ends the
// link and the follower lists its permits again.
test('a lost grant is neither dispatched twice nor leaked', async () => {
  const fleet = await startFleet(5);
  const owner = fleet.owner();
  const [host] = ids.filter(id => id !== owner);
  let lost = 0;
  fleet.network.filter = (from, to, frame) => {
    const kind = (frame.body as OwnerMessage | undefined)?.kind;
    if (from !== owner || to !== host || kind !== 'grant' || lost > 0) {
      return true;
    }
    lost++;
    return false;
  };
  const outcome = fleet.acquire(host);
  await fleet.run(3000);
  assert.equal(lost, 1);
  assert.ok(outcome.grant);
  fleet.release(outcome);
  await fleet.run(3000);
  assert.equal(countedAtOwners(fleet), 0);
});

function countedAtOwners(fleet: PermitFleet): number {
  let count = 0;
  for (const {manager, dead} of fleet.hosts.values()) {
    if (dead) continue;
    for (const task of manager.owned.values()) {
      count += task.outstanding('a0') + task.outstanding('a1');
    }
  }
  return count;
}

// The owner grants while the cancellation is in transit; the permit would leak if nobody released it.
test('a grant that crosses a cancellation is released', async () => {
  const fleet = await startFleet(6);
  const [host] = ids.filter(id => id !== fleet.owner());
  const caller = new AbortController();
  const outcome = fleet.acquire(host, fleet.request(), 'a/s/0', caller.signal);
  fleet.clock.advance(1);
  caller.abort();
  await fleet.run(50);
  assert.equal(outcome.grant, undefined);
  assert.equal(fleet.held('a0') + fleet.held('a1'), 0);
  assert.equal(countedAtOwners(fleet), 0);
});

// While an owner is paused its followers move to another one. If it went on with its old table
// afterwards, both would grant the same slots.
test('an owner that was paused releases its groups before any other work', async () => {
  const fleet = await startFleet(7);
  const owner = fleet.owner();
  const others = ids.filter(id => id !== owner);
  fleet.host(owner).paused = true;
  fleet.announceState(owner, 'dead', 1000, 1500);
  await fleet.run(3000);
  const outcomes = Array.from({length: 16}, (_, i) =>
    fleet.acquire(others[i % 4]),
  );
  await fleet.run(50);
  assert.equal(granted(outcomes).length, 16);
  const task = fleet.host(owner).manager.owned.get('a/s/0');
  const own = fleet.acquire(owner);
  fleet.resume(owner);
  assert.notEqual(fleet.host(owner).manager.owned.get('a/s/0'), task);
  await fleet.run(2000);
  assert.equal(own.grant, undefined);
  fleet.announceState(owner, 'alive', 0, 100);
  await fleet.run(1000);
  assert.equal(fleet.owner(), owner);
  fleet.release(outcomes[0]);
  await fleet.run(50);
  assert.ok(own.grant);
});

// The release of a permit may be the first code to run after a pause, before any periodic check.
test('an attempt that ends right after a pause does not make the former owner grant', async () => {
  const fleet = await startFleet(13);
  const owner = fleet.owner();
  const outcomes = Array.from({length: 17}, () => fleet.acquire(owner));
  await fleet.run(20);
  fleet.host(owner).paused = true;
  await fleet.run(3000);
  const task = fleet.host(owner).manager.owned.get('a/s/0');
  fleet.release(granted(outcomes)[0]);
  assert.notEqual(fleet.host(owner).manager.owned.get('a/s/0'), task);
  assert.equal(granted(outcomes).length, 16);
});

// The hosts receive the change of the configuration at different times.
test('a zone that is out and a target that is leaving get no new requests', async () => {
  const fleet = await startFleet(8);
  fleet.put('target', 'a0', {...fleet.target('a', 8), state: 'leaving'}, 500);
  await fleet.run(500);
  const outcomes = Array.from({length: 16}, (_, i) =>
    fleet.acquire(ids[i % 5]),
  );
  await fleet.run(50);
  assert.equal(fleet.held('a0'), 0);
  assert.equal(fleet.held('a1'), 8);
  fleet.put('zone', 'a', {region: 'r', state: 'out'}, 500);
  await fleet.run(500);
  for (const outcome of granted(outcomes)) fleet.release(outcome);
  const late = ids.map(id => fleet.acquire(id));
  await fleet.run(1000);
  assert.equal(fleet.held('a1'), 0);
  assert.ok(late.every(({refusal}) => refusal === 'no-target'));
});

// The owner still grants the target, as its configuration is older than that of the follower.
test('a follower that knows before the owner that a target is leaving does not use a grant for it', async () => {
  const fleet = await startFleet(9);
  const [host] = ids.filter(id => id !== fleet.owner());
  const follower = fleet.host(host);
  fleet.put('target', 'a0', {...fleet.target('a', 8), state: 'leaving'}, 1e9);
  follower.config = fleet.config;
  follower.manager.configChanged();
  const outcomes = Array.from({length: 8}, () => fleet.acquire(host));
  await fleet.run(100);
  assert.equal(fleet.held('a0'), 0);
  assert.equal(granted(outcomes).length, 8);
});

// A host that is cut off sees the others die one after the other. If its share grew with each death,
// it and the hosts on the other side would exceed the limits together.
test('a host that is cut off uses at most its static share of the limits', async () => {
  const fleet = await startFleet(10, 10);
  const [host, ...rest] = ids.filter(id => id !== fleet.owner()).slice(0, 1);
  assert.equal(rest.length, 0);
  for (const id of ids) fleet.network.cut(host, id);
  const view = fleet.host(host).members;
  for (const id of ids.filter(other => other !== host)) {
    fleet.clock.after(1000 + 200 * Number(id[1]), () =>
      view.set({...fleet.host(id).members.self, state: 'dead'}),
    );
  }
  const outcomes = Array.from({length: 30}, () =>
    fleet.acquire(host, fleet.request(undefined, 60_000)),
  );
  const step = () => {
    for (const name of ['a0', 'a1']) assert.ok(fleet.held(name) <= 2);
  };
  await fleet.run(30_000, step, 20);
  assert.ok(fleet.host(host).manager.cutOff);
  assert.equal(granted(outcomes).length, 4, 'a fifth of each limit of 10');
});

// Without a hand-over the group would have no owner until the links of the leaving one end.
test('a leaving owner hands over at once, and its permits count at the next owner', async () => {
  const fleet = await startFleet(11);
  const owner = fleet.owner();
  const outcomes = Array.from({length: 16}, (_, i) =>
    fleet.acquire(ids[i % 5]),
  );
  await fleet.run(20);
  const waiting = fleet.acquire(ids[0]);
  fleet.host(owner).manager.handOver();
  await fleet.run(20);
  assert.notEqual(fleet.owner(), owner);
  fleet.release(outcomes[0]);
  await fleet.run(20);
  assert.ok(waiting.grant);
});
