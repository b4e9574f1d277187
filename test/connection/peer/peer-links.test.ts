import assert from 'node:assert/strict';
import {once} from 'node:events';
import {test} from 'node:test';
import {status} from '@grpc/grpc-js';
import {
  encodeLinkMessage,
  maxMessageBytes,
  protocolVersion,
} from '../../../src/connection/peer/peer-codec.js';
import {FailureError} from '../../../src/process/errors/catalogue.js';
import {loadPeerCredentials} from '../../../src/connection/peer/peer-credentials.js';
import type {Hello} from '../../../src/process/membership/messages.js';
import {openRaw, startPeer, tlsOf, type TestPeer} from './peers.js';

const valid: Hello = {
  fleet: 'test',
  protocol: protocolVersion,
  id: 'h9',
  zone: 'a',
  region: 'r',
  address: '127.0.0.1:1',
  incarnation: 1,
};
const wanted = {recordsWanted: {stream: 'config', from: 3}};

async function refusals(peer: TestPeer, reason: string): Promise<number> {
  const text = await peer.metrics.render();
  const pattern = new RegExp(
    `guavaseam_link_refusals_total\\{reason="${reason}"\\} (\\d+)`,
  );
  return Number(pattern.exec(text)?.[1] ?? 0);
}

test('messages pass both ways on one link, with the identity from the hello', async t => {
  const a = await startPeer('h1');
  const b = await startPeer('h2');
  t.after(() => Promise.all([a.close(), b.close()]));
  a.links.send({id: '', address: b.address}, wanted);
  const {from, message} = await b.next();
  assert.equal(from.id, 'h1');
  assert.equal(from.address, a.address);
  assert.deepEqual(message.recordsWanted, wanted.recordsWanted);
  // An address where nobody listens shows that the answer takes the open link.
  b.links.send({id: 'h1', address: '127.0.0.1:1'}, wanted);
  assert.equal((await a.next()).from.id, 'h2');
});

const faulty: [string, string, Buffer[]][] = [
  [
    'wrong fleet',
    'fleet',
    [encodeLinkMessage({hello: {...valid, fleet: 'x'}})],
  ],
  [
    'old version',
    'protocol',
    [encodeLinkMessage({hello: {...valid, protocol: 0}})],
  ],
  ['own id', 'identity', [encodeLinkMessage({hello: {...valid, id: 'h1'}})]],
  ['no hello', 'hello', [encodeLinkMessage(wanted)]],
  [
    'second hello',
    'hello',
    [encodeLinkMessage({hello: valid}), encodeLinkMessage({hello: valid})],
  ],
  ['garbage', 'garbage', [Buffer.from('no protobuf at all')]],
  ['empty message', 'garbage', [Buffer.alloc(0)]],
  [
    'over-long name',
    'garbage',
    [encodeLinkMessage({hello: {...valid, id: 'x'.repeat(65)}})],
  ],
  [
    'flood',
    'rate',
    [
      encodeLinkMessage({hello: valid}),
      ...Array<Buffer>(1000).fill(encodeLinkMessage(wanted)),
    ],
  ],
];
for (const [name, reason, messages] of faulty) {
  test(`a link with a fault is refused and counted: ${name}`, async t => {
    const peer = await startPeer('h1');
    t.after(() => peer.close());
    const err = await openRaw(peer.address, messages);
    assert.equal(err.code, status.PERMISSION_DENIED);
    assert.equal(err.details, `link refused: ${reason}`);
    assert.equal(await refusals(peer, reason), 1);
  });
}

test('a message above the bound ends the link (guards against memory exhaustion)', async t => {
  const peer = await startPeer('h1');
  t.after(() => peer.close());
  const err = await openRaw(peer.address, [Buffer.alloc(maxMessageBytes + 1)]);
  assert.equal(err.code, status.RESOURCE_EXHAUSTED);
});

test('mutual TLS accepts hosts whose certificates name them', async t => {
  const a = await startPeer('h1', {tls: tlsOf('h1')});
  const b = await startPeer('h2', {tls: tlsOf('h2')});
  t.after(() => Promise.all([a.close(), b.close()]));
  a.links.send({id: '', address: b.address}, wanted);
  assert.equal((await b.next()).from.id, 'h1');
  b.links.send({id: 'h1', address: ''}, wanted);
  assert.equal((await a.next()).from.id, 'h2');
});

test('a host with a certificate of another host is refused by the server', async t => {
  const forger = await startPeer('h2', {tls: tlsOf('h2'), claimed: 'h7'});
  const peer = await startPeer('h1', {tls: tlsOf('h1')});
  t.after(() => Promise.all([forger.close(), peer.close()]));
  forger.links.send({id: '', address: peer.address}, wanted);
  while ((await refusals(peer, 'identity')) === 0) {
    await new Promise(resolve => setImmediate(resolve));
  }
});

test('a server with a certificate of another host is refused by the client', async t => {
  const forger = await startPeer('h2', {tls: tlsOf('h2'), claimed: 'h7'});
  const peer = await startPeer('h1', {tls: tlsOf('h1')});
  t.after(() => Promise.all([forger.close(), peer.close()]));
  peer.links.send({id: '', address: forger.address}, wanted);
  while ((await refusals(peer, 'identity')) === 0) {
    await new Promise(resolve => setImmediate(resolve));
  }
});

test('hosts without a certificate of the CA get no link', async t => {
  const peer = await startPeer('h1', {tls: tlsOf('h1')});
  const foreign = await startPeer('h1', {tls: tlsOf('h1-foreign')});
  t.after(() => Promise.all([peer.close(), foreign.close()]));
  const {code} = await openRaw(peer.address, [
    encodeLinkMessage({hello: valid}),
  ]);
  assert.equal(code, status.UNAVAILABLE);
  const {Client} = await import('@grpc/grpc-js');
  const {channel} = loadPeerCredentials(tlsOf('h1-foreign'));
  const client = new Client(peer.address, channel, {
    'grpc.ssl_target_name_override': 'guavaseam-peer',
  });
  t.after(() => client.close());
  const call = client.makeBidiStreamRequest(
    '/guavaseam.Peer/Link',
    (bytes: Buffer) => bytes,
    (bytes: Buffer) => bytes,
  );
  call.on('data', () => {});
  const [err] = (await once(call, 'error')) as [{code: number}];
  assert.equal(err.code, status.UNAVAILABLE);
});

test('a message sent just before the end arrives (guards against lost leave messages)', async t => {
  const a = await startPeer('h1');
  const b = await startPeer('h2');
  t.after(() => b.close());
  a.links.send({id: '', address: b.address}, wanted);
  const closed = a.links.close();
  assert.equal((await b.next()).from.id, 'h1');
  a.clock.advance(1000);
  await closed;
  await a.close();
});

test('a mute link is given up and opened anew (guards against stale connections)', async t => {
  const a = await startPeer('h1');
  const b = await startPeer('h2');
  t.after(() => Promise.all([a.close(), b.close()]));
  const to = {id: 'h2', address: b.address};
  a.links.start();
  a.links.send(to, wanted);
  await b.next();
  b.links.send({id: 'h1', address: a.address}, wanted);
  await a.next();
  const opened = async () => {
    const text = await a.metrics.render();
    return /^guavaseam_links_opened_total (\d+)$/m.exec(text)?.[1];
  };
  assert.equal(await opened(), '1');
  a.links.send(to, wanted);
  await b.next();
  a.clock.advance(7000);
  assert.equal(await refusals(a, 'mute'), 1);
  a.links.send(to, wanted);
  await b.next();
  b.links.send({id: 'h1', address: a.address}, wanted);
  await a.next();
  assert.equal(await opened(), '2');
});

test('an unreadable certificate is a typed failure', () => {
  assert.throws(
    () => loadPeerCredentials({...tlsOf('h1'), keyFile: '/nonexistent'}),
    (err: unknown) =>
      err instanceof FailureError &&
      err.failure.kind === 'peer-certificate-unreadable',
  );
});
