import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  feeds,
  type Feed,
  type ReadResult,
  type Snapshot,
} from '../../src/connection/store/shared-store.js';
import {rendezvousRank} from '../../src/process/fleet/rendezvous.js';
import {DeploymentState} from '../../src/version/deployment/deployment-state.js';
import {ReadSchedule} from '../../src/version/deployment/read-schedule.js';
import {ManualClock} from '../../stand-ins/manual-clock.js';
import {configuration, createStateFeed, targetChange} from './gateway-fakes.js';
import {MemoryStore} from './memory-store.js';
import {startFleet} from './simulated-fleet.js';

const bounds = {configMs: 2000, drainMs: 2000};
const ownRead = {by: 'store', readAtMs: 0};

// Guards against a load on the store that grows with the number of hosts: each host would read every log by itself.
test('many hosts read the store about as often as one', async () => {
  const counts: number[] = [];
  for (const size of [1, 9, 75]) {
    const fleet = await startFleet({size, seed: 1});
    fleet.store.reads = 0;
    await fleet.run(20_000, () => {
      // The heartbeats of targets add records to the log that change nothing.
      fleet.store.put(feeds.targets, targetChange('i-0', '10.0.0.0:80'));
    });
    counts.push(fleet.store.reads);
  }
  const [one, nine, many] = counts;
  assert.ok(nine <= one * 1.2, `${nine} reads by nine hosts, ${one} by one`);
  assert.ok(many <= one * 1.2, `${many} reads by 75 hosts, ${one} by one`);
});

// Guards against hosts that learn of a removed target or a new configuration too late, because the host that reads the
// log for all of them has crashed and gossip messages are lost.
test('all hosts learn of a change in time despite lost messages and crashed readers', async () => {
  for (let seed = 1; seed <= 20; seed++) {
    const fleet = await startFleet({size: 9, lossRate: 0.2, seed});
    for (const feed of [feeds.targets, feeds.orders]) {
      const alive = fleet.hosts.filter(({dead}) => !dead);
      const names = alive.map(({name}) => name);
      const first = alive.find(
        ({name}) => rendezvousRank(feed, name, names) === 0,
      );
      assert.ok(first);
      // The host keeps its position in the reading order, as a crashed host does until it no longer counts as live.
      first.feed.stop();
      await fleet.run(100);
    }
    fleet.store.put(feeds.targets, {kind: 'target', id: 'i-3'});
    const newer = {...configuration, version: 2};
    fleet.store.put(feeds.orders, {
      kind: 'configuration',
      configuration: newer,
    });
    await fleet.run(1900);
    const running = fleet.hosts.filter(
      ({feed}) => feed.composeUpdate().ordersAgeMs < 2000,
    );
    assert.ok(running.length >= 7);
    for (const {name, state} of running) {
      assert.ok(!state.targets.has('i-3'), `${name} with seed ${seed}`);
      assert.equal(state.configuration?.version, 2, `${name}, seed ${seed}`);
    }
  }
});

test('all hosts learn that a target has become cold, with the remaining time', async () => {
  const fleet = await startFleet({size: 9, seed: 3});
  const change = targetChange('i-5', '10.0.0.5:80');
  assert.ok(change.kind === 'target' && change.entry);
  const cold = {...change, entry: {...change.entry, coldMs: 3000}};
  const writtenMs = fleet.clock.nowMs();
  fleet.store.put(feeds.targets, cold);
  await fleet.run(800);
  for (const {name, state} of fleet.hosts) {
    const leftMs = (state.targets.get('i-5')?.coldUntilMs ?? 0) - writtenMs;
    assert.ok(leftMs >= 3000 && leftMs <= 3800, `${name}: ${leftMs} ms`);
  }
});

// Guards against requests to a removed target: a page of the log that was read before the removal arrives after another
// host has reported the removal, and would add the target again.
test('a read is discarded if another host has reported later records meanwhile', async () => {
  const clock = new ManualClock();
  const store = new MemoryStore();
  const state = new DeploymentState();
  let release = () => {};
  const held = new (class extends MemoryStore {
    override async read(feed: Feed, from: number): Promise<ReadResult> {
      const result = await store.read(feed, from, 0);
      if (feed === feeds.targets) {
        await new Promise<void>(resolve => (release = resolve));
      }
      return result;
    }
    override newest(feed: Feed): Promise<Snapshot> {
      return store.newest(feed);
    }
  })();
  store.put(feeds.targets, targetChange('i', '10.0.0.1:80'));
  const feed = createStateFeed(clock, held, state, bounds);
  feed.start();
  const settle = async () => {
    for (let i = 0; i < 20; i++) await null;
  };
  await settle();
  // The page in flight contains the heartbeat; the removal comes after it.
  store.put(feeds.targets, targetChange('i', '10.0.0.1:80'));
  clock.advance(600);
  await settle();
  feed.receiveUpdate(
    {
      orders: -1,
      ordersAgeMs: 0,
      ordersReadAtMs: 0,
      configuration: 0,
      targets: 3,
      targetsAgeMs: 0,
      targetsReadAtMs: 0,
      digest: 0,
      changes: [{offset: 2, id: 'i', keepMs: 0}],
    },
    'other',
    clock.nowMs(),
  );
  assert.ok(!state.targets.has('i'));
  release();
  await settle();
  assert.ok(!state.targets.has('i'));
  feed.stop();
});

// Guards against a read of the store by every host after the log was truncated: several targets are then found missing
// at once, so their removals are announced with the same offset.
test('removals that share an offset are all applied from one message', async () => {
  const fleet = await startFleet({size: 1, seed: 5});
  const [{feed, state}] = fleet.hosts;
  const update = feed.composeUpdate();
  const offset = update.targets;
  const changes = ['i-3', 'i-4', 'i-5'].map(id => ({offset, id, keepMs: 0}));
  feed.receiveUpdate(
    {...update, targets: offset + 1, digest: 0, changes},
    'other',
    fleet.clock.nowMs(),
  );
  assert.equal(state.targets.size, 17);
});

// Guards against reads without delay: a message reports an offset that the log never reaches, so every read would be
// discarded as older and repeated at once.
test('a reported offset that the log never reaches does not block the reads of targets', async () => {
  const fleet = await startFleet({size: 1, seed: 4});
  const [{feed, state}] = fleet.hosts;
  const update = feed.composeUpdate();
  const changes = [{offset: 1_000_000, id: 'unknown', keepMs: 0}];
  feed.receiveUpdate(
    {...update, digest: 0, targetsAgeMs: -1, changes},
    'other',
    fleet.clock.nowMs(),
  );
  fleet.store.reads = 0;
  fleet.store.put(feeds.targets, {kind: 'target', id: 'i-3'});
  await fleet.run(1500);
  assert.ok(!state.targets.has('i-3'));
  assert.ok(fleet.store.reads < 15, `${fleet.store.reads} reads`);
});

test('each further host starts to read only after another step without an update', () => {
  const schedule = new ReadSchedule(2000, false);
  schedule.confirm(1000, ownRead);
  const due = [0, 1, 2, 3, 50].map(position =>
    schedule.dueAtMs(position, false),
  );
  assert.deepEqual(due, [1500, 1800, 2100, 2400, 2400]);
  // A failed call is retried after a delay, still within the bound.
  schedule.failed(2400, 0.5);
  assert.equal(schedule.dueAtMs(0, false), 2550);
  assert.ok(schedule.dueAtMs(50, false) > schedule.dueAtMs(0, false));
  // Updates of other hosts postpone the next attempt, but not indefinitely.
  schedule.confirm(2500, ownRead);
  assert.ok(schedule.dueAtMs(50, false) > 2550);
  schedule.confirm(60_000, ownRead);
  assert.ok(schedule.dueAtMs(0, false) <= 5400);
});
