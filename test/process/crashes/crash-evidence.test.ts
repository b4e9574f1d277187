import assert from 'node:assert/strict';
import {test} from 'node:test';
import {BestExplanationRule} from '../../../src/process/crashes/blame-rule.js';
import {CrashEvidence} from '../../../src/process/crashes/crash-evidence.js';
import {attemptEnds} from '../../../src/process/crashes/running-attempts.js';

test('a request that crashes two targets is refused, and requests that ran beside it are cleared', () => {
  const evidence = new CrashEvidence();
  evidence.started('t1', 'bad-0', ['bad']);
  evidence.started('t1', 'good-0', ['good']);
  evidence.ended('t1', 'bad-0', 'broken', 1000);
  assert.equal(evidence.recordTargetCrash('t1', 1001), 2);
  assert.equal(evidence.isBlocked(['bad'], 1002), false);

  evidence.started('t2', 'bad-1', ['bad']);
  evidence.started('t3', 'good-1', ['good']);
  evidence.ended('t3', 'good-1', 'completed', 5000);
  assert.equal(evidence.recordTargetCrash('t2', 5001), 1);
  assert.equal(evidence.isBlocked(['bad'], 5002), true);

  evidence.started('t4', 'good-2', ['good']);
  evidence.recordTargetCrash('t4', 9000);
  assert.equal(evidence.isBlocked(['good'], 9001), false);
});

test('a crash reported by several hosts counts once, and merging is idempotent', () => {
  const [a, b] = [new CrashEvidence(), new CrashEvidence()];
  for (const host of [a, b]) host.started('t1', 'r', ['bad']);
  a.recordTargetCrash('t1', 1000);
  b.recordTargetCrash('t1', 1500);
  a.merge(b.export(1500));
  a.merge(b.export(1500));
  assert.equal(a.isBlocked(['bad'], 1600), false);
  b.started('t2', 'r', ['bad']);
  b.recordTargetCrash('t2', 9000);
  a.merge(b.export(9000));
  assert.equal(a.isBlocked(['bad'], 9001), true);
});

test('a completion at one host clears a request at all hosts', () => {
  const [a, b] = [new CrashEvidence(), new CrashEvidence()];
  a.started('t1', 'r', ['good']);
  a.recordTargetCrash('t1', 1000);
  b.merge(a.export(1000));
  b.started('t2', 'r2', ['good']);
  b.ended('t2', 'r2', 'completed', 2000);
  a.merge(b.export(2000));
  assert.deepEqual(a.export(2000).records, []);
  a.merge({
    records: [{fingerprint: 'good', target: 't1', atMs: 1000, suspects: 1}],
    cleared: [],
  });
  assert.deepEqual(a.export(2000).records, []);
});

test('evidence expires, and a request that failed long before a crash is not a suspect', () => {
  const evidence = new CrashEvidence({expiryMs: 1000, suspicionMs: 100});
  evidence.started('t1', 'r', ['early']);
  evidence.ended('t1', 'r', 'broken', 0);
  assert.equal(evidence.recordTargetCrash('t1', 200), 0);
  for (const [target, atMs] of [
    ['t1', 200],
    ['t2', 300],
  ] as const) {
    evidence.started(target, 'r', ['bad']);
    evidence.recordTargetCrash(target, atMs);
  }
  assert.equal(evidence.isBlocked(['bad'], 301), true);
  assert.equal(evidence.isBlocked(['bad'], 1301), false);
});

test('the number of fingerprints with evidence is bounded', () => {
  const evidence = new CrashEvidence({maxFingerprints: 10});
  for (let i = 0; i < 100; i++) {
    evidence.started('t', `r${i}`, [`f${i}`]);
    evidence.recordTargetCrash('t', i);
  }
  assert.equal(evidence.export(100).records.length, 10);
});

// Guards against blaming long streams, which are beside a crash more often than short ones.
test('a crash counts less against a request to which its target had responded for a while', () => {
  const evidence = new CrashEvidence();
  evidence.started('t1', 'early', ['early'], 0);
  evidence.started('t1', 'late', ['late'], 0);
  evidence.responded('t1', 'early', 4800);
  evidence.responded('t1', 'late', 200);
  evidence.recordTargetCrash('t1', 5000);
  const weights = evidence
    .export(5000)
    .records.map(({fingerprint, weight}) => [fingerprint, weight]);
  assert.deepEqual(Object.fromEntries(weights), {early: 1, late: 0.5});
});

// Guards against blaming a request that a cut reset at several targets: what was reset beside it counted no more once it had
// completed elsewhere.
test('crashes of other targets stay signs of a common cause when their requests have completed', () => {
  const evidence = new CrashEvidence({rule: new BestExplanationRule()});
  const crash = (target: string, request: string, startedMs: number) => {
    evidence.started(target, request, [request], startedMs);
    evidence.recordTargetCrash(target, startedMs + 3);
  };
  for (let i = 0; i < 3; i++) {
    crash(`t${i}`, 'reset', i * 10);
    crash(`u${i}`, `beside${i}`, i * 10);
  }
  assert.equal(evidence.isBlocked(['reset'], 500), false);
  for (let i = 0; i < 3; i++) {
    evidence.started('v', `again${i}`, [`beside${i}`], 500);
    evidence.ended('v', `again${i}`, attemptEnds.completed, 600);
  }
  assert.equal(evidence.isBlocked(['reset'], 700), false);
});

// Guards against the same for connections that break again and again: only the first time counted, as a target crashes once.
test('targets that seem to crash again are signs of a common cause', () => {
  const evidence = new CrashEvidence({rule: new BestExplanationRule()});
  const crash = (target: string, request: string, startedMs: number) => {
    evidence.started(target, request, [request], startedMs);
    evidence.recordTargetCrash(target, startedMs + 3);
  };
  for (let i = 0; i < 3; i++) crash(`u${i}`, `early${i}`, 0);
  for (let i = 0; i < 3; i++) {
    crash(`u${i}`, `late${i}`, 2000 + i * 10);
    crash(`t${i}`, 'reset', 2000 + i * 10);
  }
  assert.equal(evidence.isBlocked(['reset'], 2500), false);
});
