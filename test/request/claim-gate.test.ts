import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FailureError} from '../../src/process/errors/catalogue.js';
import {LocalClaimGate} from '../../src/request/claim-gate.js';
import {ManualClock} from '../../stand-ins/manual-clock.js';

const response = {status: 200, headers: {}, body: Buffer.alloc(100)};
const claim = (scopeKey: string, requestHash = 'h', requestId = 'r') => ({
  scopeKey,
  requestHash,
  requestId,
});

async function granted(gate: LocalClaimGate, key: string) {
  const result = await gate.claim(claim(key));
  assert.ok(result.kind === 'granted');
  return result.token;
}

test('a key runs once: retries get in-progress, the first response or an unknown outcome', async () => {
  const gate = new LocalClaimGate(new ManualClock());
  const token = await granted(gate, 'k');
  assert.equal((await gate.claim(claim('k'))).kind, 'in-progress');
  assert.equal((await gate.claim(claim('k', 'other'))).kind, 'mismatch');
  gate.finish(token, response);
  assert.deepEqual(await gate.claim(claim('k')), {
    kind: 'answered',
    answer: response,
  });
  assert.equal((await gate.claim(claim('k', 'other'))).kind, 'mismatch');
  const lost = await granted(gate, 'lost');
  gate.finish(lost, undefined);
  assert.equal((await gate.claim(claim('lost'))).kind, 'unknown');
});

test('a released key can be claimed again, and a stale token cannot release the new claim', async () => {
  const gate = new LocalClaimGate(new ManualClock());
  const token = await granted(gate, 'k');
  gate.release(token);
  const second = await gate.claim(claim('k', 'h', 'r2'));
  assert.equal(second.kind, 'granted');
  gate.release(token);
  assert.equal((await gate.claim(claim('k'))).kind, 'in-progress');
});

test('the memory limits evict responses but never a claim', async () => {
  const gate = new LocalClaimGate(new ManualClock(), {
    maxClaims: 3,
    maxResponseBytes: 250,
  });
  for (const key of ['a', 'b', 'c']) {
    gate.finish(await granted(gate, key), response);
  }
  assert.equal((await gate.claim(claim('a'))).kind, 'unknown');
  assert.equal((await gate.claim(claim('c'))).kind, 'answered');
  await assert.rejects(
    gate.claim(claim('d')),
    (err: FailureError) =>
      err.failure.kind === 'refused' &&
      err.failure.reason === 'claim-unavailable',
  );
});

test('a UUIDv7 key older than the retention does not run again', async () => {
  const clock = new ManualClock();
  const gate = new LocalClaimGate(clock, {retentionMs: 1000});
  const time = clock.wallMs().toString(16).padStart(12, '0');
  const key = `o/s/${time.slice(0, 8)}-${time.slice(8)}-7abc-8def-0123456789ab`;
  gate.finish(await granted(gate, key), response);
  clock.advance(1001);
  assert.equal((await gate.claim(claim(key))).kind, 'expired');
});
