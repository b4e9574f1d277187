import assert from 'node:assert/strict';
import {createHash} from 'node:crypto';
import {test} from 'node:test';
import fc from 'fast-check';
import {FailureError} from '../../src/process/errors/catalogue.js';
import {admit} from '../../src/request/admission.js';
import {getConfigIndex} from '../../src/request/config-index.js';
import {backoffMs} from '../../src/request/backoff.js';
import {CostEstimator} from '../../src/request/cost-estimator.js';
import {readIdempotencyKey} from '../../src/request/idempotency-key.js';
import {loadPrefixHasher} from '../../src/request/prefix-hashes.js';
import {readCompletion} from '../../src/request/completion-request.js';
import {TokenBucketRetryBudget} from '../../src/request/retry-budget.js';
import {SseSplitter} from '../../src/request/sse-splitter.js';
import {
  emptyConfig,
  foldRecord,
  type ConfigRecord,
} from '../../src/version/config-state.js';
import {authorization, put, token} from './fixtures.js';

const seed = 20260101;

test('splitting a stream at any chunk boundary neither changes nor miscounts it', () => {
  const line = fc.constantFrom('data: x', ': ping', 'event: e', 'data:');
  const end = fc.constantFrom('\n', '\r\n');
  const part = fc.tuple(fc.array(line, {minLength: 1, maxLength: 3}), end);
  fc.assert(
    fc.property(
      fc.array(part, {maxLength: 8}),
      fc.array(fc.nat(200)),
      (events, cuts) => {
        const text = events
          .map(([lines, eol]) => lines.map(l => l + eol).join('') + eol)
          .join('');
        const counted = events.filter(([lines]) =>
          lines.some(l => !l.startsWith(':')),
        ).length;
        const bytes = Buffer.from(text);
        const splitter = new SseSplitter(1 << 20);
        const at = [...cuts.filter(c => c < bytes.length), bytes.length].sort(
          (a, b) => a - b,
        );
        let from = 0;
        let out = '';
        for (const to of at) {
          out += splitter.push(bytes.subarray(from, to)).toString();
          from = to;
        }
        assert.equal(out, text);
        assert.equal(splitter.events, counted);
      },
    ),
    {seed},
  );
});

test('an event over the size limit is released in parts, and the stream is not resumable inside it', () => {
  const splitter = new SseSplitter(8);
  assert.equal(splitter.push(Buffer.from('data: 123456')).length, 12);
  assert.equal(splitter.aligned, false);
  assert.equal(splitter.push(Buffer.from('\n\n')).length, 2);
  assert.equal(splitter.aligned, true);
  assert.equal(splitter.events, 1);
});

test('idempotency keys are parsed as quoted strings and bare tokens, and malformed ones are refused', () => {
  assert.equal(readIdempotencyKey(undefined), undefined);
  assert.equal(readIdempotencyKey(['"a \\"b\\""']), 'a "b"');
  assert.equal(readIdempotencyKey(['abc-1']), 'abc-1');
  assert.equal(readIdempotencyKey([`"${'x'.repeat(255)}"`])?.length, 255);
  const bad = ['', '""', '"a', 'a b', 'a,b', 'é', 'x'.repeat(256), '"\\a"'];
  for (const value of [...bad.map(v => [v]), ['a', 'a']]) {
    assert.throws(() => readIdempotencyKey(value), FailureError, value[0]);
  }
});

test('a prefix hash depends on all earlier blocks and on the service', async () => {
  const hash = await loadPrefixHasher();
  const prompt = 'a'.repeat(256) + 'b'.repeat(256) + 'rest';
  const [first, second, ...more] = hash('s', prompt);
  assert.equal(more.length, 0);
  assert.equal(hash('s', 'a'.repeat(300))[0], first);
  assert.notEqual(hash('s', 'c'.repeat(256) + 'b'.repeat(256))[1], second);
  assert.notEqual(hash('other', prompt)[0], first);
  assert.equal(hash('s', 'x'.repeat(100_000)).length, 16);
});

test('the cost estimate follows recent completions and does not exceed max_tokens', () => {
  const costs = new CostEstimator({defaultTokens: 256});
  assert.equal(costs.estimate('o', 's'), 256);
  for (let i = 0; i < 50; i++) costs.record('o', 's', 20);
  const low = costs.estimate('o', 's');
  assert.ok(low >= 20 && low <= 25, String(low));
  for (let i = 0; i < 400; i++) costs.record('o', 's', 1000);
  const high = costs.estimate('o', 's');
  assert.ok(high >= 1000 && high <= 1250, String(high));
  assert.equal(costs.estimate('o', 's', 64), 64);
  assert.equal(costs.estimate('other', 's'), 256);
});

test('retries are limited to a share of successes', () => {
  const budget = new TokenBucketRetryBudget({share: 0.5, capacity: 1});
  assert.ok(budget.take());
  assert.ok(!budget.take());
  budget.recordSuccess();
  assert.ok(!budget.take());
  budget.recordSuccess();
  assert.ok(budget.take());
});

test('backoff doubles up to a maximum, with jitter over the whole range', () => {
  assert.equal(
    backoffMs(1, () => 0),
    0,
  );
  assert.equal(
    backoffMs(3, () => 0.5),
    20,
  );
  assert.equal(
    backoffMs(50, () => 1),
    1000,
  );
});

test('a body that is not a completion is refused before dispatch', () => {
  for (const text of ['', '[]', 'null', '{"model":1}', '{"model":']) {
    assert.throws(() => readCompletion(Buffer.from(text)), FailureError, text);
  }
});

function configOf(records: unknown[]) {
  return records.reduce<typeof emptyConfig>(
    (state, record, i) => foldRecord(state, record as ConfigRecord, i).state,
    emptyConfig,
  );
}

test('a revoked key stops working with the configuration that revokes it', () => {
  const sha256 = createHash('sha256').update(token).digest('hex');
  const keys = [{id: 'k', sha256, tier: 1}];
  const before = configOf([put('organisation', 'o', {keys, weight: 1})]);
  assert.equal(getConfigIndex(before).findKey(token)?.key.tier, 1);
  assert.equal(getConfigIndex(before).findKey('other'), undefined);
  assert.equal(getConfigIndex(before), getConfigIndex({...before, offset: 9}));
  const record = {
    ...put('organisation', 'o', {keys: [], weight: 1}),
    writeId: 'w2',
    baseGeneration: 1,
  } as unknown as ConfigRecord;
  const after = foldRecord(before, record, 1).state;
  assert.equal(getConfigIndex(after).findKey(token), undefined);
});

test('dot segments cannot make a non-idempotent request look idempotent', () => {
  const sha256 = createHash('sha256').update(token).digest('hex');
  const state = configOf([
    put('organisation', 'o', {keys: [{id: 'k', sha256, tier: 0}], weight: 1}),
    put('service', 's', {
      type: 'plain',
      version: 'v1',
      defaultTimeoutMs: 1000,
      firstTokenTargetMs: 500,
      tokenTargetMs: 50,
      routes: [{pathPrefix: '/lookup', idempotent: true}],
    }),
  ]);
  const head = (url: string) => ({
    method: 'POST',
    url,
    headers: {authorization: [authorization]},
  });
  assert.ok(
    admit(state, head('/services/s/lookup/a..b'), undefined).idempotent,
  );
  for (const path of ['/lookup/../dispatch', '/lookup/%2e%2E/dispatch']) {
    assert.throws(
      () => admit(state, head(`/services/s${path}`), undefined),
      FailureError,
    );
  }
});
