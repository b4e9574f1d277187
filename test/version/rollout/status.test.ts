import assert from 'node:assert/strict';
import {test} from 'node:test';
import {renderRollout} from '../../../src/version/rollout/render.js';
import {rolloutStatus} from '../../../src/version/rollout/status.js';
import {
  harmlessVerdict,
  foldAll,
  harmfulVerdict,
  record,
  shortVerdict,
  started,
  step,
  view,
} from './fixtures.js';

const context = {leader: 'h', logAvailable: true, stoppedHere: false};
const progressing = foldAll([...started, step(0), step(1)]);

test('the status shows the measured share, not the allowed one', () => {
  const verdict = {...shortVerdict, measuredShare: 0.12};
  const status = rolloutStatus(view({state: progressing, verdict}), context);
  assert.equal(status.state, 'Progressing');
  assert.equal(status.allowedShare, 0.25);
  assert.equal(status.measuredShare, 0.12);
  assert.deepEqual(status.waitsFor, ['measured share 0.12 to reach 0.25']);
});

test('a host that has stopped a version reports an allowed share of 0', () => {
  const status = rolloutStatus(
    view({state: progressing, verdict: harmfulVerdict}),
    {
      ...context,
      logAvailable: false,
      stoppedHere: true,
    },
  );
  assert.equal(
    status.state,
    'Progressing',
    'the phase changes only with a record',
  );
  assert.equal(status.allowedShare, 0);
  assert.deepEqual(status.waitsFor, ['the log service']);
  assert.equal(status.evidence.stop, 'failures overall');
});

test('a rollout without records is pending, and a decision includes its host', () => {
  const pending = rolloutStatus(view(), {...context, leader: undefined});
  assert.equal(pending.state, 'Pending');
  assert.deepEqual(pending.waitsFor, ['a leader']);
  const back = record({
    type: 'take-back',
    reason: 'evidence',
    evidence: 'failures overall',
  });
  const state = foldAll([back], progressing);
  const status = rolloutStatus(view({state, newInFlight: 2}), context);
  assert.equal(status.state, 'TakingBack');
  assert.equal(status.reason, 'evidence');
  assert.equal(status.decidedBy, 'h');
  assert.deepEqual(status.waitsFor, ['2 requests to end']);
});

test('the chart draws shares to scale', () => {
  const verdict = {...harmlessVerdict, measuredShare: 0.25};
  const text = renderRollout(
    rolloutStatus(view({state: progressing, verdict}), context),
  );
  const lines = text.split('\n');
  const measured = lines.find(line => line.startsWith('measured')) ?? '';
  assert.equal(measured.split('#').length - 1, 10, '25 % of 40 columns');
  assert.ok(lines.includes('state        Progressing'));
  assert.ok(
    lines.includes('waits for    the leader, h, to record the next change'),
  );
  const none = rolloutStatus(
    view({verdict: {...harmlessVerdict, measuredShare: undefined}}),
    context,
  );
  assert.match(renderRollout(none), /measured +no requests/);
});
