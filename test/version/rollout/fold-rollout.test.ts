import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {foldRollout} from '../../../src/version/rollout/fold-rollout.js';
import {
  emptyRollouts,
  type RolloutChange,
  type RolloutRecord,
} from '../../../src/version/rollout/rollout-state.js';
import {versionCaps} from '../../../src/version/rollout/version-caps.js';
import {
  foldAll,
  record,
  spec,
  started,
  startMs,
  step,
  targets,
} from './fixtures.js';

test('records of a replaced leader have no effect, those of its successor do', () => {
  const state = foldAll([
    ...started,
    step(0),
    record({type: 'claim'}, {fencing: 9}),
    step(1),
  ]);
  assert.equal(
    state.entries.get('r')?.step,
    0,
    'written by the replaced leader',
  );
  const later = foldAll(
    [record({type: 'step', step: 1, evidence: ''}, {fencing: 9})],
    state,
  );
  assert.equal(later.entries.get('r')?.step, 1);
  const regained = foldAll([record({type: 'claim'}), step(2)], later);
  assert.equal(regained.entries.get('r')?.step, 1, 'an older claim');
});

test('a record that is written twice because a response was lost takes effect once', () => {
  const back = record({type: 'take-back', reason: 'evidence', evidence: ''});
  const once = foldAll([...started, step(0), back]);
  const twice = foldAll([back, step(1)], once);
  assert.deepEqual(twice.entries, once.entries);
});

test('a rolled-back version is not rolled out again, a superseded one may be', () => {
  for (const reason of ['evidence', 'superseded'] as const) {
    const state = foldAll([
      ...started,
      step(0),
      record({type: 'take-back', reason, evidence: ''}),
      record({type: 'taken-back'}),
      record({type: 'claim'}, {rollout: 'again'}),
      {...started[1], rollout: 'again'},
    ]);
    const phase = state.entries.get('again')?.phase;
    assert.equal(phase, reason === 'evidence' ? undefined : 'progressing');
  }
});

/** Order in which a rollout may pass through its phases. */
const ranks = {
  queued: 0,
  refused: 4,
  progressing: 1,
  completed: 2,
  'taking-back': 3,
  done: 4,
  'taken-back': 4,
  superseded: 4,
};

test('in any order of records phases and steps never regress, one epoch applies, and a rolled-back version has no share', () => {
  const change: fc.Arbitrary<RolloutChange> = fc.oneof(
    fc.constant<RolloutChange>({type: 'claim'}),
    fc.constant<RolloutChange>({
      type: 'start',
      spec: spec(),
      oldVersion: 'v1',
      steps: [0.05, 0.5, 1],
    }),
    fc
      .integer({min: 0, max: 3})
      .map<RolloutChange>(n => ({type: 'step', step: n, evidence: ''})),
    fc
      .constantFrom('pause', 'resume', 'done', 'taken-back' as const)
      .map(type => ({type}) as RolloutChange),
    fc.constant<RolloutChange>({type: 'complete', evidence: ''}),
    fc
      .constantFrom('evidence', 'deadline', 'superseded' as const)
      .map(
        reason => ({type: 'take-back', reason, evidence: ''}) as RolloutChange,
      ),
    fc
      .constantFrom('a', 'b')
      .map<RolloutChange>(behind => ({type: 'queue', spec: spec(), behind})),
  );
  const records = fc.array(
    fc
      .tuple(change, fc.constantFrom('r', 'q'), fc.integer({min: 1, max: 3}))
      .map(([each, rollout, fencing]) => record(each, {rollout, fencing})),
    {maxLength: 80},
  );
  const checkInvariants = (list: RolloutRecord[]) => {
    let state = emptyRollouts;
    for (const each of list) {
      const before = state;
      state = foldRollout(state, each, state.offset);
      const old = before.entries.get(each.rollout);
      const now = state.entries.get(each.rollout);
      const epoch = before.epochs.get(each.rollout);
      if (each.fencing !== epoch) assert.equal(now, old, 'another epoch');
      if (old && now) {
        assert.ok(ranks[now.phase] >= ranks[old.phase]);
        assert.ok(now.step >= old.step);
      }
      for (const banned of before.banned) assert.ok(state.banned.has(banned));
      const active = [...state.entries.values()].filter(({phase}) =>
        ['progressing', 'completed', 'taking-back'].includes(phase),
      );
      assert.ok(active.length <= 1, 'one rollout of a service at a time');
      const caps = versionCaps({
        state,
        service: 's',
        targets: targets('111222'),
        zones: ['a', 'b', 'c'],
        stopped: new Set(),
        wallMs: startMs,
      });
      for (const list of caps.zones.values())
        for (const {version, share} of list)
          if (state.banned.has(`s/${version}`)) assert.equal(share, 0);
    }
  };
  fc.assert(fc.property(records, checkInvariants), {
    seed: 20261204,
    numRuns: 500,
  });
});
