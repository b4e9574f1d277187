import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Logger} from '../../src/process/logger.js';
import {ConfigFeed} from '../../src/version/config-feed.js';
import {ConfigStore} from '../../src/version/config-store.js';
import {
  ConfigWriter,
  type WriteResult,
} from '../../src/version/config-writer.js';
import {
  encodeSnapshot,
  type SnapshotPart,
} from '../../src/version/snapshots/snapshot-format.js';
import {PeerSnapshots} from '../../src/version/snapshots/snapshot-loader.js';
import {SnapshotWriter} from '../../src/version/snapshots/snapshot-writer.js';
import {subscribe} from '../../src/process/subject.js';
import {SingleHostMemberView} from '../../src/version/status/single-host-member-view.js';
import {ManualClock} from '../../stand-ins/manual-clock.js';
import {runUntil, settle} from './settle.js';
import {SharedLog, TestLog, type AppendFault} from './test-log.js';

const retentionMs = 3_600_000;

class OnePeer extends PeerSnapshots {
  constructor(private readonly parts?: readonly SnapshotPart[]) {
    super();
  }

  override async fetch() {
    return this.parts;
  }
}

let hostCount = 0;

function host(shared: SharedLog, clock: ManualClock, peer?: PeerSnapshots) {
  const log = new TestLog(shared);
  log.blocking = true;
  const store = new ConfigStore();
  const logger = Logger.create('silent');
  const random = () => 0.5;
  const feed = new ConfigFeed({log, store, clock, logger, random, peers: peer});
  const writer = new ConfigWriter({
    log,
    store,
    clock,
    random: () => 0.5,
    logUp: () => feed.logUp,
  });
  const place = {host: `h${++hostCount}`, zone: 'a', region: 'r'};
  const members = new SingleHostMemberView(place, () => store.state.offset);
  const snapshots = new SnapshotWriter({
    log,
    store,
    clock,
    logger,
    members,
    retentionMs,
  });
  const offsets: number[] = [];
  subscribe(store.changes, ({state}) => offsets.push(state.offset));
  subscribe(store.installed, ({offset}) => offsets.push(offset));
  return {log, store, feed, writer, snapshots, offsets};
}

type TestHost = ReturnType<typeof host>;

function write(
  {writer}: TestHost,
  name: string,
  baseGeneration = -1,
  writeId?: string,
): Promise<WriteResult> {
  return writer.write({
    actor: 'op',
    time: '2026-01-01T00:00:00Z',
    op: 'put',
    kind: 'zone',
    name,
    baseGeneration,
    spec: {region: 'r', state: 'in'},
    ...(writeId && {writeId}),
  });
}

async function started(
  shared: SharedLog,
  clock: ManualClock,
  peer?: PeerSnapshots,
) {
  const made = host(shared, clock, peer);
  void made.feed.start();
  await settle();
  return made;
}

test('of two concurrent writes at two hosts one is accepted and one is a conflict', async t => {
  const clock = new ManualClock();
  const shared = new SharedLog();
  const hosts = [await started(shared, clock), await started(shared, clock)];
  t.after(() => hosts.forEach(({feed}) => feed.stop()));
  await runUntil(clock, write(hosts[0], 'a'));
  await settle();
  const both = Promise.all(hosts.map(one => write(one, 'a', 1)));
  const kinds = (await runUntil(clock, both)).map(({kind}) => kind);
  assert.deepEqual(kinds.sort(), ['accepted', 'conflict']);
  assert.deepEqual(hosts[0].store.state, hosts[1].store.state);
});

test('an append with a lost response is found in the log and not appended again', async t => {
  const clock = new ManualClock();
  const shared = new SharedLog();
  const one = await started(shared, clock);
  t.after(() => one.feed.stop());
  const faults: AppendFault[] = ['limited', 'lost'];
  one.log.fault = () => faults.shift() ?? 'none';
  const result = await runUntil(clock, write(one, 'a'));
  assert.equal(result.kind, 'accepted');
  assert.equal(shared.stream('config').records.length, 1);
});

test('an append that arrives after its retry is not applied again', async t => {
  const clock = new ManualClock();
  const shared = new SharedLog();
  const one = await started(shared, clock);
  t.after(() => one.feed.stop());
  const faults: AppendFault[] = ['delayed'];
  one.log.fault = () => faults.shift() ?? 'none';
  assert.equal((await runUntil(clock, write(one, 'a'))).kind, 'accepted');
  shared.releaseDelayed();
  await settle();
  assert.equal(shared.stream('config').records.length, 2);
  assert.equal(one.store.state.offset, 2);
  assert.equal(one.store.state.resources.zone.get('a')?.generation, 1);
});

test('while the log is down a write is not accepted if nothing was sent, otherwise unknown', async t => {
  const clock = new ManualClock();
  const shared = new SharedLog();
  const one = await started(shared, clock);
  t.after(() => one.feed.stop());
  one.log.fault = () => {
    one.log.down = true;
    return 'lost';
  };
  const lost = await runUntil(clock, write(one, 'a', -1, 'w1'), 50);
  assert.deepEqual(lost, {
    kind: 'unavailable',
    writeId: 'w1',
    accepted: 'unknown',
  });
  shared.wake();
  await settle();
  const before = shared.appends;
  const refused = await runUntil(clock, write(one, 'b'), 50);
  assert.equal(refused.kind === 'unavailable' && refused.accepted, 'no');
  assert.equal(shared.appends, before);
  one.log.down = false;
  clock.advance(2000);
  await settle();
  assert.equal(
    one.store.state.recentWrites.get('w1')?.outcome.kind,
    'accepted',
  );
});

test('a new host starts from a snapshot after the log has dropped the records', async t => {
  const clock = new ManualClock();
  const shared = new SharedLog();
  const one = await started(shared, clock);
  for (let i = 0; i < 5; i++) await runUntil(clock, write(one, `z${i}`));
  assert.equal(await one.snapshots.checkNow(), true);
  assert.equal(
    await one.snapshots.checkNow(),
    false,
    'no second snapshot is due',
  );
  await runUntil(clock, write(one, 'late'));
  shared.truncate('config', 5);
  const fresh = await started(shared, clock);
  t.after(() => [one, fresh].forEach(({feed}) => feed.stop()));
  assert.deepEqual(fresh.store.state, one.store.state);
  assert.equal(fresh.feed.complete, true);
  assert.deepEqual(fresh.offsets, [5, 6]);
  // The log drops snapshots too, so they are rewritten even without new records.
  clock.advance(retentionMs / 4);
  assert.equal(await fresh.snapshots.checkNow(), true);
});

test('a complete snapshot is found among parts of a writer that crashed', async () => {
  const clock = new ManualClock();
  const shared = new SharedLog();
  const one = await started(shared, clock);
  await runUntil(clock, write(one, 'a'));
  const {state} = one.store;
  const [part] = encodeSnapshot(state, 'half', 't');
  shared.put('config-snapshot', {...part, offset: 99, parts: 2});
  shared.put('config-snapshot', {format: 2});
  shared.put('config-snapshot', part);
  shared.put('config-snapshot', encodeSnapshot(state, 'whole', 't')[0]);
  shared.truncate('config-snapshot', 1);
  one.feed.stop();
  const fresh = await started(shared, clock);
  fresh.feed.stop();
  assert.equal(fresh.store.state.resources.zone.size, 1);
});

test('a host behind a truncated log catches up from a snapshot, and its offset never decreases', async t => {
  const clock = new ManualClock();
  const shared = new SharedLog();
  const [one, slow] = [
    await started(shared, clock),
    await started(shared, clock),
  ];
  t.after(() => [one, slow].forEach(({feed}) => feed.stop()));
  await runUntil(clock, write(one, 'a'));
  await settle();
  slow.log.down = true;
  shared.wake();
  for (let i = 0; i < 6; i++) await runUntil(clock, write(one, `z${i}`));
  await one.snapshots.checkNow();
  await runUntil(clock, write(one, 'last'));
  shared.truncate('config', 6);
  slow.log.down = false;
  for (let i = 0; i < 10; i++) {
    clock.advance(300);
    await settle();
  }
  assert.deepEqual(slow.store.state, one.store.state);
  // An older snapshot and older records, as a peer that lags behind sends them.
  const old = new ConfigStore();
  slow.store.post({kind: 'snapshot', state: {...old.state, offset: 3}});
  slow.store.sink.accept('config', [{offset: 2, data: {}}]);
  assert.deepEqual(slow.store.state, one.store.state);
  assert.deepEqual(
    slow.offsets,
    [...slow.offsets].sort((a, b) => a - b),
  );
});

test('while the log is down a new host starts from the snapshot of a peer', async t => {
  const clock = new ManualClock();
  const shared = new SharedLog();
  const one = await started(shared, clock);
  await runUntil(clock, write(one, 'a'));
  const peer = new OnePeer(encodeSnapshot(one.store.state, 'p', 't'));
  const fresh = host(shared, clock, peer);
  fresh.log.down = true;
  void fresh.feed.start();
  await settle();
  t.after(() => [one, fresh].forEach(({feed}) => feed.stop()));
  assert.equal(fresh.feed.complete, true);
  assert.deepEqual(fresh.store.state, one.store.state);
});

test('records kept for peers are bounded in number and size and have no gaps', async () => {
  const store = new ConfigStore();
  const records = Array.from({length: 5000}, (_, offset) => ({
    offset,
    data: {offset},
  }));
  store.post({kind: 'records', records});
  const first = store.firstKept;
  assert.ok(first > 0);
  assert.equal(store.source.nextOffset('config'), 5000);
  assert.deepEqual(store.source.recordsFrom('config', first - 1, 1e6), []);
  const some = store.source.recordsFrom('config', 4000, 100);
  assert.ok(some.length > 0 && some.length < 10);
  assert.deepEqual(some, records.slice(4000, 4000 + some.length));
});
