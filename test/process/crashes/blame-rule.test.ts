import assert from 'node:assert/strict';
import {test} from 'node:test';
import {BestExplanationRule} from '../../../src/process/crashes/blame-rule.js';
import type {CrashRecord} from '../../../src/process/crashes/crash-record.js';

interface Run {
  readonly fingerprints: readonly string[];
  readonly startedMs: number;
  readonly atMs: number;
}

/** Evidence of crashes with the requests that ran under each, one target each. */
function crashesOf(...crashes: readonly Run[][]): Map<string, CrashRecord[]> {
  const records = new Map<string, CrashRecord[]>();
  crashes.forEach((runs, target) => {
    for (const {fingerprints, startedMs, atMs} of runs) {
      fingerprints.forEach((fingerprint, rank) => {
        const list = records.get(fingerprint) ?? [];
        records.set(fingerprint, list);
        list.push({
          fingerprint,
          target: `t${target}`,
          startedMs,
          atMs,
          rank,
          suspects: runs.length,
        });
      });
    }
  });
  return records;
}

function run(startedMs: number, atMs: number, ...fingerprints: string[]): Run {
  return {fingerprints, startedMs, atMs};
}

function blockedBy(...crashes: readonly Run[][]): string[] {
  return [
    ...new BestExplanationRule().blocked(crashesOf(...crashes), 60_000),
  ].sort();
}

// Guards against refusing what ran on many targets that failed together, for example with their rack.
test('targets that crash at the same time convict nobody, however many they are', () => {
  const wave = (atMs: number) =>
    Array.from({length: 6}, (_, i) => [run(atMs - 900, atMs + i, 'part')]);
  assert.deepEqual(blockedBy(...wave(1000)), []);
  assert.deepEqual(blockedBy(...wave(1000), ...wave(6000)), []);
});

// Guards against blaming a request that was retried from one to the next of many targets which are ended together, each
// some milliseconds after the one before.
test('crashes one after the other are no evidence while several other targets crash, too', () => {
  const ended = [100, 110, 120].map(atMs => [run(atMs - 8, atMs, 'retried')]);
  const others = [95, 105, 115].map((atMs, i) => [run(0, atMs, `r${i}`)]);
  assert.deepEqual(blockedBy(...ended, ...others.slice(1)), ['retried']);
  assert.deepEqual(blockedBy(...ended, ...others), []);
});

// Guards against blaming a request for targets that another host had reported as crashed before: they had not.
test('a run on a target that had crashed before shows that it had not', () => {
  const crashes = [1000, 2000, 3000].map(atMs => [
    run(atMs - 50, atMs, 'late'),
    run(atMs - 990, atMs - 900, `r${atMs}`),
  ]);
  assert.deepEqual(blockedBy(...crashes), []);
});

// Guards against requests that end several targets within one attempt of the caller, before any host has answered.
test('crashes one after the other convict although only milliseconds lie between them', () => {
  assert.deepEqual(
    blockedBy([run(0, 50, 'r')], [run(53, 110, 'r')], [run(112, 170, 'r')]),
    ['r'],
  );
});

// Guards against refusing sound requests that share a part with the crashing ones.
test('a part that is common to the crashing requests is not blamed beside a more specific one', () => {
  const crash = (i: number) => [
    run(i * 1000, i * 1000 + 100, `r${i}`, 'deadly', 'common'),
    run(i * 1000, i * 1000 + 100, `s${i}`, `other${i}`, 'common'),
  ];
  assert.deepEqual(blockedBy(crash(0), crash(1), crash(2)), ['deadly']);
});

// Guards against blaming a document for one request that crashes targets and contains it.
test('a request that crashes targets is blamed before its parts', () => {
  const crash = (i: number) => [run(i * 1000, i * 1000 + 50, 'r', 'document')];
  assert.deepEqual(blockedBy(crash(0), crash(1), crash(2)), ['r']);
});

// Guards against blaming each of many requests in turn, so that their common part goes on crashing targets.
test('a part is blamed once it explains more crashes than the request that was blamed first', () => {
  const crash = (i: number, request: string) => [
    run(i * 1000, i * 1000 + 50, request, 'deadly'),
  ];
  assert.deepEqual(
    blockedBy(crash(0, 'r'), crash(1, 'r'), crash(2, 'r'), crash(3, 'q')),
    ['deadly'],
  );
});

// Guards against blaming a part while the report of another host, which explains the crash better, is on its way.
test('a part is blamed only once the reports of other hosts have arrived, a request at once', () => {
  const crashes = crashesOf(
    ...[0, 1, 2].map(i => [run(i * 1000, i * 1000 + 50, `r${i}`, 'part')]),
    ...[0, 1, 2].map(i => [run(i * 1000, i * 1000 + 50, 'request')]),
  );
  const rule = new BestExplanationRule();
  assert.deepEqual([...rule.blocked(crashes, 2100)], ['request']);
  assert.deepEqual([...rule.blocked(crashes, 2350)].sort(), [
    'part',
    'request',
  ]);
});

// Guards against refusing a long stream that three waves of crashes met: each of its targets had responded for seconds.
test('crashes of targets that had responded for a while count less', () => {
  const late = (count: number) => {
    const crashes = crashesOf(
      ...Array.from({length: count}, (_, i) => [
        run(i * 5000, i * 5000 + 4000, 'r'),
      ]),
    );
    const records = (crashes.get('r') ?? []).map(record => ({
      ...record,
      weight: 0.5,
    }));
    return new BestExplanationRule().blocked(new Map([['r', records]]), 60_000);
  };
  assert.equal(late(5).size, 0);
  assert.equal(late(6).size, 1);
});

// Guards against two crashing requests of which the second is taken for a bystander of the first.
test('two requests that crash targets independently are both blamed', () => {
  const crash = (i: number, request: string) => [
    run(i * 100, i * 100 + 50, request),
  ];
  assert.deepEqual(
    blockedBy(
      ...[0, 2, 4].map(i => crash(i, 'a')),
      ...[1, 3, 5].map(i => crash(i, 'b')),
    ),
    ['a', 'b'],
  );
});
