import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Logger} from '../../src/process/logger.js';
import {
  foldRecord,
  emptyConfig,
  type ConfigRecord,
} from '../../src/version/config-state.js';
import {ConfigFeed} from '../../src/version/config-feed.js';
import {ConfigStore} from '../../src/version/config-store.js';
import {
  ConfigWriter,
  type WriteResult,
} from '../../src/version/config-writer.js';
import {ManualClock} from '../../stand-ins/manual-clock.js';
import {seededRandom} from '../../stand-ins/seeded-random.js';
import {SharedLog, TestLog, type AppendFault} from './test-log.js';

const hostCount = 3;
const writeCount = 80;

/** Runs hosts that write the same resources through a log that loses, delays and drops appends. */
async function run(seed: number) {
  const random = seededRandom(seed);
  const clock = new ManualClock();
  const shared = new SharedLog();
  const hosts = Array.from({length: hostCount}, () => {
    const log = new TestLog(shared);
    log.blocking = true;
    log.fault = () => {
      const x = random();
      const fault: AppendFault =
        x < 0.15
          ? 'lost'
          : x < 0.25
            ? 'delayed'
            : x < 0.35
              ? 'dropped'
              : 'none';
      return x > 0.95 ? 'limited' : fault;
    };
    const store = new ConfigStore();
    const logger = Logger.create('silent');
    const feed = new ConfigFeed({log, store, clock, logger, random});
    void feed.start();
    const logUp = () => feed.logUp;
    const writer = new ConfigWriter({log, store, clock, random, logUp});
    return {log, store, feed, writer};
  });
  const results: WriteResult[] = [];
  const pending: Promise<void>[] = [];
  for (let i = 0; i < writeCount; i++) {
    const {writer, store} = hosts[Math.floor(random() * hostCount)];
    const name = `z${Math.floor(random() * 3)}`;
    const base = store.state.resources.zone.get(name)?.generation ?? 0;
    const write = writer.write({
      actor: 'op',
      time: 't',
      op: base > 0 && random() < 0.2 ? 'delete' : 'put',
      kind: 'zone',
      name,
      baseGeneration: base,
      spec: {region: `r${i}`, state: 'in'},
    });
    pending.push(write.then(result => void results.push(result)));
    for (const {log} of hosts) if (random() < 0.1) log.down = !log.down;
    if (random() < 0.05) shared.releaseDelayed();
    for (let k = 0; k < 3; k++) await new Promise(next => setImmediate(next));
    clock.advance(random() * 200);
  }
  for (const {log} of hosts) {
    log.down = false;
    log.fault = () => 'none';
  }
  shared.releaseDelayed();
  let open = true;
  void Promise.all(pending).then(() => (open = false));
  const records = shared.stream('config').records;
  const behind = () =>
    hosts.some(({store}) => store.state.offset < records.length);
  while (open || behind()) {
    shared.wake();
    await new Promise(next => setImmediate(next));
    clock.advance(50);
  }
  for (const {feed} of hosts) feed.stop();
  shared.wake();
  return {hosts, records, results};
}

test('all hosts reach the same state, and every reported result matches the log', async () => {
  const seen = new Map<string, number>();
  for (let seed = 1; seed <= 10; seed++) {
    const {hosts, records, results} = await run(seed);
    let state = emptyConfig;
    const applied = new Map<string, number>();
    for (const [offset, data] of records.entries()) {
      const record = data as ConfigRecord;
      const folded = foldRecord(state, record, offset);
      state = folded.state;
      if (folded.outcome.kind !== 'accepted') continue;
      applied.set(record.writeId, (applied.get(record.writeId) ?? 0) + 1);
    }
    for (const {store} of hosts)
      assert.deepEqual(store.state, state, `seed ${seed}`);
    for (const result of results) {
      const times = applied.get(result.writeId) ?? 0;
      const label = `seed ${seed}: ${JSON.stringify(result)}`;
      seen.set(result.kind, (seen.get(result.kind) ?? 0) + 1);
      if (result.kind === 'accepted') assert.equal(times, 1, label);
      else if (result.kind === 'conflict') assert.equal(times, 0, label);
      else if (result.kind === 'unavailable' && result.accepted === 'no') {
        const inLog = records.some(
          data => (data as ConfigRecord).writeId === result.writeId,
        );
        assert.equal(inLog, false, label);
      } else assert.ok(times <= 1, label);
    }
  }
  for (const kind of ['accepted', 'conflict', 'unavailable']) {
    assert.ok((seen.get(kind) ?? 0) > 10, `${kind}: ${seen.get(kind)}`);
  }
});
