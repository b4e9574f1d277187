import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  maxGroupTargets,
  parseGroup,
  pickGroup,
  placeTargets,
} from '../../../src/process/groups/group-names.js';
import {PermitFleet} from './permit-fleet.js';

const names = (count: number) =>
  Array.from({length: count}, (_, i) => `engine-${i}`);

function shardOf(shards: readonly string[][]): Map<string, number> {
  return new Map(
    shards.flatMap((shard, i) => shard.map(name => [name, i] as const)),
  );
}

test('no shard holds more than 32 targets and each target is in one', () => {
  for (const count of [0, 1, 32, 33, 100, 275]) {
    const shards = placeTargets(names(count));
    assert.ok(shards.every(shard => shard.length <= maxGroupTargets));
    assert.equal(shardOf(shards).size, count);
  }
});

test('a new target moves no other while the number of shards stays', () => {
  const before = placeTargets(names(80));
  const after = placeTargets(names(81));
  assert.equal(after.length, before.length);
  const placed = shardOf(after);
  for (const [name, shard] of shardOf(before)) {
    assert.equal(placed.get(name), shard);
  }
});

test('names of another form are not taken for groups', () => {
  assert.deepEqual(parseGroup('a/s/12'), {zone: 'a', service: 's', shard: 12});
  for (const name of ['', 'a/s', 'a/s/', 'a/s/-1', 'a/s/01', 'a/b/c/1']) {
    assert.equal(parseGroup(name), undefined);
  }
});

test('a prefix keeps its shard until another has at least twice the free slots', () => {
  const fleet = new PermitFleet(1);
  const req = {...fleet.request('r'), prefixes: ['p', 'q']};
  const groups = ['a/s/0', 'a/s/1', 'a/s/2'];
  const first = pickGroup(req, groups, () => undefined);
  const other = {...fleet.request('other'), prefixes: ['q']};
  assert.equal(
    pickGroup(other, groups, () => 5),
    first,
  );
  const free = (slots: number) => (name: string) =>
    name === first ? 4 : slots;
  assert.equal(pickGroup(req, groups, free(7)), first);
  assert.notEqual(pickGroup(req, groups, free(8)), first);
});
