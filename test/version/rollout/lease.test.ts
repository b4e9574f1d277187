import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  foldLease,
  LeaseClock,
  type Lease,
  type LeaseRecord,
  type LeaseTable,
} from '../../../src/version/rollout/lease.js';

function write(changes: Partial<LeaseRecord>): LeaseRecord {
  return {
    writeId: 'w',
    lease: 'l',
    holder: 'a',
    op: 'acquire',
    after: -1,
    ...changes,
  };
}

const held: LeaseTable = foldLease(new Map(), write({}), 0);
const lease = held.get('l') as Lease;

test('if two hosts acquire a free lease, the first record in the log wins', () => {
  const raced = foldLease(held, write({holder: 'b'}), 1);
  assert.equal(raced.get('l')?.holder, 'a');
  const renewed = foldLease(held, write({op: 'renew', after: 0}), 1);
  const late = foldLease(renewed, write({holder: 'b', after: 0}), 2);
  assert.equal(late.get('l')?.holder, 'a', 'a renewal came first');
  assert.equal(late.get('l')?.fencing, 0, 'a renewal keeps the fencing number');
  const taken = foldLease(held, write({holder: 'b', after: 0}), 1);
  const tooLate = foldLease(taken, write({op: 'renew', after: 0}), 2);
  assert.deepEqual(tooLate.get('l'), {
    holder: 'b',
    fencing: 1,
    last: 1,
    released: false,
  });
});

test('the holder counts the lease from sending the append, other hosts from reading it', () => {
  const [holder, other] = [new LeaseClock('a'), new LeaseClock('b')];
  holder.recordSent('w', 1000);
  holder.read(write({}), lease, 4000);
  other.read(write({}), lease, 5000);
  assert.equal(holder.holds('l', 10_999), true);
  assert.equal(
    holder.holds('l', 11_000),
    false,
    'expired, for example during a pause',
  );
  assert.equal(other.freeFor('l', lease, 16_999), -1);
  assert.equal(other.freeFor('l', lease, 17_000), 0);
});

test('a host that reads a lease for the first time waits for its full duration', () => {
  const newReader = new LeaseClock('b');
  assert.equal(newReader.freeFor('l', lease, 50_000), -12_000);
});

test('a host may not act on a lease record from before its restart', () => {
  const restarted = new LeaseClock('a');
  restarted.read(write({}), lease, 0);
  assert.equal(restarted.holds('l', 1), false);
});
