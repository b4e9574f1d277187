import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  bucketMs,
  EvidenceStore,
  warmUpMs,
  type EvidenceSample,
} from '../../../src/version/evidence/evidence-store.js';

function sample(changes: Partial<EvidenceSample> = {}): EvidenceSample {
  return {
    service: 's',
    version: 'v2',
    route: 'chat',
    zone: 'a',
    target: 't1',
    targetEpoch: 1,
    result: 'ok',
    firstTokenMs: 100,
    tokenMs: 20,
    ...changes,
  };
}

function sum(store: EvidenceStore, bucket = 0) {
  const cells = store.cells('s', bucket);
  return {
    requests: cells.reduce((all, cell) => all + cell.requests, 0),
    failures: cells.reduce((all, cell) => all + cell.failures, 0),
    latencies: cells.reduce((all, cell) => all + cell.firstToken.total, 0),
  };
}

test('an export that arrives twice or late is counted once', () => {
  const [a, b] = [new EvidenceStore('a'), new EvidenceStore('b')];
  a.record(sample(), 1000);
  const early = a.export();
  a.record(sample({result: 'failed'}), 1500);
  const late = a.export();
  for (const each of [late, early, late]) b.merge(each);
  b.record(sample(), 2000);
  assert.deepEqual(sum(b), {requests: 3, failures: 1, latencies: 0});
  b.merge(b.export());
  assert.equal(sum(b).requests, 3, 'local counters that a peer returns');
});

test('latency during the warm-up of a target is excluded, except after repeated restarts', () => {
  const store = new EvidenceStore('a');
  store.record(sample(), 0);
  assert.equal(sum(store).latencies, 0, 'first request after the start');
  store.record(sample(), warmUpMs - 1);
  store.record(sample(), warmUpMs);
  assert.equal(sum(store, warmUpMs / bucketMs).latencies, 1, 'warm');
  for (let epoch = 2; epoch <= 4; epoch++)
    store.record(sample({targetEpoch: epoch}), 100_000);
  assert.equal(
    sum(store, 100_000 / bucketMs).latencies,
    2,
    'third and later starts',
  );
});

test('a crash counts once, however many requests it fails, and not if the request is suspect', () => {
  const store = new EvidenceStore('a');
  for (let i = 0; i < 8; i++)
    store.record(sample({result: 'crashed'}), 100 + i);
  store.record(sample({result: 'crashed', target: 't2', suspect: true}), 200);
  assert.equal(sum(store).failures, 1);
  for (let i = 0; i < 8; i++) store.record(sample({result: 'failed'}), 300 + i);
  assert.equal(sum(store).failures, 9, 'failures of single requests all count');
});

test('the number of cells stays bounded with many routes and over time', () => {
  const store = new EvidenceStore('a');
  for (let i = 0; i < 1000; i++) store.record(sample({route: `r${i}`}), 0);
  assert.equal(store.size, 33);
  assert.equal(sum(store).requests, 1000);
  for (let bucket = 1; bucket < 200; bucket++) {
    store.record(sample(), bucket * bucketMs);
    store.expire(bucket * bucketMs);
  }
  assert.ok(store.size <= 25, `${store.size} cells are kept`);
});

test('the warm-up of a target begins with the first request that any host has seen', () => {
  // If each host excludes 20 s after the first request that it has sent itself, hosts with few canary
  // requests lack most latencies, and a slow version is stopped 4.5 s late (bench seed 190).
  const [a, b] = [new EvidenceStore('a'), new EvidenceStore('b')];
  a.record(sample(), 0);
  b.merge(a.export());
  b.record(sample(), warmUpMs);
  assert.equal(sum(b, warmUpMs / bucketMs).latencies, 1);
});
