import assert from 'node:assert/strict';
import {test} from 'node:test';
import {GrowthTest} from '../../../src/version/evidence/growth-test.js';
import {ReferenceBook} from '../../../src/version/evidence/reference-book.js';
import {Sketch} from '../../../src/version/evidence/sketch.js';

const cell = (requests: number) => ({
  requests,
  failures: 0,
  firstToken: new Sketch(),
  token: new Sketch(),
});

test('a share does not grow over a route on which the new version had no requests', () => {
  const growth = new GrowthTest(new ReferenceBook());
  growth.close([
    {now: cell(2000), old: cell(2000), place: 'chat\na', bucket: 1},
    {old: cell(2000), place: 'tagging\na', bucket: 1},
  ]);
  const {ready, missing} = growth.judge(0.5, false);
  assert.equal(ready, false);
  assert.match(missing.join(), /requests on route:tagging/);
  assert.doesNotMatch(missing.join(), /overall|route:chat/);
});
