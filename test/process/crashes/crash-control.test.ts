import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createRandom} from '../../../src/process/random.js';
import {
  connectionEnds,
  CrashSimulation,
  type SimulationOptions,
} from './simulated-crashes.js';
import {common, seeds, soundTraffic} from './sound-traffic.js';

/** Time after which all hosts must refuse what has crashed targets often enough, in milliseconds. */
const contactMs = 3000;
/** Starts hosts that serve sound requests over a network that loses and delays messages. */
async function startBusy(
  hosts: number,
  seed: number,
  ends?: SimulationOptions['ends'],
) {
  const sim = new CrashSimulation({
    ends,
    hosts,
    targets: 13,
    seed,
    lossRate: 0.2,
    maxDelayMs: 200,
  });
  const traffic = soundTraffic(sim, 40);
  await sim.run(2000, traffic);
  return {sim, traffic};
}

/** Counts the deadly runs that began later than the bound allows. */
function runsAfter(
  {deadlyRunsMs, deadlyCrashesMs}: CrashSimulation,
  crashes: number,
): number {
  const lastMs = deadlyCrashesMs[crashes - 1] ?? Infinity;
  return deadlyRunsMs.filter(ms => ms > lastMs + contactMs).length;
}

for (const [hosts, count] of [
  [9, seeds.length],
  [75, Math.ceil(seeds.length / 6)],
]) {
  const some = seeds.slice(0, count);
  // Guards against hosts that each allow a crashing request some more tries.
  test(`a request that crashes targets is refused by all ${hosts} hosts in time, and sound ones are served`, async () => {
    for (const seed of some) {
      const {sim, traffic} = await startBusy(hosts, seed);
      const poison = {
        fingerprints: ['rpoison', 'pdocument1', common],
        deadly: true,
        workMs: 50,
        maxRuns: 2,
      };
      for (let i = 0; i < 40; i++) {
        sim.send(poison);
        await sim.run(100 + Math.floor(sim.random() * 800), traffic);
      }
      assert.equal(runsAfter(sim, 3), 0, `seed ${seed}`);
      assert.equal(sim.refusing('rpoison'), hosts, `seed ${seed}`);
      assert.equal(sim.sound.refused, 0, `seed ${seed}`);
    }
  });

  // Guards against a prompt part that crashes targets in ever new requests, and against blaming what is beside it.
  test(`a part that crashes targets is refused by all ${hosts} hosts in time, and its neighbours are served`, async () => {
    for (const seed of some) {
      const {sim, traffic} = await startBusy(hosts, seed);
      for (let i = 0; i < 60; i++) {
        sim.send({
          fingerprints: [`rdeadly${i}`, 'pdeadly', common],
          deadly: true,
          workMs: 100,
        });
        await sim.run(50 + Math.floor(sim.random() * 900), traffic);
      }
      assert.ok(
        runsAfter(sim, 5) <= 3,
        `seed ${seed}: ${runsAfter(sim, 5)} runs`,
      );
      assert.equal(sim.refusing('pdeadly'), hosts, `seed ${seed}`);
      assert.ok(
        sim.sound.refused <= sim.sound.sent / 100,
        `seed ${seed}: ${sim.sound.refused} of ${sim.sound.sent} refused`,
      );
    }
  });
}

for (const ends of [connectionEnds.byReset, connectionEnds.silent]) {
  // Guards against a request that crashes targets without end because their connections are not closed in order.
  test(`a request that crashes targets whose connections end ${ends} is refused by all hosts in time`, async () => {
    for (const seed of seeds) {
      const {sim, traffic} = await startBusy(9, seed, ends);
      const poison = {
        fingerprints: ['rpoison', 'pdocument1', common],
        deadly: true,
        workMs: 50,
        maxRuns: 2,
      };
      for (let i = 0; i < 20; i++) {
        sim.send(poison);
        await sim.run(800 + Math.floor(sim.random() * 800), traffic);
      }
      const late = runsAfter(sim, 3);
      assert.ok(late <= 3, `seed ${seed}: ${late} runs`);
      assert.equal(sim.refusing('rpoison'), 9, `seed ${seed}`);
      assert.equal(sim.sound.refused, 0, `seed ${seed}`);
    }
  });

  // Guards against the same for a prompt part, and against blaming what ran beside it.
  test(`a part that crashes targets whose connections end ${ends} is refused by all hosts in time`, async () => {
    for (const seed of seeds) {
      const {sim, traffic} = await startBusy(9, seed, ends);
      for (let i = 0; i < 40; i++) {
        sim.send({
          fingerprints: [`rdeadly${i}`, 'pdeadly', common],
          deadly: true,
          workMs: 100,
        });
        await sim.run(400 + Math.floor(sim.random() * 900), traffic);
      }
      const late = runsAfter(sim, 5);
      assert.ok(late <= 3, `seed ${seed}: ${late} runs`);
      assert.equal(sim.refusing('pdeadly'), 9, `seed ${seed}`);
      assert.ok(
        sim.sound.refused <= sim.sound.sent / 100,
        `seed ${seed}: ${sim.sound.refused} of ${sim.sound.sent} refused`,
      );
    }
  });

  // Guards against refusing the callers of targets that crash for reasons of their own.
  test(`targets that crash by themselves, and whose connections end ${ends}, convict nobody`, async () => {
    for (const seed of seeds) {
      const {sim, traffic} = await startBusy(9, seed, ends);
      for (let wave = 0; wave < 10; wave++) {
        await sim.run(4000, traffic);
        for (const target of sim.targets.slice(wave, wave + 4)) {
          sim.crash(target);
        }
      }
      await sim.run(4000, traffic);
      assert.equal(sim.sound.refused, 0, `seed ${seed}`);
    }
  });
}

// Guards against blame for connections that are reset while their target goes on.
test('connections that are reset at running targets convict nobody', async () => {
  for (const seed of seeds) {
    const {sim, traffic} = await startBusy(9, seed, connectionEnds.byReset);
    const slow = {fingerprints: ['rslow'], workMs: 60_000, maxRuns: 3};
    for (let i = 0; i < 10; i++) {
      sim.send(slow);
      await sim.run(300, traffic);
      for (const target of sim.targets) sim.resetConnections(target);
    }
    // The targets are replaced later, which says nothing about what ran there before.
    for (const target of sim.targets) sim.replace(target);
    await sim.run(3000, traffic);
    assert.equal(sim.sound.refused, 0, `seed ${seed}`);
    assert.equal(sim.refusing('rslow'), 0, `seed ${seed}`);
  }
});

// Guards against refusing the callers of a service whose targets crash for reasons of their own.
test('requests of a service that loses 30 % of its targets again and again are not refused', async () => {
  for (const seed of seeds) {
    const sim = new CrashSimulation({
      hosts: 9,
      targets: 13,
      seed,
      lossRate: 0.05,
      maxDelayMs: 50,
    });
    const traffic = soundTraffic(sim, 100);
    for (let wave = 0; wave < 10; wave++) {
      await sim.run(4000, traffic);
      const count = Math.ceil(sim.targets.length * 0.3);
      for (const target of sim.targets.slice(wave % 9, (wave % 9) + count)) {
        sim.crash(target);
      }
    }
    await sim.run(4000, traffic);
    assert.equal(sim.sound.refused, 0, `seed ${seed}`);
  }
});

// Guards against blame by a host that lost its own connections.
test('a host that is cut off and whose connections are refused convicts nobody', async () => {
  for (const seed of seeds) {
    const sim = new CrashSimulation({hosts: 9, targets: 13, seed});
    const traffic = soundTraffic(sim, 60);
    const [host] = sim.hosts;
    for (let cut = 0; cut < 6; cut++) {
      await sim.run(1500, traffic);
      sim.cutOff(host);
      await sim.run(1000, traffic);
      host.cutOff = false;
    }
    await sim.run(1000, traffic);
    assert.equal(sim.sound.refused, 0, `seed ${seed}`);
  }
});

// Guards against taking the planned end of a target for a crash.
test('the requests that a leaving target breaks are no suspects', async () => {
  const sim = new CrashSimulation({hosts: 2, targets: 8, seed: 1});
  const request = {fingerprints: ['r', common], workMs: 60_000};
  for (const target of sim.targets) {
    sim.send(request);
    await sim.run(100);
    target.leaving = true;
    sim.crash(target);
  }
  assert.equal(sim.refusing('r'), 0);
});

// Guards against a part that is blamed for good because requests with it are no longer sent.
test('a part that completes on any host is cleared on all of them', async () => {
  const sim = new CrashSimulation({hosts: 9, targets: 13, seed: 2});
  const [first, second] = sim.hosts;
  const slow = {fingerprints: ['rslow', 'pdocument'], workMs: 4000};
  sim.send(slow, second);
  const {length} = sim.targets;
  for (let i = 0; i < length && sim.refusing('pdocument') < 9; i++) {
    sim.send(
      {fingerprints: [`r${i}`, 'pdocument'], deadly: true, workMs: 20},
      first,
    );
    await sim.run(400);
  }
  assert.equal(sim.refusing('pdocument'), 9);
  await sim.run(5000);
  assert.equal(sim.sound.completed, 1);
  assert.equal(sim.refusing('pdocument'), 0);
});

// Guards against a host that starts and sends what all others refuse.
test('a host that has just started, or was cut off, learns what the others refuse', async () => {
  const sim = new CrashSimulation({hosts: 9, targets: 13, seed: 3});
  const [first, second] = sim.hosts;
  second.cutOff = true;
  for (let i = 0; i < 3; i++) {
    sim.send({fingerprints: ['rpoison'], deadly: true, workMs: 20}, first);
    await sim.run(500);
  }
  await sim.run(20_000);
  second.cutOff = false;
  sim.restart(sim.hosts[2]);
  assert.equal(sim.refusing('rpoison'), 7);
  await sim.run(contactMs);
  assert.equal(sim.refusing('rpoison'), 9);
});

// Guards against memory and datagrams that grow with what callers make up.
test('10,000 different requests and made-up parts fill neither a message nor the memory', async () => {
  const sim = new CrashSimulation({hosts: 2, targets: 40, seed: 4});
  const random = createRandom(4);
  let next = 0;
  for (let i = 0; i < 3; i++) {
    sim.send({fingerprints: ['rpoison'], deadly: true, workMs: 20});
    await sim.run(500);
  }
  for (let round = 0; round < 100; round++) {
    for (let i = 0; i < 100; i++) {
      const parts = Array.from({length: 16}, () => `p${next++}`);
      sim.send({fingerprints: [`r${next++}`, ...parts], workMs: 60_000});
    }
    sim.crash(sim.targets[Math.floor(random() * sim.targets.length)]);
    await sim.run(150);
  }
  assert.ok(sim.largestReport <= 1200, `${sim.largestReport} bytes`);
  assert.equal(sim.refusing('rpoison'), 2, 'the refused request is kept');
});
