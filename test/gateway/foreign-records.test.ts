import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {decodeRecord} from '../../platform/records.js';
import {feeds, type Feed} from '../../src/connection/store/shared-store.js';
import {decodeGossip} from '../../src/process/fleet/gossip-message.js';
import {applyStateCopy} from '../../src/version/deployment/state-copy.js';
import {DeploymentState} from '../../src/version/deployment/deployment-state.js';
import {configuration, sendRequest, startHttpTarget} from './gateway-fakes.js';
import {advanceClock, startWithTargets} from './started-gateway.js';

const entry = {
  service: 's',
  address: '127.0.0.1:9',
  zone: 'z',
  version: 'v1',
  slots: 1000,
  state: 'ready',
  coldRemainingMs: 0,
  born: 1,
};

/** Addresses that the parser of URLs rejects, or that name no port or no single host. */
const invalidAddresses = [
  '127.0.0.1:80800',
  '127.0.0.1:65536',
  '127.0.0.1:0',
  '127.0.0.1:',
  '127.0.0.1',
  '127.0.0.1:80:80',
  '127.0.0.1:8e1',
  '256.0.0.1:80',
  '1.2.3.4.5:80',
  '1.2.3:80',
  '...:80',
  ':80',
  '127.1:80',
  '0x7f.0.0.1:80',
  ' 127.0.0.1:80',
];
/** Ids that cannot be sent in a header. */
const invalidIds = ['i 1', 'i\r\nX-A: 1', 'i\0', 'größe', '\u{1f600}'];
const invalidHostAddresses = ['256.0.0.1', '1.2.3', 'name', '', '\0', '::1'];

function decode(feed: Feed, key: string, value: unknown) {
  return decodeRecord(feed, {key, value: Buffer.from(JSON.stringify(value))});
}

// Guards against an entry that is accepted and ends the host when a connection to it is opened.
test('an entry whose address or id names no target is unreadable', () => {
  assert.equal(decode(feeds.targets, 'i-1', entry).kind, 'target');
  for (const address of invalidAddresses) {
    const {kind} = decode(feeds.targets, 'i-1', {...entry, address});
    assert.equal(kind, 'unreadable', address);
  }
  for (const id of invalidIds) {
    assert.equal(decode(feeds.targets, id, entry).kind, 'unreadable', id);
  }
});

// Guards against the same for the registrations of hosts, whose state is read at their address.
test('a registration whose address names no host is unreadable', () => {
  const zone = 'z';
  assert.equal(decode(feeds.hosts, 'h', {ip: '127.0.0.1', zone}).kind, 'host');
  for (const ip of invalidHostAddresses) {
    const {kind} = decode(feeds.hosts, 'h', {ip, zone});
    assert.equal(kind, 'unreadable', ip);
  }
});

// Guards against taking the name of a property that every object has for a state or kind.
test('a status or kind with the name of a built-in property is not known', () => {
  for (const name of ['constructor', 'toString', '__proto__']) {
    const status = decode(feeds.statuses, 'rollout/s', {
      target: 'v2',
      state: name,
    });
    assert.equal(status.kind, 'unreadable', name);
    const change = decode(feeds.orders, 'config', {
      version: 1,
      routes: [{host: 'h', pathPrefix: '/', kind: name}],
    });
    assert.ok(change.kind === 'configuration');
    assert.equal(change.configuration.routes[0].kind, 'non-idempotent');
  }
});

// Guards against the same entries on the way over hosts that run a version which accepts them.
test('entries that name no target are not taken over from other hosts', () => {
  const row = (id: string, address: string) => [
    ...[1, id, 0, 's', address, 'z', 'v1', 4, 0, 0, 1],
  ];
  const message = (ip: string, changes: unknown[]) =>
    decodeGossip(
      Buffer.from(
        JSON.stringify({
          ...{h: 'h2', a: ip, z: 'z', i: 1, n: 1},
          ...{o: [1, 0, 0, 1], t: [1, 0, 0, 0], c: changes},
        }),
      ),
    );
  const rows = [
    row('i-1', entry.address),
    ...invalidAddresses.map(address => row('i-2', address)),
    ...invalidIds.map(id => row(id, entry.address)),
  ];
  const accepted = message('127.0.0.2', rows)?.feedUpdate.changes ?? [];
  assert.deepEqual(
    accepted.map(({id}) => id),
    ['i-1'],
  );
  for (const ip of invalidHostAddresses) {
    assert.equal(message(ip, rows), undefined, ip);
  }

  const state = new DeploymentState();
  const target = (id: string, address: string) => ({
    ...{id, address, service: 's', zone: 'z', version: 'v1', slots: 4},
    ...{draining: false, coldMs: 0, bornMs: 1},
  });
  const copy = {
    offsets: {orders: 1, targets: 1},
    evacuated: [],
    orders: [],
    statuses: [],
    targets: [
      target('i-1', entry.address),
      ...invalidAddresses.map((address, i) => target(`j-${i}`, address)),
      ...invalidIds.map(id => target(id, entry.address)),
    ],
  };
  applyStateCopy(state, copy, {orders: -1, targets: -1}, 0);
  assert.deepEqual([...state.targets.keys()], ['i-1']);
});

// Guards against serving callers without keys after the state was copied from a host that runs an older version.
test('a copied configuration that does not say whether it needs keys needs them if it has organisations', () => {
  const {needsKeys, ...older} = configuration;
  assert.equal(needsKeys, true);
  for (const organisations of [older.organisations, []]) {
    const state = new DeploymentState();
    const copy = {
      ...{offsets: {orders: 1, targets: 1}, evacuated: [], orders: []},
      ...{statuses: [], targets: []},
      configuration: {...older, organisations},
    };
    applyStateCopy(state, copy, {orders: -1, targets: -1}, 0);
    assert.equal(state.configuration?.needsKeys, organisations.length > 0);
  }
});

/** Values that fit the type of a field, or do not, at the limits of both. */
const fieldValue = fc.oneof(
  fc.constantFrom<unknown>(
    ...[0, -1, 1e308, 2 ** 31, 0.5, '', 'z', '__proto__', 'ready', null, true],
    ...[entry.address, ...invalidAddresses, 's', 'v1', 'v2', [], {}],
  ),
  fc.jsonValue(),
);
const key = fc.constantFrom(
  ...['i-0', 'i-1', '__proto__', 'constructor', ...invalidIds],
);

// Guards against a record that is accepted and ends the host later, in a timer or an event of a socket.
test('a host serves whatever other writers leave in the store', async t => {
  const target = await startHttpTarget((_req, res) => res.end('ran'));
  const {clock, port, store} = await startWithTargets(t, [target]);
  const statusOfRequest = async () => {
    let status: number | undefined;
    void sendRequest(port, '/safe/a').then(received => {
      status = received.status;
    });
    while (status === undefined) await advanceClock(clock, 50);
    return status;
  };
  invalidAddresses.forEach((address, i) =>
    store.put(
      feeds.targets,
      decode(feeds.targets, `j-${i}`, {...entry, address}),
    ),
  );
  for (const id of invalidIds) {
    store.put(feeds.targets, decode(feeds.targets, id, entry));
  }
  for (let i = 0; i < 20; i++) assert.equal(await statusOfRequest(), 200);

  const names = Object.keys(entry) as (keyof typeof entry)[];
  const entries = fc.sample(
    fc.tuple(key, fc.constantFrom(...names), fieldValue),
    {numRuns: 150, seed: 20261205},
  );
  for (const [id, name, value] of entries) {
    // A record under the target's own id that can be read would replace it.
    const ownId = id === 'i-0' ? 'i-9' : id;
    const changed = {...entry, [name]: value};
    store.put(feeds.targets, decode(feeds.targets, ownId, changed));
  }
  for (const name of ['__proto__', 'constructor', 's', ...invalidIds]) {
    for (const durationS of [0, 1e308, 10]) {
      const order = {service: name, target: 'v2', durationS};
      store.put(feeds.orders, decode(feeds.orders, `rollout/${name}`, order));
    }
    store.put(feeds.orders, decode(feeds.orders, `evacuate/${name}`, {}));
    for (const state of ['running', 'completed', 'constructor']) {
      const status = {target: 'v2', state};
      const statusKey = `rollout/${name}`;
      store.put(feeds.statuses, decode(feeds.statuses, statusKey, status));
    }
    store.put(feeds.hosts, decode(feeds.hosts, name, {ip: name, zone: name}));
  }
  // Other entries are valid although nothing listens at their addresses, so only some requests are served.
  const statuses = new Set<number>();
  for (let i = 0; i < 60; i++) statuses.add(await statusOfRequest());
  assert.ok(statuses.has(200), [...statuses].join());
});
