import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FailureError} from '../../../src/process/errors/catalogue.js';
import type {ClaimEntry} from '../../../src/version/claims/claim-ledger.js';
import {LocalClaimSubmitter} from '../../../src/version/claims/claim-submitter.js';
import {
  AttemptStatusSource,
  LogClaimGate,
  type AttemptStatus,
} from '../../../src/version/claims/log-claim-gate.js';
import {ManualClock} from '../../../stand-ins/manual-clock.js';
import {runUntil, settle} from '../settle.js';
import {SharedLog, TestLog, type AppendFault} from '../test-log.js';

const retentionMs = 3_600_000;

/** Queries the gates of the same test; a killed host does not respond. */
class GateStatusSource extends AttemptStatusSource {
  readonly gates = new Map<string, LogClaimGate>();

  override async getStatus(holder: ClaimEntry): Promise<AttemptStatus> {
    const gate = this.gates.get(holder.host.split('/')[0]);
    return gate?.getAttemptStatus(holder) ?? {kind: 'unknown'};
  }
}

function startHosts(hosts: readonly string[], clock = new ManualClock()) {
  const shared = new SharedLog();
  const statusSource = new GateStatusSource();
  const start = (host: string) => {
    const log = new TestLog(shared);
    const submitter = new LocalClaimSubmitter({
      log,
      clock,
      random: () => 0.5,
      ledgerRetentionMs: retentionMs,
      appendsPerSecond: () => 200,
    });
    const parts = {
      host,
      clock,
      submitter,
      statusSource,
      partitions: 1,
      retentionMs,
    };
    const gate = new LogClaimGate(parts);
    statusSource.gates.set(host, gate);
    return {log, gate, submitter};
  };
  const started = hosts.map(start);
  return {shared, clock, statusSource, start, hosts: started};
}

let requests = 0;
function req(key = 'org service key', requestHash = 'r') {
  return {scopeKey: key, requestHash, requestId: `q${++requests}`};
}

const isUnavailable = (err: unknown) =>
  err instanceof FailureError &&
  err.failure.kind === 'refused' &&
  err.failure.reason === 'claim-unavailable';

const answer = {status: 200, headers: {}, body: Buffer.from('done')};

test('of two concurrent claims of a key at two hosts only the first in the log is granted', async () => {
  const {clock, hosts} = startHosts(['a', 'b']);
  const both = Promise.all(hosts.map(({gate}) => gate.claim(req())));
  const kinds = (await runUntil(clock, both)).map(({kind}) => kind);
  assert.deepEqual(kinds.sort(), ['granted', 'in-progress']);
});

test('the first response is replayed at the same host and at another one', async () => {
  const {clock, hosts} = startHosts(['a', 'b']);
  const first = await runUntil(clock, hosts[0].gate.claim(req()));
  assert.equal(first.kind, 'granted');
  if (first.kind === 'granted') hosts[0].gate.finish(first.token, answer);
  for (const {gate} of hosts) {
    const again = await runUntil(clock, gate.claim(req()));
    assert.deepEqual(again, {kind: 'answered', answer});
  }
  const other = hosts[1].gate.claim(req('org service key', 'other request'));
  assert.equal((await runUntil(clock, other)).kind, 'mismatch');
});

test('a claim whose append response was lost is found in the log and granted once', async () => {
  const {clock, hosts, shared} = startHosts(['a']);
  const faults: AppendFault[] = ['lost'];
  hosts[0].log.fault = () => faults.shift() ?? 'none';
  const result = await runUntil(clock, hosts[0].gate.claim(req()));
  assert.equal(result.kind, 'granted');
  assert.equal(shared.stream('claims-00').records.length, 1);
});

test('a claim while the log is down is refused as not run, and the key stays free', async () => {
  const {clock, hosts, shared} = startHosts(['a', 'b']);
  hosts[0].log.down = true;
  await assert.rejects(
    runUntil(clock, hosts[0].gate.claim(req())),
    isUnavailable,
  );
  assert.equal(shared.appends, 0);
  hosts[0].log.down = false;
  assert.equal(
    (await runUntil(clock, hosts[1].gate.claim(req()))).kind,
    'granted',
  );
});

test('a claim of a known key while the log is down returns its status, not a refusal as not run', async () => {
  const {clock, hosts, statusSource} = startHosts(['a', 'b']);
  const [a, b] = hosts;
  const first = await runUntil(clock, a.gate.claim(req()));
  assert.equal(
    (await runUntil(clock, b.gate.claim(req()))).kind,
    'in-progress',
  );
  if (first.kind === 'granted') a.gate.finish(first.token, undefined);
  for (const {log} of hosts) log.down = true;
  assert.equal((await runUntil(clock, a.gate.claim(req()))).kind, 'unknown');
  statusSource.gates.delete('a');
  assert.equal((await runUntil(clock, b.gate.claim(req()))).kind, 'unknown');
});

test('a claim appended while the log went down is released when the log recovers', async () => {
  const {clock, hosts} = startHosts(['a', 'b']);
  const [a, b] = hosts;
  a.log.fault = () => {
    a.log.down = true;
    return 'lost';
  };
  await assert.rejects(runUntil(clock, a.gate.claim(req())), isUnavailable);
  // The holder is reachable and did not start the request: refused as not run, and not granted.
  await assert.rejects(runUntil(clock, b.gate.claim(req())), isUnavailable);
  a.log.fault = () => 'none';
  a.log.down = false;
  for (let i = 0; i < 500; i++) {
    await settle();
    clock.advance(10);
  }
  assert.equal((await runUntil(clock, b.gate.claim(req()))).kind, 'granted');
});

test('a claim that arrives in the log after its release never holds the key', async () => {
  const {clock, hosts, shared} = startHosts(['a', 'b']);
  const [a, b] = hosts;
  const faults: AppendFault[] = ['delayed', 'dropped', 'dropped', 'dropped'];
  a.log.fault = () => {
    const fault = faults.shift() ?? 'none';
    if (fault === 'dropped') a.log.down = true;
    return fault;
  };
  await assert.rejects(runUntil(clock, a.gate.claim(req())), isUnavailable);
  a.log.down = false;
  faults.length = 0;
  for (let i = 0; i < 500; i++) {
    await settle();
    clock.advance(10);
  }
  const records = shared.stream('claims-00').records;
  assert.equal(
    records.length,
    1,
    'the release is in the log, without its claim',
  );
  shared.releaseDelayed();
  assert.equal(records.length, 2);
  assert.equal((await runUntil(clock, b.gate.claim(req()))).kind, 'granted');
});

test('a retry after its host was killed between claim and dispatch is unknown, never granted', async () => {
  const {clock, hosts, statusSource, start} = startHosts(['a', 'b']);
  await runUntil(clock, hosts[0].gate.claim(req()));
  statusSource.gates.delete('a');
  assert.equal(
    (await runUntil(clock, hosts[1].gate.claim(req()))).kind,
    'unknown',
  );
  // The restarted host has the same name and must not take the earlier claim for its own.
  const again = start('a');
  assert.equal(
    (await runUntil(clock, again.gate.claim(req()))).kind,
    'unknown',
  );
});

test('a released key can be claimed again, by the same host and by another one', async () => {
  const {clock, hosts} = startHosts(['a', 'b']);
  for (const {gate} of [hosts[0], hosts[0], hosts[1], hosts[0]]) {
    const result = await runUntil(clock, gate.claim(req()));
    assert.equal(result.kind, 'granted');
    if (result.kind === 'granted') gate.release(result.token);
    await settle();
    clock.advance(1000);
    await settle();
  }
});

test('a new host reads all retained records before it grants a claim', async () => {
  const {clock, hosts, start, statusSource} = startHosts(['a']);
  for (let i = 0; i < 700; i++) {
    await runUntil(clock, hosts[0].gate.claim(req(`org service k${i}`)));
  }
  statusSource.gates.delete('a');
  const fresh = start('c');
  const results = [0, 350, 699].map(i =>
    fresh.gate.claim(req(`org service k${i}`)),
  );
  for (const result of results) {
    assert.equal((await runUntil(clock, result)).kind, 'unknown');
  }
});

test('a new host starts on a log whose first records were truncated', async () => {
  const {clock, hosts, shared, start} = startHosts(['a']);
  for (const key of ['o s 1', 'o s 2', 'o s 3']) {
    await runUntil(clock, hosts[0].gate.claim(req(key)));
  }
  shared.truncate('claims-00', 2);
  const {gate} = start('c');
  assert.equal(
    (await runUntil(clock, gate.claim(req('o s 3')))).kind,
    'in-progress',
  );
});

test('after the retention a plain key can be claimed again, and a UUIDv7 key is expired by its timestamp', async () => {
  const {clock, hosts} = startHosts(['a']);
  const {gate} = hosts[0];
  const uuid = (ms: number) => {
    const hex = Math.floor(ms).toString(16).padStart(12, '0');
    return `o s ${hex.slice(0, 8)}-${hex.slice(8)}-7abc-8def-0123456789ab`;
  };
  const timed = uuid(clock.wallMs());
  for (const key of ['o s plain', timed]) {
    assert.equal((await runUntil(clock, gate.claim(req(key)))).kind, 'granted');
  }
  clock.advance(retentionMs + 1000);
  assert.equal(
    (await runUntil(clock, gate.claim(req('o s plain')))).kind,
    'granted',
  );
  assert.equal((await gate.claim(req(timed))).kind, 'expired');
  // The claim of a future key would expire while the key still looks recent.
  const future = uuid(clock.wallMs() + retentionMs);
  assert.equal((await gate.claim(req(future))).kind, 'expired');
});

test('a host that was paused beyond the claim timeout does not grant the claim that it reads back', async () => {
  const {clock, hosts, shared} = startHosts(['a', 'b']);
  const [a, b] = hosts;
  const read = a.log.read.bind(a.log);
  let paused = false;
  a.log.read = async (...args) => {
    const page = await read(...args);
    if (page.records.length > 0 && !paused) {
      paused = true;
      // The timers of a paused process run only after the responses that waited in its sockets.
      Object.defineProperty(clock, 'nowMs', {
        value: () => 60_000,
        configurable: true,
      });
    }
    return page;
  };
  await assert.rejects(a.gate.claim(req()), isUnavailable);
  Reflect.deleteProperty(clock, 'nowMs');
  for (let i = 0; i < 100; i++) {
    await settle();
    clock.advance(10);
  }
  assert.equal(shared.stream('claims-00').records.length, 2, 'claim, release');
  const result = await runUntil(clock, b.gate.claim(req()));
  assert.equal(result.kind, 'granted');
});

test('a process stays within its append rate, and its batches grow with the load', async () => {
  const clock = new ManualClock();
  const log = new TestLog();
  const submitter = new LocalClaimSubmitter({
    log,
    clock,
    random: () => 0.5,
    ledgerRetentionMs: retentionMs,
    appendsPerSecond: () => 10,
  });
  const gate = new LogClaimGate({
    host: 'a',
    clock,
    submitter,
    statusSource: new GateStatusSource(),
    partitions: 8,
    retentionMs,
  });
  const results: Promise<unknown>[] = [];
  for (let i = 0; i < 500; i++) {
    results.push(gate.claim(req(`o s k${i}`)));
    await settle();
    clock.advance(10);
  }
  const all = (await runUntil(clock, Promise.all(results))) as {kind: string}[];
  assert.ok(all.every(({kind}) => kind === 'granted'));
  // Five seconds at 10 appends per second, the burst of a quarter second and the last batch.
  assert.ok(submitter.appends <= 62, `${submitter.appends} appends`);
});
