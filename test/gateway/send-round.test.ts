import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SendRound} from '../../src/process/fleet/send-round.js';

const hosts = Array.from({length: 68}, (_, i) => `10.0.0.${i}`);

// Guards against hosts that never get the news of another one: all datagrams of a message were sent at once and in the same
// order, and those at its end were dropped because the link was full.
test('a message to many hosts is sent in small batches, and a new message continues with the next host', () => {
  const round = new SendRound();
  const received = new Map<string, number>();
  for (let message = 0; message < 68; message++) {
    round.start(hosts);
    // Each message is replaced by the next one after its first batch.
    const batch = round.takeBatch(1000);
    assert.equal(batch.length, 16);
    for (const host of batch) received.set(host, (received.get(host) ?? 0) + 1);
  }
  assert.equal(received.size, hosts.length);
  assert.deepEqual(new Set(received.values()), new Set([16]));
});

test('a round reaches each host once, whatever the size of its datagrams', () => {
  for (const bytes of [400, 4000, 60_000]) {
    const round = new SendRound();
    round.start(hosts);
    const all: string[] = [];
    while (round.pending > 0) all.push(...round.takeBatch(bytes));
    assert.deepEqual(all.sort(), [...hosts].sort());
    assert.deepEqual(round.takeBatch(bytes), []);
  }
});
