import assert from 'node:assert/strict';
import {test} from 'node:test';
import {CrashGossip} from '../../../src/connection/peer/crash-gossip.js';
import type {Receiver} from '../../../src/process/membership/effects.js';
import type {LinkMessage} from '../../../src/process/membership/messages.js';
import {
  PeerTransport,
  type ReceivedMessage,
} from '../../../src/process/membership/peer-transport.js';
import {Subject} from '../../../src/process/subject.js';
import {CrashEvidence} from '../../../src/process/crashes/crash-evidence.js';
import {ManualClock} from '../../../stand-ins/manual-clock.js';

/** Hosts in a row; each is linked with the hosts next to it. */
class Row {
  readonly clock = new ManualClock();
  readonly hosts: {
    evidence: CrashEvidence;
    subject: Subject<ReceivedMessage>;
  }[] = [];
  /** Index of the host whose messages get lost. */
  cut: number | undefined;
  messages = 0;
  longest = 0;

  constructor(readonly size: number) {
    for (let at = 0; at < size; at++) {
      const evidence = new CrashEvidence();
      const subject = new Subject<ReceivedMessage>();
      this.hosts.push({evidence, subject});
      const ids = [at - 1, at + 1].filter(id => id >= 0 && id < size);
      const neighbours = () => ids.map(id => ({id: `h${id}`, address: ''}));
      const transport = new RowTransport(this, at, subject);
      const {clock} = this;
      new CrashGossip(evidence, {clock, transport, neighbours}).start();
    }
  }

  /** Moves the clock; streams deliver between the steps. */
  async advance(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += 50) {
      this.clock.advance(50);
      await new Promise(resolve => setImmediate(resolve));
    }
  }

  crash(at: number, fingerprint: string, target: string): void {
    const {evidence} = this.hosts[at];
    const attempt = `${fingerprint} ${target}`;
    evidence.started(target, attempt, [fingerprint]);
    evidence.recordTargetCrash(target, this.clock.wallMs());
  }

  refusing(fingerprint: string): number {
    const nowMs = this.clock.wallMs();
    return this.hosts.filter(({evidence}) =>
      evidence.isBlocked([fingerprint], nowMs),
    ).length;
  }
}

class RowTransport extends PeerTransport {
  override readonly messages;

  constructor(
    private readonly row: Row,
    private readonly at: number,
    subject: Subject<ReceivedMessage>,
  ) {
    super();
    this.messages = subject.stream;
  }

  override send(to: Receiver, message: LinkMessage): void {
    if (this.row.cut === this.at) return;
    this.row.messages++;
    const data = message.gossip?.data ?? new Uint8Array();
    this.row.longest = Math.max(this.row.longest, data.length);
    const place = {zone: 'a', region: 'r', address: ''};
    const from = {id: `h${this.at}`, ...place};
    // The receivers must not act within the round of the sender.
    this.row.clock.after(1, () =>
      this.row.hosts[Number(to.id.slice(1))].subject.next({from, message}),
    );
  }

  override keepLinks(): void {}
}

test('a request that crashed two targets at two hosts is refused by all hosts, four hops apart, within 5 s', async () => {
  const row = new Row(5);
  row.crash(0, 'key:a', 't1');
  row.crash(4, 'key:a', 't2');
  assert.equal(row.refusing('key:a'), 0);
  await row.advance(5000);
  assert.equal(row.refusing('key:a'), 5);
});

test('known evidence is sent no further (guards against messages that circle for ever)', async () => {
  const row = new Row(5);
  row.crash(0, 'key:a', 't1');
  await row.advance(10_000);
  assert.ok(row.messages <= 8, `${row.messages} messages`);
  const before = row.messages;
  await row.advance(10_000);
  assert.equal(row.messages, before);
});

test('a completion elsewhere clears the evidence on all hosts', async () => {
  const row = new Row(3);
  row.crash(0, 'key:a', 't1');
  await row.advance(3000);
  const {evidence} = row.hosts[2];
  evidence.started('t2', 'x', ['key:a']);
  evidence.ended('t2', 'x', 'completed', row.clock.wallMs());
  await row.advance(3000);
  row.crash(1, 'key:a', 't3');
  await row.advance(3000);
  assert.equal(row.refusing('key:a'), 0);
});

test('a refused request is not held up by the evidence of a busy target, and messages stay short', async () => {
  const row = new Row(2);
  const {evidence} = row.hosts[0];
  for (let i = 0; i < 200; i++) row.crash(0, `key:i${i}`, `t${i}`);
  // The refused request shared the blame, so its suspects alone would put it last.
  for (const target of ['u1', 'u2']) {
    evidence.started(target, `other ${target}`, ['key:other']);
    row.crash(0, 'key:a', target);
  }
  await row.advance(1100);
  assert.equal(row.refusing('key:a'), 2);
  await row.advance(20_000);
  assert.ok(row.longest <= 1024, `${row.longest} bytes`);
});

test('evidence that a lost message carried is sent again', async () => {
  const row = new Row(2);
  row.crash(0, 'key:a', 't1');
  await row.advance(10);
  row.crash(0, 'key:a', 't2');
  row.cut = 0;
  await row.advance(3000);
  row.cut = undefined;
  await row.advance(40_000);
  assert.equal(row.refusing('key:a'), 2);
});

test('malformed evidence or a time in the future changes nothing', async () => {
  const row = new Row(2);
  const {subject, evidence} = row.hosts[0];
  const from = {id: 'h9', zone: 'a', region: 'r', address: ''};
  const data = Buffer.from('no protobuf at all');
  subject.next({from, message: {gossip: {topic: 'crash-evidence', data}}});
  const future = row.clock.wallMs() + 3_600_000;
  row.hosts[1].evidence.started('t1', 'x', ['key:a']);
  row.hosts[1].evidence.recordTargetCrash('t1', future);
  await row.advance(3000);
  assert.ok(row.messages > 0);
  assert.deepEqual(evidence.export(0), {records: [], cleared: []});
});
