import assert from 'node:assert/strict';
import {test} from 'node:test';
import {TargetStatusClient} from '../../../src/connection/target/target-status-client.js';
import type {GroupMessage} from '../../../src/process/groups/group-messages.js';
import {StatusPoller} from '../../../src/process/groups/status-poller.js';
import type {LoadReport} from '../../../src/request/scheduler/types.js';
import {subscribe} from '../../../src/process/subject.js';
import {PermitFleet} from './permit-fleet.js';

const report: LoadReport = {
  running: 1,
  waiting: 0,
  ageMs: 0,
  cacheUse: 0,
  epoch: 1,
};

/** Counts load reports and open streams. */
class CountingClient extends TargetStatusClient {
  loads = 0;
  streams = 0;
  epoch = 1;

  override async load(): Promise<LoadReport> {
    this.loads++;
    return {...report, epoch: this.epoch};
  }

  override cacheEvents(
    _address: string,
    _onEvent: unknown,
    signal: AbortSignal,
  ): Promise<void> {
    this.streams++;
    return new Promise(resolve =>
      signal.addEventListener('abort', () => {
        this.streams--;
        resolve();
      }),
    );
  }
}

// Unstaggered reads would come in bursts; reads of a former owner would multiply the targets' load.
test('targets are read once a second, staggered, and only while their group is owned', async () => {
  const fleet = new PermitFleet(1);
  fleet.declare('a', 20, 4);
  const client = new CountingClient();
  const delivered: GroupMessage[] = [];
  let owned = ['a/s/0'];
  const poller = new StatusPoller({
    clock: fleet.clock,
    client,
    config: () => fleet.config,
    owned: () => owned,
    deliver: (_group, message) => delivered.push(message),
  });
  poller.start();
  await fleet.run(100, () => {}, 10);
  assert.equal(client.loads, 2, 'a tenth of the targets in each tenth');
  await fleet.run(2900, () => {}, 10);
  assert.equal(client.loads, 60);
  assert.equal(client.streams, 20);
  assert.equal(delivered.length, 60);
  owned = [];
  await fleet.run(1000, () => {}, 10);
  assert.deepEqual([client.loads, client.streams, poller.size], [60, 0, 0]);
  poller.stop();
});

// A new owner has no earlier epoch to compare; its first report must not look like a restart.
test('a restart of a target is published once, and the first report is not a restart', async () => {
  const fleet = new PermitFleet(1);
  fleet.declare('a', 1, 4);
  const client = new CountingClient();
  const poller = new StatusPoller({
    clock: fleet.clock,
    client,
    config: () => fleet.config,
    owned: () => ['a/s/0'],
    deliver: () => {},
  });
  const seen: string[] = [];
  const stop = subscribe(poller.targetRestarts, ({target, epoch}) =>
    seen.push(`${target} ${epoch}`),
  );
  poller.start();
  await fleet.run(2500, () => {}, 10);
  assert.deepEqual(seen, []);
  client.epoch = 2;
  await fleet.run(2500, () => {}, 10);
  assert.deepEqual(seen, ['a0 2']);
  stop();
  poller.stop();
});
