import assert from 'node:assert/strict';
import {test} from 'node:test';
import {feeds} from '../../src/connection/store/shared-store.js';
import {FailureError} from '../../src/process/errors/catalogue.js';
import {Logger} from '../../src/process/logger.js';
import {ReadSchedule} from '../../src/version/deployment/read-schedule.js';
import {StoreOutage} from '../../src/version/deployment/store-outage.js';
import {TargetsView} from '../../src/version/deployment/targets-view.js';
import {ManualClock} from '../../stand-ins/manual-clock.js';

const boundMs = 3000;
const {failure} = new FailureError({
  kind: 'store-refused',
  call: 'read',
  status: 503,
});

function createView() {
  const clock = new ManualClock();
  const logger = Logger.create('silent');
  const schedule = new ReadSchedule(boundMs, false);
  const outage = new StoreOutage(clock, logger, boundMs);
  const view = new TargetsView({clock, logger, schedule, outage, boundMs});
  schedule.confirm(0, {by: 'store', readAtMs: 0});
  return {clock, outage, schedule, view};
}

// Guards against requests to a target that left longer ago than allowed: a slow host used a view of any age while its
// read of the store was due or in progress.
test('a view that is too old is not used while the store can be read', () => {
  const {clock, outage, schedule, view} = createView();
  clock.advance(2600);
  assert.ok(view.isCurrent);
  clock.advance(200);
  assert.ok(!view.isCurrent);
  outage.started(feeds.targets);
  clock.advance(100);
  assert.ok(!view.isCurrent);
  schedule.confirm(2800, {by: 'store', readAtMs: 0});
  assert.ok(view.isCurrent);
});

// Guards against a deployment that serves nothing during an outage of the store.
test('an old view is used while the store responds to no host, whether it refuses or stays silent', () => {
  for (const refuses of [true, false]) {
    const {clock, outage, view} = createView();
    clock.advance(2500);
    outage.started(feeds.targets);
    if (refuses) outage.failed(feeds.targets, failure);
    clock.advance(2500);
    view.reported(100);
    assert.ok(view.isCurrent);
  }
});

// Guards against requests to a target that left: the store refuses this host, but others have read further.
test('an old view is not used while another host has a recent one', () => {
  const {clock, outage, schedule, view} = createView();
  clock.advance(2500);
  outage.started(feeds.targets);
  outage.failed(feeds.targets, failure);
  clock.advance(2500);
  view.reported(4000);
  assert.ok(!view.isCurrent);
  schedule.confirm(4000, {by: 'other', readAtMs: 0});
  assert.ok(view.isCurrent);
});
