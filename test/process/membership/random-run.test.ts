import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {startFleet} from './fleet.js';

const step = fc.record({
  action: fc.constantFrom('crash', 'pause', 'restart', 'cut', 'heal', 'leave'),
  zone: fc.nat(2),
  host: fc.nat(2),
  waitMs: fc.integer({min: 1, max: 4000}),
});

test('after random faults all running hosts consider each other live, and no incarnation decreased', () => {
  fc.assert(
    fc.property(
      fc.integer({min: 1, max: 1_000_000}),
      fc.array(step, {maxLength: 8}),
      (seed, steps) => {
        const fleet = startFleet({zones: 3, perZone: 3, seed, loss: 0.01});
        const {network, clock} = fleet;
        for (const {action, zone, host, waitMs} of steps) {
          const id = `z${zone}-h${host}`;
          const target = network.host(id);
          if (action === 'crash') network.crash(id);
          if (action === 'pause' && target.state === 'running') {
            network.pause(id);
          }
          if (action === 'restart' && target.state === 'crashed') {
            network.start(target.identity, ['10.0.0.0:1', '10.0.1.0:1']);
          }
          if (action === 'cut') {
            network.isCut = (a, b) =>
              (a.zone === `z${zone}`) !== (b.zone === `z${zone}`);
          }
          if (action === 'heal') network.isCut = () => false;
          if (action === 'leave' && target.state === 'running') {
            network.perform(target, target.core.leave(clock.nowMs()));
            network.crash(id);
          }
          network.run(waitMs);
        }
        network.isCut = () => false;
        for (const [id, host] of network.hosts) {
          if (host.state === 'paused') network.resume(id);
        }
        // Three rejoin attempts at intervals of 5 s, then one round that repairs lost updates.
        network.run(25_000);
        for (const observer of network.hosts.values()) {
          if (observer.state !== 'running') continue;
          const known = new Map(observer.core.members().map(m => [m.id, m]));
          for (const [id, {state}] of network.hosts) {
            if (id === observer.identity.id) continue;
            const seen = known.get(id)?.state;
            if (state === 'running') {
              assert.ok(
                seen === 'alive' || seen === 'suspect',
                `${observer.identity.id} sees running ${id} as ${seen}`,
              );
            } else {
              assert.ok(
                seen !== 'alive',
                `${observer.identity.id} sees stopped ${id} as ${seen}`,
              );
            }
          }
          const last = new Map<string, number>();
          for (const {effect} of observer.effects) {
            if (effect.kind !== 'changed') continue;
            const {id, incarnation} = effect.member;
            assert.ok(incarnation >= (last.get(id) ?? 0), `${id} fell`);
            last.set(id, incarnation);
          }
        }
      },
    ),
    {seed: 20260704, numRuns: 15},
  );
});
