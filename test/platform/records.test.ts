import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {decodeConfiguration} from '../../platform/configuration.js';
import {asObject} from '../../platform/json.js';
import {
  decodePage,
  decodeRecord,
  encodeStatus,
  frameRecord,
} from '../../platform/records.js';
import {decodeSettings} from '../../platform/settings.js';
import {feeds} from '../../src/connection/store/shared-store.js';
import {FailureError} from '../../src/process/errors/catalogue.js';
import {
  requestKinds,
  rolloutStates,
} from '../../src/version/deployment/types.js';

const seed = 20261204;

const entry = {
  service: 's',
  address: '10.0.0.9:8080',
  zone: 'z',
  version: 'v1',
  slots: 11,
  state: 'ready',
  coldRemainingMs: 0,
  born: 1,
};

function target(value: unknown) {
  const bytes = Buffer.from(JSON.stringify(value));
  return decodeRecord(feeds.targets, {key: 'i-1', value: bytes});
}

test('an entry of another writer names no target', () => {
  assert.equal(target(entry).kind, 'target');
  for (const spoilt of [
    {...entry, service: undefined},
    {...entry, address: 'nowhere'},
    {...entry, zone: 7},
    {...entry, slots: '11'},
    {...entry, state: 'resting'},
    {...entry, version: undefined},
    [entry],
    'text',
  ]) {
    assert.equal(target(spoilt).kind, 'unreadable', JSON.stringify(spoilt));
  }
});

test('bytes that cannot be read are left out without an exception', () => {
  fc.assert(
    fc.property(
      fc.constantFrom(...Object.values(feeds)),
      fc.string({minLength: 1}),
      fc.uint8Array({minLength: 1}),
      (feed, key, bytes) => {
        const change = decodeRecord(feed, {key, value: Buffer.from(bytes)});
        assert.equal(typeof change.kind, 'string');
      },
    ),
    {seed, numRuns: 500},
  );
});

test('any JSON in place of a configuration is decoded or refused, never thrown on', () => {
  fc.assert(
    fc.property(fc.jsonValue(), fc.jsonValue(), (routes, value) => {
      decodeConfiguration({
        version: 1,
        routes,
        services: value,
        tenants: value,
      });
      const fields = asObject(value);
      if (fields) decodeConfiguration(fields);
    }),
    {seed, numRuns: 500},
  );
});

test('a route keeps what its names on the wire hide', () => {
  const decoded = decodeConfiguration({
    version: 7,
    routes: [
      {
        name: 'r',
        host: 'Example.Test',
        pathPrefix: '/a/',
        kind: 'streaming',
        timeoutMs: 12_000,
        targetLatencyMs: 400,
        priority: 1,
        trafficSplit: [
          {service: 'a', weight: 90},
          {service: 'b', weight: 0},
        ],
        attempts: 2,
        streamResume: true,
      },
      {host: 'h', pathPrefix: '/b/', service: 'a', kind: 'novel'},
    ],
    tenants: [{name: 'o', apiKeys: ['k'], unit: 'token_stream', ratePerS: 5}],
  });
  const [first, second] = decoded?.routes ?? [];
  assert.equal(first.host, 'example.test');
  assert.equal(first.kind, requestKinds.stream);
  assert.deepEqual(first.services, [{service: 'a', weight: 90}]);
  assert.equal(first.maxRuns, 2);
  // A kind that is not known must not be repeated.
  assert.equal(second.kind, requestKinds.nonIdempotent);
  assert.equal(decoded?.organisations[0].countsTokens, true);
});

test('records survive framing, and a page that ends early is refused', () => {
  const records = [
    {key: 'a', value: Buffer.from('one')},
    {key: 'b', value: Buffer.alloc(0)},
  ];
  const head = Buffer.alloc(16);
  head.writeBigUInt64BE(9n, 0);
  const page = Buffer.concat([head, ...records.map(frameRecord)]);
  const decoded = decodePage(page);
  assert.equal(decoded?.end, 9);
  assert.deepEqual(
    decoded?.records.map(({key, value}) => [key, value.toString()]),
    [
      ['a', 'one'],
      ['b', ''],
    ],
  );
  for (let bytes = 17; bytes < page.length - 3; bytes++) {
    const cut = decodePage(page.subarray(0, bytes));
    assert.ok(cut === undefined || cut.records.length < records.length);
  }
});

test('a rollout status reads back as it was written', () => {
  for (const state of Object.values(rolloutStates)) {
    const status = {service: 's', version: 'v2', state};
    const change = decodeRecord(feeds.statuses, encodeStatus(status));
    assert.deepEqual(change, {kind: 'rollout-status', service: 's', status});
  }
});

test('a removed evacuation and a removed target are told from new ones', () => {
  const value = Buffer.alloc(0);
  assert.deepEqual(decodeRecord(feeds.orders, {key: 'evacuate/z', value}), {
    kind: 'evacuation',
    zone: 'z',
    active: false,
  });
  assert.deepEqual(decodeRecord(feeds.targets, {key: 'i', value}), {
    kind: 'target',
    id: 'i',
  });
});

test('settings name the key that is missing', () => {
  assert.throws(
    () => decodeSettings({ip: '10.0.0.1', zone: 'z'}),
    (err: unknown) =>
      err instanceof FailureError &&
      err.failure.kind === 'settings-missing-key' &&
      err.failure.path === 'nodeName',
  );
});
