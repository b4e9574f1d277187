import assert from 'node:assert/strict';
import {test} from 'node:test';
import {grants, outcome, request, schedulerWith, view} from './helpers.js';

/** Runs requests one after the other and counts those granted to the new version. */
function countNewVersionGrants(
  total: number,
  share: number,
  v2Usable = true,
): number {
  const scheduler = schedulerWith([
    view('old', {version: 'v1', maxConcurrency: 4}),
    view('new', {version: 'v2', maxConcurrency: 4, usable: v2Usable}),
  ]);
  const inFlight = 100;
  scheduler.setVersionCaps(
    [
      {version: 'v1', share: 1, inFlight},
      {version: 'v2', share, inFlight},
    ],
    0,
  );
  let count = 0;
  for (let i = 0; i < total; i++) {
    const [grant] = grants(scheduler.offer(request(`r${i}`), i * 200));
    assert.ok(grant, `request ${i} waits although a target is free`);
    if (grant.target.version === 'v2') count++;
    scheduler.complete(grant.permitId, outcome('ok'), i * 200 + 100);
  }
  return count;
}

for (const share of [0.01, 0.05, 0.5, 0.75, 0.9]) {
  test(`a version under rollout gets its share of ${share} although targets of the old version are free`, () => {
    const count = countNewVersionGrants(400, share);
    assert.ok(Math.abs(count - 400 * share) <= 1.5, `${count} of 400`);
  });
}

test('requests do not wait for the new version if its targets cannot be used', () => {
  assert.equal(countNewVersionGrants(20, 0.9, false), 0);
});
