import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FailureError} from '../../../src/process/errors/catalogue.js';
import {MemberView, type Member} from '../../../src/process/member-view.js';
import {Subject} from '../../../src/process/subject.js';
import type {LedgerEntry} from '../../../src/version/claims/claim-ledger.js';
import {findOwner} from '../../../src/process/ownership.js';
import {hashScope, partitionOf} from '../../../src/version/claims/claim-key.js';
import {
  claimStream,
  LocalClaimSubmitter,
} from '../../../src/version/claims/claim-submitter.js';
import {ClaimUndecidedError} from '../../../src/version/claims/claim-writer.js';
import {
  LogClaimGate,
  UnknownStatusSource,
} from '../../../src/version/claims/log-claim-gate.js';
import {
  ClaimTransport,
  RoutedClaimSubmitter,
} from '../../../src/version/claims/routed-claim-submitter.js';
import {ManualClock} from '../../../stand-ins/manual-clock.js';
import {runUntil, settle} from '../settle.js';
import {SharedLog, TestLog} from '../test-log.js';

const retentionMs = 3_600_000;

class StaticMemberView extends MemberView {
  override readonly changes = new Subject<Member>().stream;

  constructor(
    private readonly selfId: string,
    private readonly ids: readonly string[],
  ) {
    super();
  }

  override get self() {
    return this.member(this.selfId);
  }

  override live() {
    return this.ids.map(id => this.member(id));
  }

  private member(id: string): Member {
    const place = {zone: 'a', region: 'r', peerAddress: ''};
    return {...place, id, incarnation: 0, state: 'alive', configOffset: 0};
  }
}

/** Delivers entries to the writers of the other hosts; responses can be lost. */
class TestClaimTransport extends ClaimTransport {
  readonly writers = new Map<string, LocalClaimSubmitter>();
  /** Number of next responses to lose. */
  lost = 0;
  /** Delays the responses to calls that start while it is set. */
  hold: Promise<void> | undefined;

  override async submit(host: string, partition: number, entry: LedgerEntry) {
    const {hold} = this;
    const writer = this.writers.get(host);
    if (!writer) throw new ClaimUndecidedError(true);
    const decision = await writer.submit(partition, entry);
    await hold;
    if (this.lost-- > 0) throw new ClaimUndecidedError(true);
    return decision;
  }
}

function startHosts(ids: readonly string[]) {
  const clock = new ManualClock();
  const shared = new SharedLog();
  const transport = new TestClaimTransport();
  const random = () => 0.5;
  const hosts = ids.map(host => {
    const log = new TestLog(shared);
    const local = new LocalClaimSubmitter({
      log,
      clock,
      random,
      ledgerRetentionMs: retentionMs,
      appendsPerSecond: () => 200,
    });
    transport.writers.set(host, local);
    const members = new StaticMemberView(host, ids);
    const parts = {members, transport, local, clock, random, partitions};
    const submitter = new RoutedClaimSubmitter(parts);
    const statusSource = new UnknownStatusSource();
    const gate = new LogClaimGate({
      host,
      clock,
      submitter,
      statusSource,
      partitions,
      retentionMs,
    });
    return {gate, submitter, local, log};
  });
  return {clock, shared, transport, hosts};
}

const partitions = 8;
const partition = (key: string) =>
  partitionOf(hashScope(`o s ${key}`), partitions);
const ownerOf = (key: string, ids: readonly string[]) =>
  findOwner(claimStream(partition(key)), ids);
const keysOwnedBy = (host: string, ids: readonly string[], count: number) =>
  Array.from({length: 200}, (_, i) => `key${i}`)
    .filter(key => ownerOf(key, ids) === host)
    .slice(0, count);

const req = (key: string, id: string) => ({
  scopeKey: `o s ${key}`,
  requestHash: 'r',
  requestId: id,
});

test('claims of several hosts share the appends of the partition owner', async () => {
  const {clock, shared, hosts} = startHosts(['a', 'b', 'c']);
  const results = hosts.flatMap(({gate}, host) =>
    Array.from({length: 40}, (_, i) =>
      gate.claim(req(`k${host}-${i}`, `q${host}-${i}`)),
    ),
  );
  const kinds = (await runUntil(clock, Promise.all(results))).map(
    ({kind}) => kind,
  );
  assert.ok(kinds.every(kind => kind === 'granted'));
  assert.ok(shared.appends <= 24, `${shared.appends} appends for 120 claims`);
  const shares = hosts.map(({submitter}) => submitter.ownedShare);
  assert.equal(
    shares.reduce((sum, share) => sum + share, 0),
    1,
  );
});

test('a claim whose response is lost is refused if the local log is down, and its key is released', async () => {
  const {clock, transport, hosts} = startHosts(['a', 'b']);
  hosts[0].log.down = true;
  let refused = 0;
  for (let i = 0; refused === 0 && i < 20; i++) {
    if (ownerOf(`k${i}`, ['a', 'b']) === 'a') continue;
    transport.lost = 2;
    const claim = hosts[0].gate.claim(req(`k${i}`, `q${i}`));
    const kind = await runUntil(clock, claim).then(
      result => result.kind,
      () => 'refused',
    );
    assert.equal(kind, 'refused');
    refused++;
    for (let step = 0; step < 100; step++) {
      await settle();
      clock.advance(10);
    }
    const again = await runUntil(
      clock,
      hosts[1].gate.claim(req(`k${i}`, 'again')),
    );
    assert.equal(again.kind, 'granted');
  }
  assert.equal(refused, 1);
});

test('a host writes a claim itself if the owner does not respond, and a retry at the owner does not run', async () => {
  const {clock, transport, hosts} = startHosts(['a', 'b']);
  const owned = keysOwnedBy('b', ['a', 'b'], 12);
  for (const [i, key] of owned.entries()) {
    // If there is no response, the owner has either written the claim or never received it.
    if (i % 2 === 0) transport.lost = 1;
    else transport.writers.delete('b');
    const first = await runUntil(clock, hosts[0].gate.claim(req(key, `q${i}`)));
    assert.equal(first.kind, 'granted', `key ${i}`);
    transport.writers.set('b', hosts[1].local);
    const again = await runUntil(clock, hosts[1].gate.claim(req(key, 'again')));
    assert.equal(again.kind, 'unknown', `key ${i}`);
  }
  assert.equal(hosts[0].submitter.fallbacks, owned.length);
});

test('a claim that the owner wrote and this host has already read is won, not lost to itself', async () => {
  const {clock, transport, hosts} = startHosts(['a', 'b']);
  const [first, second] = keysOwnedBy('b', ['a', 'b'], 40).filter(
    (key, _, all) => partition(key) === partition(all[0]),
  );
  // The response to the first claim arrives only after this host has read its record.
  const gate = hosts[0].gate;
  transport.lost = 2;
  let release: () => void = () => {};
  transport.hold = new Promise<void>(resolve => (release = resolve));
  const slow = gate.claim(req(first, 'q1'));
  await settle();
  transport.hold = undefined;
  const fast = await runUntil(clock, gate.claim(req(second, 'q2')));
  assert.equal(fast.kind, 'granted');
  release();
  assert.equal((await runUntil(clock, slow)).kind, 'granted');
});

test('a claim that is decided during a pause of the host is released instead of granted', async () => {
  const {clock, shared, transport, hosts} = startHosts(['a', 'b']);
  const pauses = {
    reported: () => hosts[0].submitter.selfPaused(),
    // The response that waited in the socket is handled before any timer detects the pause.
    'not reported': () => {
      const nowMs = clock.nowMs.bind(clock);
      clock.nowMs = () => nowMs() + 60_000;
    },
  };
  for (const [i, pause] of Object.values(pauses).entries()) {
    const [key] = keysOwnedBy('b', ['a', 'b'], i + 1).slice(-1);
    let respond: () => void = () => {};
    transport.hold = new Promise<void>(resolve => (respond = resolve));
    const claim = hosts[0].gate.claim(req(key, `q${i}`));
    const refused = assert.rejects(claim, FailureError);
    while (shared.appends === 2 * i) await settle();
    transport.hold = undefined;
    pause();
    respond();
    await refused;
    await runUntil(clock, hosts[0].gate.released());
    const again = await runUntil(clock, hosts[1].gate.claim(req(key, 'again')));
    assert.equal(again.kind, 'granted');
    shared.appends = 2 * (i + 1);
  }
});

test('a stopping host waits until its abandoned claims are released', async () => {
  const {clock, hosts} = startHosts(['a', 'b']);
  const {gate, log} = hosts[0];
  const [key] = keysOwnedBy('a', ['a', 'b'], 1);
  const result = await runUntil(clock, gate.claim(req(key, 'q')));
  assert.ok(result.kind === 'granted');
  log.down = true;
  gate.release(result.token);
  let done = false;
  const released = gate.released().then(() => (done = true));
  for (let i = 0; i < 20; i++) {
    await settle();
    clock.advance(100);
  }
  assert.deepEqual([done, gate.pendingReleases], [false, 1]);
  log.down = false;
  await runUntil(clock, released);
  assert.equal(gate.pendingReleases, 0);
});
