import assert from 'node:assert/strict';
import {test} from 'node:test';
import {LogClient} from '../../../src/connection/platform/log-client.js';
import {FailureError} from '../../../src/process/errors/catalogue.js';
import {IdempotentAppender} from '../../../src/version/rollout/idempotent-appender.js';
import {ManualClock} from '../../../stand-ins/manual-clock.js';

/** Log client whose connection is closed. */
class ClosedLog extends LogClient {
  reads = 0;

  override append(stream: string): Promise<number> {
    return Promise.reject(this.failure(stream));
  }

  override read(stream: string): Promise<never> {
    this.reads++;
    return Promise.reject(this.failure(stream));
  }

  private failure(stream: string): FailureError {
    return new FailureError({
      kind: 'log-unavailable',
      stream,
      reason: 'closed',
    });
  }
}

/** Runs the pending promise callbacks. */
async function settle(): Promise<void> {
  for (let i = 0; i < 10; i++) await Promise.resolve();
}

test('a host that stops does not search for its unconfirmed record forever', async () => {
  const clock = new ManualClock();
  const log = new ClosedLog();
  const appender = new IdempotentAppender(log, clock);
  const outcome = appender.append('leases', {writeId: 'w'}, 0);
  await settle();
  clock.advance(500);
  await settle();
  assert.equal(log.reads, 2);

  appender.stop();

  assert.deepEqual(await outcome, {kind: 'absent'});
  clock.advance(60_000);
  await settle();
  assert.equal(log.reads, 2);
});
