import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {SchedulerCore} from '../../../src/process/groups/scheduler-core.js';
import {GroupScheduler} from '../../../src/request/scheduler/group-scheduler.js';
import {PermitFleet, type Outcome} from './permit-fleet.js';

/** Seeds of the runs; PERMIT_SEEDS overrides them. */
const seeds = (process.env['PERMIT_SEEDS'] ?? '1,111,116,126')
  .split(',')
  .map(Number);

/** Simulated time with faults, in milliseconds. */
const runMs = Number(process.env['PERMIT_RUN_MS'] ?? 12_000);

/**
 * Runs five hosts under random crashes, pauses, partitions, joins, departures, lost frames and
 * configuration changes. Each step checks that no target exceeds its limit. Afterwards one owner must
 * hold all shares and no permit may be leaked.
 */
async function randomRun(
  seed: number,
  core?: (group: string) => SchedulerCore,
): Promise<void> {
  const fleet = new PermitFleet(seed, core);
  const {random, clock, network} = fleet;
  fleet.declare('a', 3, 5);
  fleet.start('a', ['h1', 'h2', 'h3', 'h4', 'h5']);
  await fleet.run(1000);
  network.faults.drop = 0.0005;
  network.faults.duplicate = 0.01;
  network.faults.reorder = 0.0005;
  network.faults.maxDelayMs = 4;
  const open = new Set<Outcome>();
  let served = 0;
  let joined = 5;
  const running = () => [...fleet.hosts.values()].filter(h => !h.dead);
  const pick = () => running()[Math.floor(random() * running().length)];

  const fault = () => {
    const host = pick();
    const kind = Math.floor(random() * 7);
    const unpausedCount = running().filter(h => !h.paused).length;
    if (kind === 0 && unpausedCount > 3) {
      fleet.kill(host.id, 500, 2500);
      clock.after(1500, () => fleet.start('a', [`h${++joined}`]));
    } else if (kind === 1 && unpausedCount > 3 && !host.paused) {
      const pausedMs = random() < 0.5 ? 800 : 3500;
      host.paused = true;
      if (pausedMs > 1000) {
        clock.after(1000, () => fleet.excludePermits(host.id));
        fleet.announceState(host.id, 'dead', 1000, 1600);
        clock.after(pausedMs, () => {
          if (!host.dead) fleet.announceState(host.id, 'alive', 0, 500);
        });
      }
      clock.after(pausedMs, () => fleet.resume(host.id));
    } else if (kind === 2) {
      network.cut(host.id, pick().id);
    } else if (kind === 3) {
      network.heal();
    } else if (kind === 4) {
      const state = random() < 0.5 ? 'leaving' : 'active';
      fleet.put('target', 'a0', {...fleet.target('a', 5), state}, 1000);
    } else if (kind === 5 && unpausedCount > 3 && !host.paused) {
      fleet.leave(host.id);
      clock.after(1500, () => fleet.start('a', [`h${++joined}`]));
    } else {
      network.faults.drop = random() < 0.5 ? 0 : 0.002;
    }
  };

  await fleet.run(runMs, () => {
    if (clock.nowMs() % 400 === 0) fault();
    for (const host of running()) {
      if (host.paused || random() >= 0.03) continue;
      const caller = new AbortController();
      const req = fleet.request(undefined, 3000);
      open.add(fleet.acquire(host.id, req, 'a/s/0', caller.signal));
      if (random() < 0.1) clock.after(random() * 50, () => caller.abort());
    }
    for (const outcome of open) {
      if (outcome.refusal) open.delete(outcome);
      if (!outcome.grant || random() >= 0.01) continue;
      if (fleet.host(outcome.host).paused) continue;
      open.delete(outcome);
      served++;
      fleet.release(outcome);
    }
  });
  assert.ok(served > runMs / 1000, `served ${served}`);

  // Without further faults the fleet converges to one owner that holds all shares, without leaks.
  network.heal();
  Object.assign(network.faults, {drop: 0, duplicate: 0, reorder: 0});
  fleet.put('target', 'a0', fleet.target('a', 5), 1000);
  await fleet.run(
    15_000,
    () => {
      for (const outcome of open) {
        if (outcome.grant) fleet.release(outcome);
      }
    },
    10,
  );
  const owner = fleet.host(fleet.owner());
  const task = owner.manager.owned.get('a/s/0');
  const {share, waiting, followers} = task?.status ?? assert.fail('no owner');
  const count = running().length;
  assert.deepEqual(
    {...share, waiting, followers},
    {
      held: count,
      hosts: count,
      recovering: false,
      waiting: 0,
      followers: count,
    },
  );
  for (const name of ['a0', 'a1', 'a2']) {
    assert.equal(task?.outstanding(name), 0, `permits of ${name} leaked`);
  }
}

let owners = 0;

/** Creates the production scheduler; its permit ids must differ between owners. */
function productionCore(): SchedulerCore {
  return new GroupScheduler({owner: `o${++owners}`, recovering: true});
}

for (const seed of seeds) {
  test(`permits of the production scheduler never exceed a limit under random faults, seed ${seed}`, () =>
    randomRun(seed, productionCore));
  test(`permits never exceed a limit under random faults, seed ${seed}`, () =>
    randomRun(seed));
}
