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

const validEntry = {
  service: 's',
  address: '10.0.0.9:8080',
  zone: 'z',
  version: 'v1',
  slots: 11,
  state: 'ready',
  coldRemainingMs: 0,
  born: 1,
};

function decodeTargetEntry(value: unknown) {
  const bytes = Buffer.from(JSON.stringify(value));
  return decodeRecord(feeds.targets, {key: 'i-1', value: bytes});
}

// Other programs write these entries. A malformed one must not become a target that gets requests.
test('a malformed target entry is decoded as unreadable', () => {
  assert.equal(decodeTargetEntry(validEntry).kind, 'target');
  for (const malformed of [
    {...validEntry, service: undefined},
    {...validEntry, address: 'nowhere'},
    {...validEntry, zone: 7},
    {...validEntry, slots: '11'},
    {...validEntry, state: 'resting'},
    {...validEntry, version: undefined},
    [validEntry],
    'text',
  ]) {
    assert.equal(
      decodeTargetEntry(malformed).kind,
      'unreadable',
      JSON.stringify(malformed),
    );
  }
});

// Other programs write to the logs, so a host must be able to decode whatever it reads.
test('arbitrary bytes as a record value do not throw', () => {
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

test('arbitrary JSON as a configuration does not throw', () => {
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

test('wire names of routes and organisations are mapped to the configuration', () => {
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
  // A request of an unknown kind must not be retried.
  assert.equal(second.kind, requestKinds.nonIdempotent);
  assert.equal(decoded?.organisations[0].countsTokens, true);
});

// Guards against serving everybody once the last organisation is removed, or if the organisations cannot be read.
test('a configuration with a list of organisations needs keys, also if it is empty or malformed', () => {
  const needsKeys = (fields: Record<string, unknown>) =>
    decodeConfiguration({version: 1, routes: [], ...fields})?.needsKeys;
  assert.equal(needsKeys({}), false);
  for (const tenants of [[], [{}], null, {}, 'o', [{name: 'o', apiKeys: []}]]) {
    assert.equal(needsKeys({tenants}), true, JSON.stringify(tenants));
  }
});

test('framed records are decoded unchanged, and a truncated page is rejected', () => {
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

test('a rollout status is decoded as it was encoded', () => {
  for (const state of Object.values(rolloutStates)) {
    const status = {service: 's', version: 'v2', state};
    const change = decodeRecord(feeds.statuses, encodeStatus(status));
    assert.deepEqual(change, {kind: 'rollout-status', service: 's', status});
  }
});

test('removals of an evacuation and of a target are decoded as removals', () => {
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

test('invalid settings report the missing key', () => {
  assert.throws(
    () => decodeSettings({ip: '10.0.0.1', zone: 'z'}),
    (err: unknown) =>
      err instanceof FailureError &&
      err.failure.kind === 'settings-missing-key' &&
      err.failure.path === 'nodeName',
  );
});
