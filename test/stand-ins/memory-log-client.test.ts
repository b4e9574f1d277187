import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FailureError} from '../../src/process/errors/catalogue.js';
import {ManualClock} from '../../stand-ins/manual-clock.js';
import {MemoryLogClient} from '../../stand-ins/memory-log-client.js';

const kind = (expected: string) => (err: unknown) =>
  err instanceof FailureError && err.failure.kind === expected;

test('an append whose answer is lost took effect', async () => {
  const log = new MemoryLogClient(new ManualClock());
  log.faults.loseAnswers = 1;
  await assert.rejects(log.append('s', {a: 1}), kind('log-unavailable'));
  const page = await log.read('s', 0);
  assert.deepEqual(page.records, [{offset: 0, data: {a: 1}}]);
  assert.equal(await log.append('s', {}), 1);
});

test('the append rate is capped over all streams and recovers', async () => {
  const clock = new ManualClock();
  const log = new MemoryLogClient(clock);
  log.faults.appendsPerSecond = 100;
  clock.advance(1000);
  let accepted = 0;
  const fill = async () => {
    for (let i = 0; i < 50; i++) {
      await log.append(`s${i % 3}`, i).then(
        () => accepted++,
        err => assert.ok(kind('log-rate-limited')(err)),
      );
    }
  };
  await fill();
  assert.equal(accepted, 11);
  clock.advance(50);
  await fill();
  assert.equal(accepted, 16);
});

test('a read below the kept records reports the oldest offset', async () => {
  const log = new MemoryLogClient(new ManualClock());
  for (let i = 0; i < 5; i++) await log.append('s', i);
  log.store.truncate('s', 3);
  await assert.rejects(
    log.read('s', 2),
    err =>
      err instanceof FailureError &&
      err.failure.kind === 'log-truncated' &&
      err.failure.first === 3,
  );
  assert.equal((await log.read('s', 3)).records.length, 2);
});

test('a waiting read ends at an append, at its time and when it is aborted', async () => {
  const clock = new ManualClock();
  const log = new MemoryLogClient(clock);
  const woken = log.read('s', 0, {waitMs: 1000});
  await Promise.resolve();
  await log.append('s', 'x');
  assert.equal((await woken).records.length, 1);
  const timedOut = log.read('s', 1, {waitMs: 1000});
  await Promise.resolve();
  clock.advance(1000);
  assert.equal((await timedOut).records.length, 0);
  const ended = new AbortController();
  const aborted = log.read('s', 1, {waitMs: 1000, signal: ended.signal});
  ended.abort();
  await assert.rejects(aborted, kind('log-unavailable'));
});

test('one client can be cut off while others reach the log, and slow calls wait', async () => {
  const clock = new ManualClock();
  const log = new MemoryLogClient(clock);
  const other = new MemoryLogClient(clock, log.store, {
    ...log.faults,
    down: true,
  });
  await assert.rejects(other.append('s', 1), kind('log-unavailable'));
  log.faults.slowMs = 200;
  let done = false;
  const append = log.append('s', 1).then(() => (done = true));
  clock.advance(199);
  await Promise.resolve();
  assert.equal(done, false);
  clock.advance(1);
  await append;
});
