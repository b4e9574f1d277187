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
import {feeds, type Feed} from '../../src/connection/store/shared-store.js';
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

/** Lists all numbers in a decoded value, with the names of their fields. */
function* numbersIn(value: unknown, name = ''): Generator<[string, number]> {
  if (typeof value === 'number') yield [name, value];
  if (typeof value !== 'object' || value === null) return;
  for (const [key, child] of Object.entries(value)) {
    yield* numbersIn(child, key);
  }
}

const fieldsOf = (...names: string[]) =>
  fc.record(
    Object.fromEntries(
      names.map(name => [
        name,
        fc.oneof(
          fc.constantFrom('1e400', '-1e400', '-1', '0', '1e300', '1e18', '7'),
          fc.double({noNaN: true, noDefaultInfinity: true}).map(String),
        ),
      ]),
    ),
    {requiredKeys: []},
  );

/** Writes numbers as they stand: JSON allows numbers that are infinite once they are read. */
function writeJson(
  fields: Record<string, string | undefined>,
  others: Record<string, unknown>,
): string {
  const numbers = Object.entries(fields).map(([k, v]) => `"${k}":${v}`);
  const rest = JSON.stringify(others).slice(1);
  return `{${[...numbers, ''].join(',')}${rest}`;
}

// Guards against numbers that never end a sum or a wait, and against durations at which timers fire at once.
test('every number of a record is within its limits', () => {
  const decode = (feed: Feed, key: string, json: string) => {
    const change = decodeRecord(feed, {key, value: Buffer.from(json)});
    for (const [name, number] of numbersIn(change)) {
      const max =
        name.endsWith('Ms') && name !== 'bornMs' ? 2 ** 31 - 1 : 2 ** 53;
      assert.ok(number >= 0 && number <= max, `${name}: ${number}`);
    }
  };
  fc.assert(
    fc.property(
      fieldsOf('timeoutMs', 'targetLatencyMs', 'priority', 'attempts'),
      fieldsOf('priority', 'plainTokens', 'ratePerS', 'burst'),
      fieldsOf('maxHeaderBytes', 'maxBodyBytes', 'headerTimeoutMs'),
      fieldsOf('maxConnections', 'coldPerS'),
      fieldsOf('version'),
      (route, organisation, limits, service, version) => {
        const parts = {
          routes: `[${writeJson(route, {host: 'h', pathPrefix: '/'})}]`,
          tenants: `[${writeJson(organisation, {name: 'o'})}]`,
          services: `[${writeJson(service, {name: 's'})}]`,
          limits: writeJson(limits, {a: 1}),
        };
        decode(
          feeds.orders,
          'config',
          writeJson({...version, ...parts}, {a: 1}),
        );
      },
    ),
    {seed, numRuns: 1000},
  );
  fc.assert(
    fc.property(
      fieldsOf('slots', 'coldRemainingMs', 'born'),
      fieldsOf('durationS'),
      (target, order) => {
        const {service, address, zone, state, version} = validEntry;
        const entry = {service, address, zone, state, version};
        decode(feeds.targets, 'i-1', writeJson(target, entry));
        decode(feeds.orders, 'rollout/s', writeJson(order, {target: 'v2'}));
      },
    ),
    {seed, numRuns: 1000},
  );
});

// Guards against two versions or incarnations that are taken for the same one.
test('a version or time of start that is not an exact number is not used', () => {
  assert.equal(decodeConfiguration({version: 2 ** 60, routes: []}), undefined);
  const change = decodeTargetEntry({...validEntry, born: 2 ** 60});
  assert.ok(change.kind === 'target');
  assert.equal(change.entry?.bornMs, 0);
});

// Guards against offsets that reach into the positions of the next era.
test('a page whose log ends beyond the largest offset is rejected', () => {
  const page = Buffer.alloc(16);
  page.writeBigUInt64BE(2n ** 36n - 1n, 0);
  assert.equal(decodePage(page)?.end, 2 ** 36 - 1);
  page.writeBigUInt64BE(2n ** 36n, 0);
  assert.equal(decodePage(page), undefined);
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
