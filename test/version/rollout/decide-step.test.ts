import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  decideStep,
  type RolloutDecision,
} from '../../../src/version/rollout/decide-step.js';
import type {RolloutRecord} from '../../../src/version/rollout/rollout-state.js';
import type {RolloutView} from '../../../src/version/rollout/rollout-view.js';
import {
  foldAll,
  harmfulVerdict,
  record,
  shortVerdict,
  spec,
  started,
  startMs,
  step,
  targets,
  view,
  harmlessVerdict,
} from './fixtures.js';

/** Returns the type and the detail of the record that is decided, `none` without a record. */
function decided(
  records: readonly RolloutRecord[],
  changes: Partial<RolloutView> = {},
): string {
  const list = decideStep(view({state: foldAll(records), ...changes}));
  return describeRecord(list);
}

function describeRecord(list: readonly RolloutDecision[]): string {
  for (const each of list) {
    if (each.kind !== 'record') continue;
    const {change} = each;
    const detail =
      'reason' in change ? change.reason : 'step' in change ? change.step : '';
    return `${change.type} ${detail}`.trim();
  }
  return 'none';
}

function control(value: 'run' | 'pause' | 'take-back' | 'force-forward') {
  return {declared: {name: 'r', spec: spec({control: value}), offset: 0}};
}

function inPlace(records: readonly RolloutRecord[]): RolloutRecord[] {
  return records.map(each =>
    each.type === 'start'
      ? {...each, spec: spec({strategy: 'in-place'})}
      : each,
  );
}

function orders(list: readonly RolloutDecision[]): string[] {
  return list.flatMap(each => (each.kind === 'order' ? [each.target] : []));
}

const canary = [...started, step(0)];
const followedVerdict = {verdict: {...harmlessVerdict, measuredShare: 0.25}};

test('the share grows with evidence, not with elapsed time', () => {
  assert.equal(decided(started), 'step 0');
  assert.equal(decided(canary), 'step 1');
  const late = {verdict: shortVerdict, wallMs: startMs + 3_000_000};
  assert.equal(decided(canary, late), 'none', 'evidence is insufficient');
  const early = {wallMs: startMs + 1000};
  assert.equal(decided(canary, early), 'none', 'no counters of this step yet');
});

test('the next step waits until the measured share is close to the current one', () => {
  const second = [...canary, step(1)];
  assert.equal(decided(second), 'none', 'the measured share is still 0.05');
  assert.equal(decided(second, followedVerdict), 'step 2');
});

test('with insufficient evidence the rollback starts early enough to end by the deadline', () => {
  const at = (ms: number) =>
    decided(canary, {
      verdict: shortVerdict,
      wallMs: startMs + 3_600_000 - ms,
    });
  assert.equal(at(31_000), 'none');
  assert.equal(at(30_000), 'take-back deadline');
  // Three engines run the new version, so the rollback includes the time to load the old one.
  const loaded = (ms: number) =>
    decided(inPlace(canary), {
      declared: {name: 'r', spec: spec({strategy: 'in-place'}), offset: 0},
      verdict: shortVerdict,
      wallMs: startMs + 3_600_000 - ms,
    });
  assert.equal(loaded(101_000), 'none');
  assert.equal(loaded(100_000), 'take-back deadline');
});

test('evidence of harm rolls the version back at each step and in the watch period, also if forced', () => {
  assert.equal(
    decided(canary, {verdict: harmfulVerdict}),
    'take-back evidence',
  );
  const forced = {...control('force-forward'), verdict: harmfulVerdict};
  assert.equal(decided(canary, forced), 'take-back evidence');
  const completed = [
    ...canary,
    step(3),
    record({type: 'complete', evidence: ''}),
  ];
  assert.equal(
    decided(completed, {verdict: harmfulVerdict}),
    'take-back late-fault',
  );
  assert.equal(decided(completed, {wallMs: startMs + 59_000}), 'none');
  assert.equal(decided(completed), 'done');
});

test('operators can pause, resume, force and roll back a rollout', () => {
  assert.equal(decided(canary, control('pause')), 'pause');
  const paused = [...canary, record({type: 'pause'})];
  assert.equal(decided(paused, control('pause')), 'none');
  assert.equal(
    decided(paused, {...control('pause'), verdict: harmfulVerdict}),
    'take-back evidence',
  );
  assert.equal(decided(paused), 'resume');
  assert.equal(decided(canary, control('take-back')), 'take-back operator');
  const forced = {...control('force-forward'), verdict: shortVerdict};
  assert.equal(decided(canary, forced), 'step 1');
});

test('a second rollout of the service is refused, queued or supersedes the first', () => {
  const second = (onConflict: 'refuse' | 'queue' | 'supersede') => ({
    declared: {name: 'q', spec: spec({version: 'v3', onConflict}), offset: 1},
  });
  assert.equal(decided(canary, second('refuse')), 'refuse conflict');
  assert.equal(decided(canary, second('queue')), 'queue');
  for (const onConflict of ['queue', 'supersede'] as const) {
    const queued = record(
      {type: 'queue', spec: spec({version: 'v3', onConflict}), behind: 'r'},
      {rollout: 'q'},
    );
    const both = [...canary, record({type: 'claim'}, {rollout: 'q'}), queued];
    const first = decided(both, {verdict: shortVerdict});
    const superseded = onConflict === 'supersede';
    assert.equal(first, superseded ? 'take-back superseded' : 'none');
    assert.equal(decided(both, second(onConflict)), 'none', 'it waits');
    const ended = [
      ...both,
      record({type: 'take-back', reason: 'superseded', evidence: ''}),
      record({type: 'taken-back'}),
    ];
    assert.equal(decided(ended, second(onConflict)), 'start');
  }
});

test('a rollout is refused if it cannot end by its deadline or its version was rolled back', () => {
  const wallMs = startMs + 3_600_000 - 60_000;
  assert.equal(decided([], {wallMs}), 'refuse deadline-too-near');
  const back = [
    ...canary,
    record({type: 'take-back', reason: 'evidence', evidence: ''}),
    record({type: 'taken-back'}),
  ];
  const again = {declared: {name: 'q', spec: spec(), offset: 1}};
  assert.equal(decided(back, again), 'refuse version-taken-back');
});

test('an in-place rollout loads a few engines at a time and limits those of each zone', () => {
  const state = foldAll([...inPlace(canary), step(3)]);
  const declared = {name: 'r', spec: spec({strategy: 'in-place'}), offset: 0};
  const base = {
    state,
    declared,
    verdict: {...harmlessVerdict, measuredShare: 1},
  };
  const all = decideStep(view({...base, targets: targets('111111111111')}));
  const zonesOf = (names: string[]) =>
    names.map(name => Number(name.slice(1)) % 3).sort();
  assert.deepEqual(zonesOf(orders(all)), [0, 1, 2], 'one of four in each zone');
  const busy = targets('111111111111', i => (i === 1 ? {loading: 'v2'} : {}));
  const next = decideStep(view({...base, targets: busy}));
  assert.deepEqual(
    zonesOf(orders(next)),
    [0, 2],
    'zone b already has one loading',
  );
  const slow = {loadMs: 60_000, parallelLoads: 1, drainMs: 0};
  const one = decideStep(
    view({...base, targets: targets('111111'), estimates: slow}),
  );
  assert.equal(
    orders(one).length,
    1,
    'the weight store serves one load at a time',
  );
  const full = decideStep(
    view({...base, targets: targets('111111'), utilisation: 0.88}),
  );
  assert.deepEqual(orders(full), [], 'no capacity to spare');
});

test('targets of a zone out of service neither count nor block, and load when it returns', () => {
  const declared = {name: 'r', spec: spec({strategy: 'in-place'}), offset: 0};
  const last = [...inPlace(canary), step(3)];
  const out = targets('221221', i => (i % 3 === 2 ? {zoneIn: false} : {}));
  const verdict = {...harmlessVerdict, measuredShare: 1};
  assert.equal(decided(last, {declared, targets: out, verdict}), 'complete');
  const back = targets('221221');
  assert.equal(decided(last, {declared, targets: back, verdict}), 'none');
  const done = [
    ...last,
    record({type: 'complete', evidence: ''}),
    record({type: 'done'}),
  ];
  const late = decideStep(
    view({state: foldAll(done), declared, targets: back}),
  );
  assert.deepEqual(orders(late), ['t2']);
  const undone = [
    ...last,
    record({type: 'take-back', reason: 'evidence', evidence: ''}),
    record({type: 'taken-back'}),
  ];
  const reload = decideStep(
    view({state: foldAll(undone), declared, targets: targets('112111')}),
  );
  assert.deepEqual(orders(reload), ['t2'], 'the old version is loaded again');
});

test('a rollback is complete only after the requests of the version have ended', () => {
  const back = [
    ...canary,
    record({type: 'take-back', reason: 'evidence', evidence: ''}),
  ];
  assert.equal(decided(back, {newInFlight: 1}), 'none');
  assert.equal(decided(back), 'taken-back');
});
