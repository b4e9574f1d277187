import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  decodeGossip,
  encodeEcho,
  encodeGossip,
} from '../../src/process/fleet/gossip-message.js';
import {composedAtMs, echoFor} from '../../src/process/fleet/message-time.js';
import {PeerTable} from '../../src/process/fleet/peer-table.js';
import {nothingToReport} from './gossip-fixture.js';

const message = {
  host: 'a',
  ip: '10.0.0.1',
  zone: 'z',
  incarnation: 7,
  sequence: 1,
  sentAtMs: 5000.4,
  ...nothingToReport,
  feedUpdate: {
    orders: -1,
    ordersAgeMs: 0,
    ordersReadAtMs: 0,
    configuration: 0,
    targets: -1,
    targetsAgeMs: 0,
    targetsReadAtMs: 0,
    digest: 0,
    changes: [],
  },
};

function passOn(echo: Parameters<typeof encodeEcho>[0]) {
  const datagram = Buffer.concat([encodeGossip(message), encodeEcho(echo)]);
  const decoded = decodeGossip(datagram);
  assert.ok(decoded);
  return decoded;
}

// Guards against a view that seems younger than it is, because a message waited before it was processed.
test('the time of a message is never later than its composing, whatever its transit took', () => {
  const peers = new PeerTable('b');
  // The clocks of the hosts differ: b is 100 s ahead. The message of a, sent at 5000 of its clock, arrives after 40 ms.
  peers.receive(passOn(undefined), 105_040);
  const [a] = peers.all;
  const echo = passOn(echoFor(a, 105_540)).echo;
  // The answer was composed at 5540 of a's clock.
  assert.equal(composedAtMs(echo, 7, 6400), 5500);
  assert.equal(composedAtMs(echo, 7, 5400), 5400);
});

test('a message of a host that does not state its time gets no echo', () => {
  const older = {...message, sentAtMs: undefined};
  const datagram = Buffer.concat([encodeGossip(older), encodeEcho(undefined)]);
  const decoded = decodeGossip(datagram);
  assert.ok(decoded);
  const peers = new PeerTable('b');
  peers.receive(decoded, 100);
  assert.equal(echoFor(peers.all[0], 200), undefined);
});

test('a message without an echo, or with that of an earlier start, tells no time', () => {
  assert.equal(composedAtMs(passOn(undefined).echo, 7, 6400), -Infinity);
  const echo = {incarnation: 6, sentAtMs: 5000, heldMs: 100};
  assert.equal(composedAtMs(passOn(echo).echo, 7, 6400), -Infinity);
});
