import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  HostListClient,
  type ListedHost,
} from '../../../src/connection/platform/host-list-client.js';
import {FailureError} from '../../../src/process/errors/catalogue.js';
import {Logger} from '../../../src/process/logger.js';
import {HostListPoller} from '../../../src/process/membership/host-list-poller.js';
import {ManualClock} from '../../../stand-ins/manual-clock.js';

class FlakyHostListClient extends HostListClient {
  calls = 0;
  down = true;

  override async hosts(): Promise<readonly ListedHost[]> {
    this.calls++;
    if (!this.down) return [];
    throw new FailureError({kind: 'host-list-unavailable', reason: 'down'});
  }
}

test('reads of an unavailable host list are retried with exponential backoff (guards against a retry storm)', async () => {
  const clock = new ManualClock();
  const client = new FlakyHostListClient();
  let lists = 0;
  const poller = new HostListPoller({
    client,
    clock,
    logger: Logger.create('silent'),
    random: () => 1,
    onHosts: () => lists++,
  });
  const settle = () => new Promise(resolve => setImmediate(resolve));
  poller.start();
  await settle();
  assert.equal(client.calls, 1);
  clock.advance(999);
  await settle();
  assert.equal(client.calls, 1);
  clock.advance(1);
  await settle();
  assert.equal(client.calls, 2);
  clock.advance(1000);
  await settle();
  assert.equal(client.calls, 2);
  client.down = false;
  clock.advance(1000);
  await settle();
  assert.equal(client.calls, 3);
  assert.equal(lists, 1);
  poller.stop();
  clock.advance(60_000);
  await settle();
  assert.equal(client.calls, 3);
});
