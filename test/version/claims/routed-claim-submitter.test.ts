import assert from 'node:assert/strict';
import {test} from 'node:test';
import {MemberView, type Member} from '../../../src/process/member-view.js';
import {Subject} from '../../../src/process/subject.js';
import type {LedgerEntry} from '../../../src/version/claims/claim-ledger.js';
import {LocalClaimSubmitter} from '../../../src/version/claims/claim-submitter.js';
import {ClaimUndecided} from '../../../src/version/claims/claim-writer.js';
import {
  LogClaimGate,
  NoAnswerSource,
} from '../../../src/version/claims/log-claim-gate.js';
import {
  ClaimTransport,
  RoutedClaimSubmitter,
} from '../../../src/version/claims/routed-claim-submitter.js';
import {ManualClock} from '../../../stand-ins/manual-clock.js';
import {runUntil, settle} from '../settle.js';
import {SharedLog, TestLog} from '../test-log.js';

const retentionMs = 3_600_000;

class Hosts extends MemberView {
  override readonly changes = new Subject<Member>().stream;

  constructor(
    private readonly own: string,
    private readonly ids: readonly string[],
  ) {
    super();
  }

  override get self() {
    return this.member(this.own);
  }

  override live() {
    return this.ids.map(id => this.member(id));
  }

  private member(id: string): Member {
    const place = {zone: 'a', region: 'r', peerAddress: ''};
    return {...place, id, incarnation: 0, state: 'alive', configOffset: 0};
  }
}

/** Delivers to the writers of the other hosts; the answers can be lost. */
class Network extends ClaimTransport {
  readonly writers = new Map<string, LocalClaimSubmitter>();
  lost = 0;

  override async submit(host: string, partition: number, entry: LedgerEntry) {
    const writer = this.writers.get(host);
    if (!writer) throw new ClaimUndecided(true);
    const decision = await writer.submit(partition, entry);
    if (this.lost-- > 0) throw new ClaimUndecided(true);
    return decision;
  }
}

function fleet(ids: readonly string[]) {
  const clock = new ManualClock();
  const shared = new SharedLog();
  const transport = new Network();
  const random = () => 0.5;
  const partitions = 8;
  const hosts = ids.map(host => {
    const local = new LocalClaimSubmitter({
      log: new TestLog(shared),
      clock,
      random,
      keepMs: retentionMs,
      appendsPerSecond: () => 200,
    });
    transport.writers.set(host, local);
    const members = new Hosts(host, ids);
    const parts = {members, transport, local, clock, random, partitions};
    const submitter = new RoutedClaimSubmitter(parts);
    const answers = new NoAnswerSource();
    const gate = new LogClaimGate({
      host,
      clock,
      submitter,
      answers,
      partitions,
      retentionMs,
    });
    return {gate, submitter, local};
  });
  return {clock, shared, transport, hosts};
}

const req = (key: string, id: string) => ({
  scopeKey: `o s ${key}`,
  requestHash: 'r',
  requestId: id,
});

test('claims of several hosts share the appends of the partition owner', async () => {
  const {clock, shared, hosts} = fleet(['a', 'b', 'c']);
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

test('a lost answer of the owner is refused, and the key is free after its release', async () => {
  const {clock, transport, hosts} = fleet(['a', 'b']);
  let refused = 0;
  for (let i = 0; refused === 0 && i < 20; i++) {
    transport.lost = 2;
    const claim = hosts[0].gate.claim(req(`k${i}`, `q${i}`));
    const kind = await runUntil(clock, claim).then(
      result => result.kind,
      () => 'refused',
    );
    if (kind === 'granted') continue; // The partition is owned by this host itself.
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
