import assert from 'node:assert/strict';
import {test} from 'node:test';
import {feeds} from '../../src/connection/store/shared-store.js';
import {startFleet, type Fleet, type FleetOptions} from './simulated-fleet.js';

const drainMs = 3000;

/**
 * Removes targets one after the other and records when each host learns of it.
 *
 * @returns Time from the removal to the last host that learnt of it, in milliseconds, by target.
 */
async function removeTargets(fleet: Fleet, count: number): Promise<number[]> {
  const removedMs: number[] = [];
  const learntMs: number[] = [];
  const note = () => {
    for (const [i, startMs] of removedMs.entries()) {
      const known = fleet.hosts.some(({state}) => state.targets.has(`i-${i}`));
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

async function worstDelayMs(options: Omit<FleetOptions, 'bounds'>) {
  const bounds = {configMs: drainMs, drainMs};
  const fleet = await startFleet({...options, bounds});
  return Math.max(...(await removeTargets(fleet, 8)));
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
