import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setImmediate as settle} from 'node:timers/promises';
import {EvidenceGossip} from '../../../src/connection/peer/evidence-gossip.js';
import type {Receiver} from '../../../src/process/membership/effects.js';
import type {LinkMessage} from '../../../src/process/membership/messages.js';
import {
  PeerTransport,
  type ReceivedMessage,
} from '../../../src/process/membership/peer-transport.js';
import {Subject} from '../../../src/process/subject.js';
import {
  bucketMs,
  EvidenceStore,
} from '../../../src/version/evidence/evidence-store.js';
import {InFlightTable} from '../../../src/version/evidence/in-flight-table.js';
import {ManualClock} from '../../../stand-ins/manual-clock.js';

class Wire extends PeerTransport {
  private readonly subject = new Subject<ReceivedMessage>();
  override readonly messages = this.subject.stream;
  bytes = 0;

  constructor(
    private readonly id: string,
    private readonly wires: Map<string, Wire>,
  ) {
    super();
    wires.set(id, this);
  }

  override send(to: Receiver, message: LinkMessage): void {
    const from = {id: this.id, zone: 'a', region: 'r', address: ''};
    this.bytes = Math.max(this.bytes, message.gossip!.data.length);
    this.wires.get(to.id)?.subject.next({from, message});
  }

  override keepLinks(): void {}
}

/** Hosts of which each is linked with the next one only. */
function line(clock: ManualClock, ids: readonly string[]) {
  const wires = new Map<string, Wire>();
  return ids.map((id, i) => {
    const store = new EvidenceStore(id);
    const inFlight = new InFlightTable();
    const transport = new Wire(id, wires);
    const near = [ids[i - 1], ids[i + 1]].filter(other => other !== undefined);
    const gossip = new EvidenceGossip({
      clock,
      transport,
      neighbours: () => near.map(other => ({id: other, address: ''})),
      store,
      inFlight,
      services: () => new Set(['s']),
    });
    gossip.start();
    return {store, inFlight, transport};
  });
}

function record(store: EvidenceStore, clock: ManualClock, route = '/r'): void {
  store.record(
    {
      service: 's',
      version: 'v2',
      route,
      zone: 'a',
      target: 't',
      targetEpoch: 0,
      result: 'failed',
    },
    clock.wallMs(),
  );
}

function counted(store: EvidenceStore, clock: ManualClock): number {
  const bucket = Math.floor(clock.wallMs() / bucketMs);
  return store.cells('s', bucket).reduce((sum, cell) => sum + cell.requests, 0);
}

test('counters, requests in flight and stops reach hosts without a direct link, each once', async () => {
  const clock = new ManualClock();
  const [a, b, c] = line(clock, ['a', 'b', 'c']);
  for (const {store} of [a, b, c]) record(store, clock);
  a.inFlight.add('s/v2', 2);
  c.inFlight.add('s/v2', 1);
  const stop = {
    metric: 'failures',
    stratum: 'overall',
    logEvidence: 9,
    needed: 8,
    atMs: 0,
  };
  a.store.recordStop('comparison', stop);
  for (let i = 0; i < 3; i++) {
    clock.advance(1000);
    await settle();
  }
  for (const {store, inFlight} of [a, b, c]) {
    assert.equal(counted(store, clock), 3);
    assert.equal(inFlight.sum('s/v2', clock.nowMs()), 3);
    assert.deepEqual(store.stopOf('comparison'), stop);
  }
});

test('a stop does not wait behind counters, and messages stay small', async () => {
  const clock = new ManualClock();
  const [a, b] = line(clock, ['a', 'b']);
  for (let i = 0; i < 400; i++) record(a.store, clock, `/route-${i % 30}`);
  clock.advance(1000);
  await settle();
  const stop = {
    metric: 'failures',
    stratum: 'overall',
    logEvidence: 9,
    needed: 8,
    atMs: 0,
  };
  for (let i = 0; i < 400; i++) record(a.store, clock, `/route-${i % 30}`);
  a.store.recordStop('comparison', stop);
  clock.advance(1000);
  await settle();
  assert.deepEqual(b.store.stopOf('comparison'), stop);
  assert.ok(a.transport.bytes <= 4096, `${a.transport.bytes} bytes`);
});
