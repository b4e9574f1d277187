import assert from 'node:assert/strict';
import {test} from 'node:test';
import {OrganisationLimiter} from '../../../src/process/limits/organisation-limiter.js';

const ids = ['h1', 'h2', 'h3', 'h4'];

function createLimiters(hosts: readonly string[] = ids) {
  return hosts.map(id => new OrganisationLimiter(id, () => hosts));
}

test('an organisation cannot exceed its concurrency limit by using several hosts', () => {
  for (const limit of [1, 3, 4, 10, 11]) {
    const limiters = createLimiters();
    let admitted = 0;
    for (let i = 0; i < 100; i++) {
      const refusal = limiters[i % 4].begin('o', {concurrency: limit}, 0);
      if (!refusal) admitted++;
      else assert.equal(refusal.reason, 'concurrency-limited');
    }
    assert.equal(admitted, limit);
  }
});

test('a finished request makes room for the next one', () => {
  const [limiter] = createLimiters(['h1']);
  const limits = {concurrency: 1};
  assert.equal(limiter.begin('o', limits, 0), undefined);
  assert.equal(limiter.begin('o', limits, 0)?.reason, 'concurrency-limited');
  limiter.end('o');
  assert.equal(limiter.begin('o', limits, 0), undefined);
});

test('an organisation that sends ten times its rate is limited to the rate over all hosts', () => {
  const limiters = createLimiters();
  let admitted = 0;
  for (let ms = 0; ms < 10_000; ms += 2) {
    const limits = {requestsPerSecond: 50};
    if (!limiters[(ms / 2) % 4].begin('o', limits, ms)) admitted++;
  }
  // 50 per second for 10 s, and an initial burst of one request per host.
  assert.ok(admitted <= 504, String(admitted));
  assert.ok(admitted >= 490, String(admitted));
});

test('a refusal states when the rate allows the next request', () => {
  const [limiter] = createLimiters(['h1']);
  const limits = {requestsPerSecond: 2};
  assert.equal(limiter.begin('o', limits, 0), undefined);
  const refusal = limiter.begin('o', limits, 100);
  assert.equal(refusal?.reason, 'rate-limited');
  assert.equal(refusal?.retryAfterMs, 400);
  assert.equal(limiter.begin('o', limits, 500), undefined);
});

test('a burst of one organisation does not use up the limit of another', () => {
  const [limiter] = createLimiters(['h1']);
  const limits = {requestsPerSecond: 1, concurrency: 1};
  assert.equal(limiter.begin('loud', limits, 0), undefined);
  assert.ok(limiter.begin('loud', limits, 0));
  assert.equal(limiter.begin('quiet', limits, 0), undefined);
});

test('usage of an idle organisation is dropped', () => {
  const [limiter] = createLimiters(['h1']);
  const limits = {requestsPerSecond: 1};
  limiter.begin('o', limits, 0);
  limiter.end('o');
  limiter.begin('busy', limits, 0);
  assert.equal(limiter.organisations, 2);
  limiter.prune(59_000);
  assert.equal(limiter.organisations, 2);
  limiter.prune(61_000);
  assert.equal(limiter.organisations, 1);
});
