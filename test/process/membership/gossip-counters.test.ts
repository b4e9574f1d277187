import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  cellsPerMessage,
  decodeCells,
  encodeCells,
} from '../../../src/connection/peer/counter-gossip.js';
import {GossipCounters} from '../../../src/process/membership/gossip-counters.js';

function createCounters(host: string, incarnation = 1, maxCells = 1000) {
  return new GossipCounters({host, incarnation, windowMs: 60_000, maxCells});
}

function exchange(from: GossipCounters, name: string, to: GossipCounters) {
  const cells = decodeCells(encodeCells(from.delta('to', 1000, 0)));
  to.merge(name, cells, 0);
}

test('sums converge after exchanges in any order (guards against double counting)', () => {
  const action = fc.record({
    host: fc.nat(3),
    peer: fc.nat(3),
    key: fc.constantFrom('a', 'b'),
    amount: fc.integer({min: 1, max: 1000}),
  });
  fc.assert(
    fc.property(fc.array(action, {maxLength: 60}), actions => {
      const names = ['h0', 'h1', 'h2', 'h3'];
      const all = names.map(name => createCounters(name));
      const total = new Map([
        ['a', 0],
        ['b', 0],
      ]);
      const send = (from: number, to: number) => {
        if (from === to) return;
        const delta = all[from].delta(names[to], 3, 0);
        const cells = decodeCells(encodeCells(delta));
        all[to].merge(names[from], cells, 0);
        all[to].merge(names[from], cells, 0);
      };
      for (const {host, peer, key, amount} of actions) {
        all[host].add(key, amount, 0);
        total.set(key, (total.get(key) ?? 0) + amount);
        send(host, peer);
        for (const [k, sum] of total) assert.ok(all[peer].sum(k, 0) <= sum);
      }
      // Along a chain and back, in pages of three cells.
      for (let round = 0; round < 20; round++) {
        for (let i = 0; i < 3; i++) {
          send(i, i + 1);
          send(i + 1, i);
        }
      }
      for (const counters of all) {
        for (const [key, sum] of total) assert.equal(counters.sum(key, 0), sum);
      }
    }),
    {seed: 4711, numRuns: 100},
  );
});

test('a restarted host counts from zero without reducing the sum', () => {
  const observer = createCounters('h2');
  const before = createCounters('h1', 1);
  before.add('k', 5, 0);
  exchange(before, 'h1', observer);
  const after = createCounters('h1', 2);
  after.add('k', 2, 0);
  exchange(after, 'h1', observer);
  assert.equal(observer.sum('k', 0), 7);
});

test('an expired cell is not restored by a host that received it late', () => {
  const [a, b, c] = [
    createCounters('a'),
    createCounters('b'),
    createCounters('c'),
  ];
  a.add('k', 5, 0);
  b.merge('a', a.delta('b', 10, 30_000), 30_000);
  assert.equal(b.sum('k', 59_000), 5);
  c.merge('b', b.delta('c', 10, 59_000), 59_000);
  a.expire(61_000, () => true);
  assert.equal(a.size, 0);
  assert.equal(c.sum('k', 62_000), 0);
  a.merge('c', c.delta('a', 10, 62_000), 62_000);
  assert.equal(a.size, 0);
});

test('the number of cells is bounded, and the most recently increased ones stay', () => {
  const counters = createCounters('h', 1, 10);
  for (let i = 0; i < 100; i++) counters.add(`k${i}`, 1, i);
  assert.equal(counters.size, 10);
  assert.equal(counters.sum('k99', 100), 1);
  assert.equal(counters.sum('k0', 100), 0);
});

test('a cell is sent once to each host and not back to its sender, until the periodic resync', () => {
  const [a, b] = [createCounters('a'), createCounters('b')];
  a.add('k', 1, 0);
  const cells = a.delta('b', 10, 0);
  assert.equal(cells.length, 1);
  assert.deepEqual(a.delta('b', 10, 1000), []);
  b.merge('a', cells, 0);
  assert.deepEqual(b.delta('a', 10, 0), []);
  assert.equal(a.delta('b', 10, 31_000).length, 1);
});

test('a full message stays below 400 bytes, and malformed messages are ignored', () => {
  const counters = createCounters('host-17', 1_767_225_600);
  for (let i = 0; i < cellsPerMessage; i++)
    counters.add(`usage/org-${i}`, 123_456, 0);
  const bytes = encodeCells(counters.delta('b', cellsPerMessage, 5000));
  assert.ok(bytes.length < 400, `${bytes.length} bytes`);
  assert.deepEqual(decodeCells(Buffer.from('garbage')), []);
  assert.deepEqual(decodeCells(bytes.subarray(0, 40)), []);
});
