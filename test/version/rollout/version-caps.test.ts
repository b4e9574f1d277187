import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {RolloutTarget} from '../../../src/version/rollout/rollout-view.js';
import type {RolloutRecord} from '../../../src/version/rollout/rollout-state.js';
import {versionCaps} from '../../../src/version/rollout/version-caps.js';
import {foldAll, record, started, startMs, step, targets} from './fixtures.js';

const zones = ['a', 'b', 'c'];

function caps(
  records: readonly RolloutRecord[],
  changes: {
    targets?: RolloutTarget[];
    stopped?: ReadonlySet<string>;
    wallMs?: number;
  } = {},
) {
  const all = versionCaps({
    state: foldAll(records),
    service: 's',
    targets: targets('111222'),
    zones,
    stopped: new Set(),
    wallMs: startMs,
    ...changes,
  });
  return zones.map(
    zone =>
      all.zones.get(zone)?.find(({version}) => version === 'v2') ?? {
        share: -1,
        inFlight: -1,
      },
  );
}

const sum = (list: {inFlight: number}[]) =>
  list.reduce((all, {inFlight}) => all + inFlight, 0);

test('the limit on requests in flight holds for the sum over all zones', () => {
  const canary = caps([...started, step(0)]);
  assert.equal(sum(canary), 4);
  const one = targets('111211');
  const single = caps([...started, step(0)], {targets: one});
  assert.equal(sum(single), 4, 'one zone has the only new target');
  const overall = single.reduce((all, {share}) => all + share, 0) / 3;
  assert.ok(overall <= 0.05 + 1e-9, `share ${overall} of all requests`);
});

test('a stopped version has no share, even if the log still allows one', () => {
  const stopped = caps([...started, step(2)], {stopped: new Set(['v2'])});
  for (const {share, inFlight} of stopped)
    assert.deepEqual({share, inFlight}, {share: 0, inFlight: 0});
});

test('after the deadline an uncompleted version has no share, even if the log is down', () => {
  const late = caps([...started, step(2)], {wallMs: startMs + 3_600_000});
  assert.ok(late.every(({share}) => share === 0));
  const completed = [
    ...started,
    step(3),
    record({type: 'complete', evidence: ''}),
  ];
  const after = caps(completed, {wallMs: startMs + 3_600_000});
  assert.ok(after.every(({share}) => share === 1));
});

test('new targets get no more requests than they can serve', () => {
  const few = targets('111111112');
  const shares = caps([...started, step(3)], {targets: few});
  assert.deepEqual(
    shares.map(({share}) => share),
    [0, 0, 0.5],
    'one new target next to two old ones, of which it can replace one',
  );
});

test('a host that was paused gives a growing version no share until it has caught up', () => {
  const all = versionCaps({
    state: foldAll([...started, step(2)]),
    service: 's',
    targets: targets('111222'),
    zones,
    stopped: new Set(),
    outdated: true,
    wallMs: startMs,
  });
  for (const list of all.zones.values())
    assert.equal(list.find(({version}) => version === 'v2')?.share, 0);
});

test('a zone out of service has the caps of a completed rollout when it returns', () => {
  const out = targets('111222', i => ({zoneIn: i % 3 !== 2}));
  const completed = [
    ...started,
    step(3),
    record({type: 'complete', evidence: ''}),
  ];
  assert.equal(caps(completed, {targets: out})[2].share, 1);
});
