import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createProblem,
  withUnknownExecution,
} from '../../../src/connection/caller/problem.js';

test('a refusal before the claim of a key does not rule out an earlier run with that key', () => {
  const plain = JSON.parse(createProblem('draining').body);
  const keyed = JSON.parse(
    createProblem('draining', withUnknownExecution()).body,
  );
  assert.equal(plain.execution, 'not-run');
  assert.equal(keyed.execution, 'unknown');
  assert.match(keyed.detail, /earlier one with its key/);
});
