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

// A target in two shards would have two owners, each of which grants up to its limit.
test('no shard has more than 32 targets and each target is in exactly one', () => {
  for (const count of [0, 1, 32, 33, 100, 275]) {
    const shards = placeTargets(names(count));
    assert.ok(shards.every(shard => shard.length <= maxGroupTargets));
    assert.equal(shardOf(shards).size, count);
  }
});

// A target that changes its shard moves to a group whose owner knows none of its outstanding permits.
test('a new target moves no other target while the number of shards is unchanged', () => {
  const before = placeTargets(names(80));
  const after = placeTargets(names(81));
  assert.equal(after.length, before.length);
  const placed = shardOf(after);
  for (const [name, shard] of shardOf(before)) {
    assert.equal(placed.get(name), shard);
  }
});

// Group names arrive from other hosts; a malformed one must not create a group.
test('malformed group names are rejected', () => {
  assert.deepEqual(parseGroup('a/s/12'), {zone: 'a', service: 's', shard: 12});
  for (const name of ['', 'a/s', 'a/s/', 'a/s/-1', 'a/s/01', 'a/b/c/1']) {
    assert.equal(parseGroup(name), undefined);
  }
});

// A request that is sent to another shard finds none of its prefix in the targets' caches.
test('a prefix keeps its shard until the second-ranked shard has twice the free slots', () => {
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
