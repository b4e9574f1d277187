import assert from 'node:assert/strict';
import {test} from 'node:test';
import {NonInferiorityTest} from '../../../src/version/evidence/non-inferiority-test.js';
import {ReferenceStore} from '../../../src/version/evidence/reference-store.js';
import {Sketch} from '../../../src/version/evidence/sketch.js';

const cell = (requests: number) => ({
  requests,
  failures: 0,
  firstToken: new Sketch(),
  token: new Sketch(),
});

test('the share is not raised while the new version had no requests on a route', () => {
  const nonInferiority = new NonInferiorityTest(new ReferenceStore());
  nonInferiority.addPeriod([
    {now: cell(2000), old: cell(2000), place: 'chat\na', bucket: 1},
    {old: cell(2000), place: 'tagging\na', bucket: 1},
  ]);
  const {ready, missing} = nonInferiority.evaluate(0.5, false);
  assert.equal(ready, false);
  assert.match(missing.join(), /requests on route:tagging/);
  assert.doesNotMatch(missing.join(), /overall|route:chat/);
});
