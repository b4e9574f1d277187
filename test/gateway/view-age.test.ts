import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  feeds,
  type Feed,
  type ReadResult,
} from '../../src/connection/store/shared-store.js';
import {hash32} from '../../src/process/fleet/rendezvous.js';
import {createRandom} from '../../src/process/random.js';
import {DeploymentState} from '../../src/version/deployment/deployment-state.js';
import {ManualClock} from '../../stand-ins/manual-clock.js';
import {configuration, createStateFeed} from './gateway-fakes.js';
import {MemoryStore} from './memory-store.js';
import {
  startFleet,
  type Fleet,
  type FleetHost,
  type FleetOptions,
} from './simulated-fleet.js';

const drainMs = 3000;
const bounds = {configMs: drainMs, drainMs};

/**
 * Removes targets one after the other and records until when a condition holds on any host.
 *
 * @returns Time from the removal of a target until then, in milliseconds, by target.
 */
async function removeTargets(
  fleet: Fleet,
  count: number,
  uses: (host: FleetHost, target: string) => boolean,
): Promise<number[]> {
  const removedMs: number[] = [];
  const learntMs: number[] = [];
  const note = () => {
    for (const [i, startMs] of removedMs.entries()) {
      const known = fleet.hosts.some(host => uses(host, `i-${i}`));
      if (known) learntMs[i] = fleet.clock.nowMs() - startMs;
    }
  };
  for (let i = 0; i < count; i++) {
    fleet.store.put(feeds.targets, {kind: 'target', id: `i-${i}`});
    removedMs.push(fleet.clock.nowMs());
    await fleet.run(730, note);
  }
  await fleet.run(2 * drainMs, note);
  return learntMs;
}

function knows({state}: FleetHost, target: string): boolean {
  return state.targets.has(target);
}

async function worstDelayMs(options: Omit<FleetOptions, 'bounds'>) {
  const fleet = await startFleet({...options, bounds});
  return Math.max(...(await removeTargets(fleet, 8, knows)));
}

// Guards against requests to a target that has left: each host took the time at which it processed a message for the
// time at which the sender had composed it, so a view that was passed on from host to host seemed ever younger than it was,
// and no host read the store.
test('a removed target is known in time on many hosts although messages between them are delayed', async () => {
  for (const transitMs of [0, 20, 60, 200]) {
    for (let seed = 1; seed <= 3; seed++) {
      const worstMs = await worstDelayMs({
        size: 69,
        seed,
        lossRate: 0.02,
        delayMs: (_from, _to, random) => transitMs * (0.5 + random),
      });
      const conditions = `${transitMs} ms of transit, seed ${seed}`;
      assert.ok(worstMs < drainMs, `${worstMs} ms with ${conditions}`);
    }
  }
});

// Guards against the same on hosts that the store refuses, which depend on the messages of the others, and on a host whose
// messages are slow.
test('a removed target is known in time while the store refuses a third of the hosts', async () => {
  const slow = 'host-7';
  for (let seed = 1; seed <= 3; seed++) {
    const worstMs = await worstDelayMs({
      size: 75,
      seed,
      lossRate: 0.02,
      refuses: host => Number(host.slice('host-'.length)) % 3 === 0,
      delayMs: (from, to, random) =>
        (from === slow || to === slow ? 600 : 100) * (0.5 + random),
    });
    assert.ok(worstMs < drainMs, `${worstMs} ms with seed ${seed}`);
  }
});

/** Number of random fleets; `SEEDS=60 npm run unit -- view-age` tests more. */
const seeds = Number(process.env.SEEDS ?? 6);

// Guards against the same under conditions that no other test names: size, transit, losses, hosts that the store refuses, a
// slow host and one that dies. A host whose view is too old holds requests, so only views that may be used count.
test('no host of a random fleet uses a removed target after the bound', async () => {
  for (let seed = 101; seed < 101 + seeds; seed++) {
    const random = createRandom(seed);
    const size = 9 + Math.floor(random() * 67);
    const transitMs = Math.floor(random() * 400);
    const refusedShare = random() < 0.5 ? random() * 0.4 : 0;
    const slow = `host-${Math.floor(random() * size)}`;
    const fleet = await startFleet({
      size,
      seed,
      lossRate: random() * 0.1,
      bounds,
      refuses: host => hash32(host) / 2 ** 32 < refusedShare,
      delayMs: (from, to, varied) =>
        (from === slow || to === slow ? 300 : transitMs) * (0.5 + varied),
    });
    // Hosts that the store refused from the start know no target, and are not ready.
    const ready = fleet.hosts.filter(({feed}) => feed.offsets.targets >= 0);
    const dying = ready[Math.floor(random() * ready.length)];
    fleet.clock.after(2000, () => {
      dying.dead = true;
      dying.feed.stop();
    });
    const uses = (host: FleetHost, target: string) =>
      !host.dead &&
      host.feed.offsets.targets >= 0 &&
      host.feed.targetsView.isCurrent &&
      knows(host, target);
    const worstMs = Math.max(...(await removeTargets(fleet, 6, uses)));
    assert.ok(worstMs < drainMs, `${worstMs} ms with seed ${seed}`);
  }
});

// Guards against a configuration or an evacuation that is not known in time: a long poll that had returned records
// early, but was processed late, counted as proof that nothing was written until then.
test('a response of the store that arrives late does not make the view younger', async () => {
  const clock = new ManualClock();
  const responseMs = 900;
  class SlowStore extends MemoryStore {
    override async read(feed: Feed, from: number): Promise<ReadResult> {
      const page = await super.read(feed, from, 0);
      await new Promise<void>(resolve => clock.after(responseMs, resolve));
      return page;
    }
  }
  const store = new SlowStore();
  const feed = createStateFeed(clock, store, new DeploymentState(), bounds);
  feed.start();
  const settle = async () => {
    for (let i = 0; i < 20; i++) await null;
  };
  await settle();
  store.put(feeds.orders, {kind: 'configuration', configuration});
  clock.advance(responseMs);
  await settle();
  clock.advance(responseMs);
  await settle();
  const {orders, ordersAgeMs} = feed.composeUpdate();
  assert.equal(orders, 1);
  assert.ok(ordersAgeMs >= responseMs, `${ordersAgeMs} ms`);
  feed.stop();
});

// Guards against a view that counts as current because it was copied from a host that never was: an infinite age becomes
// null in JSON, and null counts as 0.
test('a copy of a host that was never up to date does not make the view current', () => {
  const clock = new ManualClock();
  const createFeed = () =>
    createStateFeed(clock, new MemoryStore(), new DeploymentState(), bounds);
  const copy = createFeed().copyState();
  const wire = JSON.parse(JSON.stringify(copy)) as typeof copy;
  for (const ages of [wire.ages, undefined]) {
    const feed = createFeed();
    const offsets = {orders: 3, targets: 5};
    feed.adoptCopy({...wire, offsets, ages}, 'other', clock.nowMs());
    assert.ok(feed.targetsView.ageMs > drainMs);
  }
});
