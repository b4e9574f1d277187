import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  decideAttempt,
  type AttemptDecision,
  type Observation,
} from '../../src/request/attempt-decision.js';

interface Row {
  readonly name: string;
  readonly seen: Observation;
  readonly idempotent: boolean;
  readonly resumable?: boolean;
  readonly mayHaveRun?: boolean;
  readonly budget?: boolean;
  readonly expected: AttemptDecision;
}

const refuse = (reason: 'target-failed' | 'outcome-unknown') =>
  ({kind: 'refuse', reason}) as const;

const rows: Row[] = [
  ...[true, false].flatMap((idempotent): Row[] => [
    {
      name: 'connection refused',
      seen: {kind: 'not-started'},
      idempotent,
      expected: {kind: 'retry', reason: 'connect-failed'},
    },
    {
      name: 'connection refused without budget',
      seen: {kind: 'not-started'},
      idempotent,
      budget: false,
      expected: refuse('target-failed'),
    },
    {
      name: '503 not-run',
      seen: {kind: 'busy', status: 503},
      idempotent,
      expected: {kind: 'retry', reason: 'target-busy'},
    },
    {
      name: '429 without budget',
      seen: {kind: 'busy', status: 429},
      idempotent,
      budget: false,
      expected: {kind: 'relay'},
    },
    {
      name: 'deadline before dispatch',
      seen: {kind: 'deadline', dispatched: false, relayed: false},
      idempotent,
      expected: {kind: 'refuse', reason: 'deadline-exceeded-waiting'},
    },
    {
      name: 'deadline after dispatch',
      seen: {kind: 'deadline', dispatched: true, relayed: false},
      idempotent,
      expected: {kind: 'refuse', reason: 'deadline-exceeded-running'},
    },
    {
      name: 'deadline after part was relayed',
      seen: {kind: 'deadline', dispatched: true, relayed: true},
      idempotent,
      expected: {kind: 'break'},
    },
    {
      name: '4xx',
      seen: {kind: 'answer', status: 404},
      idempotent,
      expected: {kind: 'relay'},
    },
    {
      name: 'broken with part relayed, not resumable',
      seen: {kind: 'broken', relayed: true},
      idempotent,
      expected: {kind: 'break'},
    },
  ]),
  {
    name: 'no answer, engine resumes',
    seen: {kind: 'no-answer'},
    idempotent: true,
    resumable: true,
    expected: {kind: 'resume'},
  },
  {
    name: 'no answer, no resumption',
    seen: {kind: 'no-answer'},
    idempotent: true,
    expected: {kind: 'retry', reason: 'target-error'},
  },
  {
    name: 'no answer, no budget',
    seen: {kind: 'no-answer'},
    idempotent: true,
    budget: false,
    expected: {kind: 'refuse', reason: 'retries-exhausted'},
  },
  {
    name: 'no answer',
    seen: {kind: 'no-answer'},
    idempotent: false,
    expected: refuse('outcome-unknown'),
  },
  {
    name: 'broken, nothing relayed, engine resumes',
    seen: {kind: 'broken', relayed: false},
    idempotent: true,
    resumable: true,
    expected: {kind: 'resume'},
  },
  {
    name: 'broken, nothing relayed, no resumption',
    seen: {kind: 'broken', relayed: false},
    idempotent: true,
    expected: {kind: 'retry', reason: 'answer-broken'},
  },
  {
    name: 'broken, nothing relayed',
    seen: {kind: 'broken', relayed: false},
    idempotent: false,
    expected: refuse('outcome-unknown'),
  },
  {
    name: 'broken, part relayed, engine resumes',
    seen: {kind: 'broken', relayed: true},
    idempotent: true,
    resumable: true,
    expected: {kind: 'resume'},
  },
  {
    name: 'preempted',
    seen: {kind: 'preempted', relayed: false},
    idempotent: true,
    budget: false,
    expected: {kind: 'requeue'},
  },
  {
    name: 'preempted after part was relayed',
    seen: {kind: 'preempted', relayed: true},
    idempotent: true,
    expected: {kind: 'break'},
  },
  {
    name: 'model 5xx',
    seen: {kind: 'answer', status: 500},
    idempotent: true,
    expected: {kind: 'retry', reason: 'target-error'},
  },
  {
    name: 'model 5xx without budget',
    seen: {kind: 'answer', status: 500},
    idempotent: true,
    budget: false,
    expected: {kind: 'relay'},
  },
  {
    name: '5xx of a call that must not be repeated',
    seen: {kind: 'answer', status: 500},
    idempotent: false,
    expected: {kind: 'relay'},
  },
  {
    name: 'connection refused after an attempt that may have run',
    seen: {kind: 'not-started'},
    idempotent: true,
    mayHaveRun: true,
    budget: false,
    expected: {kind: 'refuse', reason: 'retries-exhausted'},
  },
];

for (const row of rows) {
  const kind = row.idempotent ? 'idempotent' : 'non-idempotent';
  test(`failure table: ${row.name} (${kind}) does not run twice or hide a failure`, () => {
    const decision = decideAttempt(row.seen, {
      idempotent: row.idempotent,
      resumable: row.resumable ?? false,
      mayHaveRun: row.mayHaveRun ?? false,
      mayRetry: () => row.budget ?? true,
    });
    assert.deepEqual(decision, row.expected);
  });
}
