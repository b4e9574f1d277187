import assert from 'node:assert/strict';
import {test} from 'node:test';
import {EventBatch} from '../../src/request/gateway/event-batch.js';
import {ManualClock} from '../../stand-ins/manual-clock.js';

const eventDelayMs = 120;

/** Adds numbered events at an interval and records when each was sent. */
function relay(count: number, intervalMs: number, delayMs = eventDelayMs) {
  const clock = new ManualClock();
  const addedMs: number[] = [];
  const delaysMs: number[] = [];
  let writes = 0;
  let order = '';
  const batch = new EventBatch(clock, delayMs, events => {
    writes++;
    order += events.toString();
    for (let i = 0; i < events.length; i++) {
      delaysMs.push(clock.nowMs() - addedMs[delaysMs.length]);
    }
  });
  for (let i = 0; i < count; i++) {
    addedMs.push(clock.nowMs());
    batch.add(Buffer.from(String(i % 10)));
    clock.advance(intervalMs);
  }
  batch.flush();
  return {writes, delaysMs, order};
}

// Guards against a write for each event of a fast target: writes were 28 % of a host's processor time in a profile, and days
// of 81 hosts were ended for the processor time that they use.
test('events that follow each other closely share a write, within a third of their maximum delay', () => {
  const {writes, delaysMs, order} = relay(30, 12);
  assert.ok(writes <= 12, `${writes} writes for 30 events`);
  assert.equal(delaysMs[0], 0);
  assert.ok(Math.max(...delaysMs) <= eventDelayMs / 3);
  assert.equal(order, '0123456789'.repeat(3));
});

// Guards against a delay that saves no write.
test('events of a slow target are sent at once', () => {
  const {writes, delaysMs} = relay(10, 60);
  assert.equal(writes, 10);
  assert.equal(Math.max(...delaysMs), 0);
});

test('events are sent at once in a deployment without a maximum delay', () => {
  assert.equal(relay(10, 1, 0).writes, 10);
});
