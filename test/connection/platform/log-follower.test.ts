import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  LogClient,
  type LogPage,
} from '../../../src/connection/platform/log-client.js';
import {
  LogFollower,
  type FollowerEvent,
} from '../../../src/connection/platform/log-follower.js';
import type {Cancel} from '../../../src/process/clock.js';
import {subscribe} from '../../../src/process/subject.js';
import {LogStore} from '../../../stand-ins/log-store.js';
import {ManualClock} from '../../../stand-ins/manual-clock.js';
import {MemoryLogClient} from '../../../stand-ins/memory-log-client.js';

/** Log client that counts its reads. */
class CountingLog extends LogClient {
  reads = 0;

  constructor(private readonly inner: LogClient) {
    super();
  }

  override append(stream: string, data: unknown): Promise<number> {
    return this.inner.append(stream, data);
  }

  override read(...args: Parameters<LogClient['read']>): Promise<LogPage> {
    this.reads++;
    return this.inner.read(...args);
  }
}

function follow(log: LogClient, clock: ManualClock) {
  const events: FollowerEvent[] = [];
  const consumed: unknown[] = [];
  const follower = new LogFollower(log, 's', clock, () => 1);
  let position = 0;
  subscribe(follower.events, event => {
    events.push(event);
    if (event.kind === 'truncated') position = event.first;
    if (event.kind !== 'records') return;
    for (const {offset, data} of event.records) {
      if (offset !== position) continue;
      consumed.push(data);
      position++;
    }
  });
  follower.start(() => position);
  return {follower, events, consumed};
}

/** Lets pending promise callbacks run. */
const settle = () => new Promise(resolve => setImmediate(resolve));

async function advance(clock: ManualClock, ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += 50) {
    clock.advance(50);
    await settle();
  }
}

test('a consumer that skips duplicates by offset gets each record once, in order', async () => {
  const clock = new ManualClock();
  const log = new MemoryLogClient(clock);
  const {follower, consumed} = follow(log, clock);
  for (let i = 0; i < 5; i++) {
    await log.append('s', i);
    await settle();
  }
  follower.stop();
  assert.deepEqual(consumed, [0, 1, 2, 3, 4]);
});

test('reads of a log that is down back off and resume after its recovery', async () => {
  const clock = new ManualClock();
  const store = new LogStore();
  const log = new CountingLog(new MemoryLogClient(clock, store));
  store.faults.down = true;
  const {follower, events} = follow(log, clock);
  await settle();
  await advance(clock, 10_000);
  // Delays 100, 200, 400, 800, 1600 and then 2000 ms.
  assert.equal(log.reads, 9);
  store.faults.down = false;
  store.append('s', 'x', 0);
  await advance(clock, 2000);
  assert.equal(events.at(-1)?.kind, 'records');
  follower.stop();
});

test('an idle stream is read at most once per second', async () => {
  const clock = new ManualClock();
  const log = new CountingLog(new MemoryLogClient(clock));
  const {follower} = follow(log, clock);
  await settle();
  await advance(clock, 10_000);
  assert.ok(log.reads <= 11, `${log.reads} reads`);
  follower.stop();
});

test('a log that returns empty pages early is not read in a tight loop', async () => {
  const clock = new ManualClock();
  class EarlyEmptyLog extends CountingLog {
    override async read(): Promise<LogPage> {
      this.reads++;
      return {records: [], first: 0, next: 0};
    }
  }
  const log = new EarlyEmptyLog(new MemoryLogClient(clock));
  const {follower} = follow(log, clock);
  await settle();
  await advance(clock, 10_000);
  assert.ok(log.reads <= 10, `${log.reads} reads`);
  follower.stop();
});

test('a follower reports truncated records and continues at the new position of its consumer', async () => {
  const clock = new ManualClock();
  const log = new MemoryLogClient(clock);
  for (let i = 0; i < 5; i++) await log.append('s', i);
  log.store.truncate('s', 3);
  const {follower, events} = follow(log, clock);
  await settle();
  await advance(clock, 200);
  follower.stop();
  assert.deepEqual(
    events.slice(0, 2).map(event => event.kind),
    ['truncated', 'records'],
  );
});

test('a stopped follower makes no further reads and leaves no timer behind', async () => {
  let timers = 0;
  class CountingClock extends ManualClock {
    override after(delayMs: number, fn: () => void): Cancel {
      timers++;
      const cancel = super.after(delayMs, fn);
      return () => {
        timers--;
        cancel();
      };
    }
  }
  const clock = new CountingClock();
  const store = new LogStore();
  const log = new CountingLog(new MemoryLogClient(clock, store));
  store.faults.down = true;
  const {follower, events} = follow(log, clock);
  await settle();
  assert.equal(timers, 1);
  follower.stop();
  assert.equal(timers, 0);
  store.faults.down = false;
  await advance(clock, 5000);
  assert.equal(log.reads, 1);
  assert.equal(events.length, 1);
});
