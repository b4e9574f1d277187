import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  decideAttempt,
  type AttemptDecision,
  type Observation,
} from '../../src/request/attempt-decision.js';

interface FailureTableRow {
  readonly name: string;
  readonly observation: Observation;
  readonly idempotent: boolean;
  readonly resumable?: boolean;
  readonly mayHaveRun?: boolean;
  readonly budget?: boolean;
  readonly expected: AttemptDecision;
}

const refuse = (reason: 'target-failed' | 'outcome-unknown') =>
  ({kind: 'refuse', reason}) as const;

const rows: FailureTableRow[] = [
  ...[true, false].flatMap((idempotent): FailureTableRow[] => [
    {
      name: 'connection refused',
      observation: {kind: 'not-started'},
      idempotent,
      expected: {kind: 'retry', reason: 'connect-failed'},
    },
    {
      name: 'connection refused, no retry budget',
      observation: {kind: 'not-started'},
      idempotent,
      budget: false,
      expected: refuse('target-failed'),
    },
    {
      name: '503 not-run',
      observation: {kind: 'busy', status: 503},
      idempotent,
      expected: {kind: 'retry', reason: 'target-busy'},
    },
    {
      name: '429, no retry budget',
      observation: {kind: 'busy', status: 429},
      idempotent,
      budget: false,
      expected: {kind: 'relay'},
    },
    {
      name: 'deadline before dispatch',
      observation: {kind: 'deadline', dispatched: false, relayed: false},
      idempotent,
      expected: {kind: 'refuse', reason: 'deadline-exceeded-waiting'},
    },
    {
      name: 'deadline after dispatch',
      observation: {kind: 'deadline', dispatched: true, relayed: false},
      idempotent,
      expected: {kind: 'refuse', reason: 'deadline-exceeded-running'},
    },
    {
      name: 'deadline, part relayed',
      observation: {kind: 'deadline', dispatched: true, relayed: true},
      idempotent,
      expected: {kind: 'break'},
    },
    {
      name: '4xx',
      observation: {kind: 'answer', status: 404},
      idempotent,
      expected: {kind: 'relay'},
    },
    {
      name: 'response cut short, part relayed, no resumption',
      observation: {kind: 'broken', relayed: true},
      idempotent,
      expected: {kind: 'break'},
    },
  ]),
  {
    name: 'no response, engine resumes',
    observation: {kind: 'no-answer'},
    idempotent: true,
    resumable: true,
    expected: {kind: 'resume'},
  },
  {
    name: 'no response, no resumption',
    observation: {kind: 'no-answer'},
    idempotent: true,
    expected: {kind: 'retry', reason: 'target-error'},
  },
  {
    name: 'no response, no retry budget',
    observation: {kind: 'no-answer'},
    idempotent: true,
    budget: false,
    expected: {kind: 'refuse', reason: 'retries-exhausted'},
  },
  {
    name: 'no response',
    observation: {kind: 'no-answer'},
    idempotent: false,
    expected: refuse('outcome-unknown'),
  },
  {
    name: 'response cut short, nothing relayed, engine resumes',
    observation: {kind: 'broken', relayed: false},
    idempotent: true,
    resumable: true,
    expected: {kind: 'resume'},
  },
  {
    name: 'response cut short, nothing relayed, no resumption',
    observation: {kind: 'broken', relayed: false},
    idempotent: true,
    expected: {kind: 'retry', reason: 'answer-broken'},
  },
  {
    name: 'response cut short, nothing relayed',
    observation: {kind: 'broken', relayed: false},
    idempotent: false,
    expected: refuse('outcome-unknown'),
  },
  {
    name: 'response cut short, part relayed, engine resumes',
    observation: {kind: 'broken', relayed: true},
    idempotent: true,
    resumable: true,
    expected: {kind: 'resume'},
  },
  {
    name: 'preempted',
    observation: {kind: 'preempted', relayed: false},
    idempotent: true,
    budget: false,
    expected: {kind: 'requeue'},
  },
  {
    name: 'preempted, part relayed',
    observation: {kind: 'preempted', relayed: true},
    idempotent: true,
    expected: {kind: 'break'},
  },
  {
    name: 'model 5xx',
    observation: {kind: 'answer', status: 500},
    idempotent: true,
    expected: {kind: 'retry', reason: 'target-error'},
  },
  {
    name: 'model 5xx, no retry budget',
    observation: {kind: 'answer', status: 500},
    idempotent: true,
    budget: false,
    expected: {kind: 'relay'},
  },
  {
    name: '5xx of a non-idempotent request',
    observation: {kind: 'answer', status: 500},
    idempotent: false,
    expected: {kind: 'relay'},
  },
  {
    name: 'connection refused after an attempt that may have run, no retry budget',
    observation: {kind: 'not-started'},
    idempotent: true,
    mayHaveRun: true,
    budget: false,
    expected: {kind: 'refuse', reason: 'retries-exhausted'},
  },
];

for (const row of rows) {
  const kind = row.idempotent ? 'idempotent' : 'non-idempotent';
  test(`failure table: ${row.name} (${kind}) does not run twice or hide a failure`, () => {
    const decision = decideAttempt(row.observation, {
      idempotent: row.idempotent,
      resumable: row.resumable ?? false,
      mayHaveRun: row.mayHaveRun ?? false,
      mayRetry: () => row.budget ?? true,
    });
    assert.deepEqual(decision, row.expected);
  });
}
