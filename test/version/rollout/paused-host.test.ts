import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SimMembers} from '../../../bench/rollout/sim-host.js';
import type {LogRecord} from '../../../src/connection/platform/log-client.js';
import type {LeaseRecord} from '../../../src/version/rollout/lease.js';
import {leaseStream} from '../../../src/version/rollout/lease.js';
import {
  EvidenceSource,
  RolloutEnvironment,
} from '../../../src/version/rollout/ports.js';
import {RolloutJournal} from '../../../src/version/rollout/rollout-journal.js';
import {RolloutTask} from '../../../src/version/rollout/rollout-task.js';
import {zonesOf} from '../../../src/version/rollout/rollout-view.js';
import {ManualClock} from '../../../stand-ins/manual-clock.js';
import {MemoryLogClient} from '../../../stand-ins/memory-log-client.js';
import {harmlessVerdict, spec, targets} from './fixtures.js';

class TestEnvironment extends RolloutEnvironment {
  override declared = () => [{name: 'r', spec: spec(), offset: 0}];
  override serviceVersion = () => 'v1';
  override targets = () => targets('111222');
  override zonesIn = () => ['a', 'b', 'c'];
  override inFlight = () => 0;
  override utilisation = () => 0;
  override estimates = () => ({loadMs: 1000, parallelLoads: 1, drainMs: 1000});
}

class HarmlessEvidence extends EvidenceSource {
  override verdict = () => harmlessVerdict;
  override startStep(): void {}
}

test('a host that was paused reports no measured share until it has received gossip again', () => {
  const clock = new ManualClock();
  const task = new RolloutTask({
    host: 'h',
    clock,
    log: new MemoryLogClient(clock),
    members: new SimMembers('h', () => ['h']),
    environment: new TestEnvironment(),
    evidence: new HarmlessEvidence(),
    orders: undefined as never,
    gate: undefined as never,
  });
  const tick = (ms: number) => {
    clock.advance(ms);
    task.post({kind: 'tick'});
  };
  for (let i = 0; i < 6; i++) tick(500);
  assert.equal(task.status('r')?.measuredShare, harmlessVerdict.measuredShare);
  clock.advance(30_000);
  assert.equal(task.status('r')?.measuredShare, undefined, 'before the tick');
  tick(0);
  assert.equal(
    task.status('r')?.measuredShare,
    undefined,
    'before gossip arrived',
  );
  for (let i = 0; i < 6; i++) tick(500);
  assert.equal(task.status('r')?.measuredShare, harmlessVerdict.measuredShare);
  task.post({kind: 'self-paused'});
  assert.equal(
    task.status('r')?.measuredShare,
    undefined,
    'declared dead by peers',
  );
});

test('a host that was paused holds no lease, even if it has not expired', async () => {
  const clock = new ManualClock();
  const records: LogRecord[] = [];
  class Log extends MemoryLogClient {
    override async append(_stream: string, data: unknown): Promise<number> {
      return records.push({offset: records.length, data}) - 1;
    }
  }
  const journal = new RolloutJournal({
    host: 'h',
    clock,
    log: new Log(clock),
    post: () => {},
    changed: () => {},
    unconfirmed: () => {},
  });
  journal.writeLease('r', 'acquire');
  assert.equal((records[0].data as LeaseRecord).op, 'acquire');
  journal.fold(leaseStream, records, 1);
  assert.equal(journal.fencingOf('r'), 0);
  journal.relinquishAll();
  assert.equal(journal.fencingOf('r'), undefined);
});

test('the caps include a zone out of service, so that it has them when it returns', () => {
  const all = targets('111222', i => ({zoneIn: i % 3 !== 2}));
  assert.deepEqual(zonesOf(all, ['a', 'b']).sort(), ['a', 'b', 'c']);
});
