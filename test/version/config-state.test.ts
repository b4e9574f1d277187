import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  emptyConfig,
  foldRecord,
  getResource,
  listResources,
  rememberedRecords,
  type ConfigRecord,
  type ConfigState,
} from '../../src/version/config-state.js';
import {
  decodeSnapshot,
  encodeSnapshot,
} from '../../src/version/snapshots/snapshot-format.js';

const zone = {region: 'r', state: 'in'} as const;

function put(name: string, base: number, change: object = {}): ConfigRecord {
  return {
    writeId: `${name}-${base}-${JSON.stringify(change)}`,
    actor: 'op',
    time: '2026-01-01T00:00:00Z',
    op: 'put',
    kind: 'zone',
    name,
    baseGeneration: base,
    spec: zone,
    ...change,
  };
}

function fold(records: readonly unknown[], start: ConfigState = emptyConfig) {
  let state = start;
  const outcomes = records.map(record => {
    const folded = foldRecord(state, record as ConfigRecord, state.offset);
    state = folded.state;
    return folded.outcome;
  });
  return {state, outcomes, kinds: outcomes.map(({kind}) => kind)};
}

test('of two writes based on the same generation only the first is accepted', () => {
  const {kinds, state} = fold([
    put('a', 0),
    put('a', 1, {actor: 'x'}),
    put('a', 1, {actor: 'y'}),
  ]);
  assert.deepEqual(kinds, ['accepted', 'accepted', 'conflict']);
  assert.equal(getResource(state, 'zone', 'a')?.writtenBy, 'x');
});

test('a record that was appended twice is applied once', () => {
  const any = put('a', -1);
  const {kinds, state} = fold([any, any]);
  assert.deepEqual(kinds, ['accepted', 'duplicate']);
  assert.equal(getResource(state, 'zone', 'a')?.generation, 1);
});

test('a write based on a deleted resource does not change the one created after it', () => {
  const {outcomes} = fold([
    put('a', 0),
    put('a', 1, {op: 'delete', spec: undefined}),
    put('a', 0, {writeId: 'again'}),
    put('a', 1, {writeId: 'late'}),
  ]);
  assert.deepEqual(outcomes[2], {kind: 'accepted', generation: 3});
  assert.deepEqual(outcomes[3], {kind: 'conflict', expected: 1, actual: 3});
});

test('an invalid spec is folded as invalid, but an unknown field of a newer release is accepted', () => {
  const {outcomes, kinds, state} = fold([
    put('a', 0, {spec: {region: 'r', state: 'gone'}}),
    put('b', 0, {spec: {...zone, added: 1}}),
    put('UPPER', 0),
    put('__proto__', 0),
  ]);
  assert.deepEqual(kinds, ['invalid', 'accepted', 'invalid', 'invalid']);
  assert.equal(
    outcomes[0].kind === 'invalid' && outcomes[0].errors[0].path,
    '/spec/state',
  );
  assert.deepEqual(
    listResources(state, 'zone').map(({name}) => name),
    ['b'],
  );
});

test('any JSON value is folded without an exception and advances the offset by one', () => {
  const record = fc.oneof(
    fc.jsonValue(),
    fc.record(
      {
        writeId: fc.oneof(fc.string(), fc.constant('w')),
        actor: fc.string(),
        time: fc.string(),
        op: fc.constantFrom('put', 'delete', 'other'),
        kind: fc.constantFrom('zone', 'target', 'toString'),
        name: fc.constantFrom('a', 'b', '__proto__'),
        baseGeneration: fc.integer({min: -2, max: 3}),
        spec: fc.oneof(fc.constant(zone), fc.jsonValue()),
      },
      {requiredKeys: []},
    ),
  );
  fc.assert(
    fc.property(fc.array(record, {maxLength: 30}), records => {
      const {state} = fold(records);
      assert.equal(state.offset, records.length);
      assert.deepEqual(fold(records).outcomes, fold(records).outcomes);
    }),
    {seed: 7, numRuns: 300},
  );
});

test('restoring a snapshot changes no later outcome', () => {
  const names = ['a', 'b', 'c'];
  const record = fc.record({
    writeId: fc.integer({min: 0, max: 30}).map(String),
    actor: fc.constant('op'),
    time: fc.constant('t'),
    op: fc.constantFrom('put' as const, 'delete' as const),
    kind: fc.constant('zone' as const),
    name: fc.constantFrom(...names),
    baseGeneration: fc.integer({min: -1, max: 4}),
    spec: fc.constant(zone),
  });
  fc.assert(
    fc.property(fc.array(record, {maxLength: 60}), fc.nat(60), (all, cut) => {
      const before = fold(all.slice(0, cut));
      const parts = encodeSnapshot(before.state, 'id', 't');
      const copy = JSON.parse(JSON.stringify(parts)) as typeof parts;
      const restored = fold(all.slice(cut), decodeSnapshot(copy));
      const straight = fold(all);
      assert.deepEqual(restored.outcomes, straight.outcomes.slice(cut));
      assert.deepEqual(
        listResources(restored.state, 'zone'),
        listResources(straight.state, 'zone'),
      );
    }),
    {seed: 11, numRuns: 200},
  );
});

test('write ids are retained for a bounded number of records', () => {
  const many = Array.from({length: rememberedRecords + 500}, (_, i) =>
    put('a', -1, {writeId: `w${i}`}),
  );
  const {state} = fold(many);
  assert.ok(state.recentWrites.size < rememberedRecords * 1.2);
  assert.equal(fold([many[500]], state).kinds[0], 'accepted');
  assert.equal(fold([many[501]], state).kinds[0], 'duplicate');
});
