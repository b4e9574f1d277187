import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {
  Client,
  Server,
  ServerCredentials,
  credentials,
  status,
} from '@grpc/grpc-js';
import {GrpcPermitTransport} from '../../../src/connection/peer/permit-grpc.js';
import {SystemClock} from '../../../src/process/clock.js';
import {PermitManager} from '../../../src/process/groups/permit-manager.js';
import type {Grant} from '../../../src/request/dispatcher.js';
import {GroupScheduler} from '../../../src/request/scheduler/group-scheduler.js';
import {FakeMembers, PermitFleet} from '../../process/groups/permit-fleet.js';

const ids = ['h1', 'h2', 'h3'];

interface Peer {
  readonly server: Server;
  readonly rejected: string[];
  port: number;
  fleet: string;
  certified: boolean;
}

/** Starts a gRPC server on loopback; `build` adds services before it listens. */
async function listen(t: TestContext, build: (peer: Peer) => void) {
  const server = new Server();
  const peer: Peer = {
    server,
    rejected: [],
    port: 0,
    fleet: 'f',
    certified: true,
  };
  build(peer);
  peer.port = await new Promise<number>((resolve, reject) =>
    server.bindAsync(
      '127.0.0.1:0',
      ServerCredentials.createInsecure(),
      (err, port) => (err ? reject(err) : resolve(port)),
    ),
  );
  t.after(() => server.forceShutdown());
  return peer;
}

test('three hosts share a target over gRPC and survive the end of the owner', async t => {
  const base = new PermitFleet(1);
  base.declare('a', 1, 6, 6);
  const peers = new Map<string, Peer>();
  const nodes = new Map<string, PermitManager>();
  const views = new Map<string, FakeMembers>();
  const clients: Client[] = [];
  for (const id of ids) {
    const members = new FakeMembers(base.member(id, 'a'));
    for (const other of ids) members.set(base.member(other, 'a'));
    views.set(id, members);
    const peer = await listen(t, ({server}) => {
      const byHost = new Map<string, Client>();
      const transport = new GrpcPermitTransport({
        fleet: 'f',
        host: id,
        client: host => {
          let client = byHost.get(host);
          if (!client) {
            const address = `127.0.0.1:${peers.get(host)?.port}`;
            client = new Client(address, credentials.createInsecure());
            byHost.set(host, client);
            clients.push(client);
          }
          return client;
        },
        addService: (definition, implementation) =>
          server.addService(definition, implementation),
        certifies: () => true,
      });
      const node = new PermitManager({
        clock: new SystemClock(),
        members,
        transport,
        config: () => base.config,
        createCore: group =>
          new GroupScheduler({owner: `${id}-${group}`, recovering: true}),
        firstSerial: 1000,
      });
      nodes.set(id, node);
    });
    peers.set(id, peer);
  }
  t.after(() => {
    for (const node of nodes.values()) node.stop();
    for (const client of clients) client.close();
  });
  for (const node of nodes.values()) node.start();

  const {signal} = new AbortController();
  const acquire = (id: string) =>
    (nodes.get(id) as PermitManager).acquire('a/s/0', base.request(), signal);
  const first = await Promise.all(
    ids.flatMap(id => [acquire(id), acquire(id)]),
  );
  assert.equal(new Set(first.map(grant => grant.permitId)).size, 6);
  let seventh: Grant | undefined;
  const more = acquire('h1').then(grant => (seventh = grant));
  const owner = nodes.get('h1')?.followed.get('a/s/0')?.currentOwner as string;
  assert.equal(seventh, undefined);

  const survivors = ids.filter(id => id !== owner);
  const index = ids.indexOf(survivors[0]) * 2;
  nodes.get(owner)?.stop();
  peers.get(owner)?.server.forceShutdown();
  for (const id of survivors) {
    views.get(id)?.set({...base.member(owner, 'a'), state: 'dead'});
  }
  first[index].release({result: 'ok', firstTokenMs: 1, totalMs: 2, tokens: 1});
  if (owner !== 'h1') await more;
  const last = await acquire(survivors[1]);
  assert.equal(last.target.name, 'a0');
});

test('a foreign fleet and a claim for another host are refused', async t => {
  const accepted: string[] = [];
  const peer = await listen(t, current =>
    new GrpcPermitTransport({
      fleet: 'f',
      host: 'h1',
      client: () => undefined,
      addService: (definition, implementation) =>
        current.server.addService(definition, implementation),
      certifies: (_call, host) => host === 'h2',
      onRejected: (_host, reason) => current.rejected.push(reason),
    }).listen(host => {
      accepted.push(host);
      return {frame: () => {}, closed: () => {}};
    }),
  );
  const address = `127.0.0.1:${peer.port}`;
  const client = new Client(address, credentials.createInsecure());
  t.after(() => client.close());
  const attempt = (fleet: string, host: string) =>
    new Promise<string>(resolve => {
      const transport = new GrpcPermitTransport({
        fleet,
        host,
        client: () => client,
        addService: () => {},
        certifies: () => true,
      });
      transport
        .connect('h1', {frame: () => {}, closed: resolve})
        .send({sequence: 1});
    });
  const denied = String(status.PERMISSION_DENIED);
  assert.match(await attempt('other', 'h2'), new RegExp(`^${denied} .*fleet`));
  assert.match(
    await attempt('f', 'h3'),
    new RegExp(`^${denied} .*certificate`),
  );
  assert.deepEqual(accepted, []);
  assert.equal(peer.rejected.length, 2);
});
