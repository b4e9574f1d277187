import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  excessInputs,
  restAfterMs,
} from '../../../src/connection/http/work-share.js';

// Guards against parsing that takes the whole processor, or that rests for as long as a process was suspended.
test('parsing rests for as long as it worked, within bounds', () => {
  assert.equal(restAfterMs(4.9), 0);
  assert.equal(restAfterMs(8), 8);
  assert.equal(restAfterMs(60_000), 100);
});

const inputs = (...times: number[]) => times.map(spentMs => ({spentMs}));

// Guards against connections that keep the host busy for minutes after they have left: all that they sent was parsed.
test('of inputs that compete for too long only the cheapest go on', () => {
  const crowd = inputs(...Array.from({length: 80}, (_, i) => i));
  assert.deepEqual(excessInputs(crowd), crowd.slice(2));
  assert.deepEqual(excessInputs(inputs(5, 2000, 1, 1000)), inputs(1000, 2000));
});

// Guards against a limit that ends what one caller sends in calm.
test('inputs go on while they are few or cheap', () => {
  assert.deepEqual(excessInputs(inputs(60_000, 60_000)), []);
  assert.deepEqual(excessInputs(inputs(900, 900, 900)), []);
});
