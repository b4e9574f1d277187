import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  heldKinds,
  MemoryBudget,
  smallAccountBytes,
  type EvictableKind,
  type HeldKind,
  type MemoryAccount,
} from '../../src/process/memory-budget.js';

const mib = 1024 * 1024;
const noEviction = () => assert.fail('the account is evicted');

/** Opens an account that records its evictions. */
function openRecorded(budget: MemoryBudget) {
  const evicted: EvictableKind[] = [];
  return {account: budget.open(kind => evicted.push(kind)), evicted};
}

// Guards against memory that grows with the number of callers that stop just short of the end of a body.
test('bodies that do not end hold no more than the limit', () => {
  const budget = new MemoryBudget(32 * mib);
  const callers = Array.from({length: 150}, () => openRecorded(budget));
  for (const [index, {account}] of callers.entries()) {
    account.hold(4 * mib - 1, index * 100, 'receiving');
    assert.ok(budget.heldBytes <= 32 * mib);
  }
  assert.ok(budget.evictions > 0);
});

// Guards against a crowd that has filled the budget and keeps every other caller out.
test('a body evicts the one that has held most for longest', () => {
  const budget = new MemoryBudget(16 * mib);
  const [first, second, third] = [4, 6, 4].map((size, index) => {
    const caller = openRecorded(budget);
    assert.ok(caller.account.hold(size * mib, index, 'receiving'));
    return caller;
  });
  const asker = budget.open(noEviction);
  assert.ok(asker.hold(4 * mib, 5000, 'receiving'));
  assert.deepEqual(second.evicted, ['receiving']);
  assert.equal(second.account.heldBytes, 0);
  assert.deepEqual([first.evicted, third.evicted], [[], []]);
});

// Guards against a body that escapes eviction because it sends a byte now and then.
test('sending a little does not protect a body from eviction', () => {
  const budget = new MemoryBudget(8 * mib);
  const slow = openRecorded(budget);
  assert.ok(slow.account.hold(6 * mib, 0, 'receiving'));
  for (let nowMs = 100; nowMs <= 2000; nowMs += 100) {
    assert.ok(slow.account.hold(1, nowMs, 'receiving'));
  }
  assert.ok(budget.open(noEviction).hold(4 * mib, 2000, 'receiving'));
  assert.deepEqual(slow.evicted, ['receiving']);
});

// Guards against bodies that evict each other while they arrive, so that none of them ends.
test('bodies that arrive at once do not evict each other', () => {
  const budget = new MemoryBudget(16 * mib);
  const accounts = Array.from({length: 10}, () => budget.open(noEviction));
  const complete = accounts.filter((account, index) => {
    for (let part = 0; part < 64; part += 1) {
      if (!account.hold(mib / 16, index + part, 'receiving')) {
        account.close();
        return false;
      }
    }
    account.completeBody(index + 64);
    return true;
  });
  assert.equal(complete.length, 3);
});

// Guards against a request that is being served and loses its body, which a retry needs.
test('complete bodies are never evicted, and small bodies still fit beside them', () => {
  const budget = new MemoryBudget(16 * mib);
  const large = Array.from({length: 8}, () => budget.open(noEviction));
  for (const account of large) {
    if (account.hold(4 * mib, 0, 'receiving')) account.completeBody(0);
  }
  assert.ok(!budget.open(noEviction).hold(4 * mib, 60_000, 'receiving'));
  for (let count = 0; count < 100; count += 1) {
    const small = budget.open(noEviction);
    assert.ok(small.hold(smallAccountBytes, 60_000, 'receiving'));
  }
});

// Guards against a response that is cut off although its caller reads, and against one that is kept for ever.
test('responses are evicted only after their caller has stopped reading', () => {
  const budget = new MemoryBudget(8 * mib);
  const reading = budget.open(noEviction);
  const stopped = openRecorded(budget);
  assert.ok(reading.hold(3 * mib, 0, 'responding'));
  assert.ok(stopped.account.hold(3 * mib, 0, 'responding'));
  assert.ok(!budget.open(noEviction).hold(2 * mib, 4000, 'receiving'));
  reading.release(1, 4000, 'responding');
  assert.ok(budget.open(noEviction).hold(2 * mib, 6000, 'receiving'));
  assert.deepEqual(stopped.evicted, ['responding']);
});

// Guards against a single legal request that is refused although nothing else is open.
test('a body of the largest size fits when nothing else is held', () => {
  const budget = new MemoryBudget(10 * mib);
  const account = budget.open(noEviction);
  assert.ok(account.hold(budget.maxBodyBytes, 0, 'receiving'));
  assert.ok(!account.hold(1, 0, 'receiving'));
  account.close();
  assert.equal(budget.heldBytes, 0);
});

// Guards against bytes that stay counted after they are freed, or are freed twice, so that the bound drifts.
test('the sum of the accounts is what is held, whatever the order of events', () => {
  const step = fc.record({
    index: fc.nat(5),
    action: fc.constantFrom('hold', 'hold', 'release', 'complete', 'close'),
    bytes: fc.oneof(fc.nat(400), fc.nat(40_000)),
    kind: fc.constantFrom(...(Object.keys(heldKinds) as HeldKind[])),
    laterMs: fc.nat(3000),
  });
  fc.assert(
    fc.property(fc.array(step, {maxLength: 200}), steps => {
      const budget = new MemoryBudget(100_000);
      const accounts: MemoryAccount[] = [];
      const open = () => budget.open(() => {});
      for (let index = 0; index <= 5; index += 1) accounts.push(open());
      let nowMs = 0;
      for (const {index, action, bytes, kind, laterMs} of steps) {
        nowMs += laterMs;
        const account = accounts[index];
        if (action === 'hold') {
          const before = account.heldBytes;
          const isHeld = account.hold(bytes, nowMs, kind);
          assert.equal(account.heldBytes, before + (isHeld ? bytes : 0));
        } else if (action === 'release') account.release(bytes, nowMs, kind);
        else if (action === 'complete') account.completeBody(nowMs);
        else {
          account.close();
          assert.equal(account.heldBytes, 0);
          accounts[index] = open();
        }
        const held = accounts.map(each => each.heldBytes);
        assert.ok(held.every(each => each >= 0));
        assert.equal(
          held.reduce((sum, each) => sum + each, 0),
          budget.heldBytes,
        );
        assert.ok(budget.heldBytes <= budget.limitBytes);
      }
      for (const account of accounts) account.close();
      assert.equal(budget.heldBytes, 0);
    }),
    {seed: 20261206, numRuns: 500},
  );
});
