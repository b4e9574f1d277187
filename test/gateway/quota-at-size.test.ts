import assert from 'node:assert/strict';
import {test} from 'node:test';
import {gossipIntervalMs} from '../../src/process/fleet/gossip-interval.js';
import {
  QuotaBuckets,
  type Quota,
} from '../../src/process/limits/quota-buckets.js';
import {createRandom} from '../../src/process/random.js';

/** Tolerance of the users' deployments, in tokens. */
const tolerance = {quotaWindowMs: 8000, quotaOver: 0.1, quotaSlack: 140_000};
/** Delay from the use of a quota to its report and of that message, in milliseconds. */
const transitMs = 50;

interface Use {
  readonly ms: number;
  readonly units: number;
}

/**
 * Sends requests of one organisation to random hosts. Most are small, few are as large as half a second of its quota.
 *
 * @param hosts - Number of hosts.
 * @param quota - Quota of the organisation, in tokens.
 * @param demand - Requested tokens as a multiple of the quota, by time in milliseconds.
 * @returns Requests that were admitted, and those that were refused.
 */
function play(
  hosts: number,
  quota: Quota,
  demand: (ms: number) => number,
  seed: number,
): {readonly admitted: Use[]; readonly refused: Use[]} {
  const random = createRandom(seed);
  const intervalMs = gossipIntervalMs(hosts - 1);
  const all = Array.from(
    {length: hosts},
    () => new QuotaBuckets(0, 1, true, tolerance),
  );
  for (const buckets of all) {
    buckets.setShare(hosts, hosts, intervalMs / 2 + transitMs);
  }
  const offsetsMs = all.map(() => random() * intervalMs);
  const meanUnits = 6000;
  const admitted: Use[] = [];
  const refused: Use[] = [];
  for (let ms = 0; ms < 20_000; ms += 10) {
    let expected = (demand(ms) * quota.rate * 0.01) / meanUnits;
    for (; expected > random(); expected--) {
      const units = random() < 0.1 ? 30_000 : 3333;
      const buckets = all[Math.floor(random() * hosts)];
      const isAdmitted = buckets.take('o', quota, units, ms) === 0;
      (isAdmitted ? admitted : refused).push({ms, units});
    }
    for (const [i, from] of all.entries()) {
      const sinceMs = (ms + offsetsMs[i]) % intervalMs;
      if (sinceMs >= 10) continue;
      const totals = Object.fromEntries(from.totals);
      for (const to of all) {
        if (to === from) continue;
        to.recordPeerUsage(`h${i}`, 1, totals, () => quota, ms);
      }
    }
  }
  return {admitted, refused};
}

const small = {rate: 60_000, burst: 60_000};
const sizes = [9, 81, 195];

// Guards against refusals of an organisation that stays far below its quota: on 195 hosts a report covers 1.8 s, and one
// large request in a report was taken for a rate at which all other hosts use the quota.
test('an organisation at half of its quota is refused no more often on many hosts than on one', () => {
  const refusedShare = (hosts: number, seed: number) => {
    const {admitted, refused} = play(hosts, small, () => 0.5, seed);
    return refused.length / (admitted.length + refused.length);
  };
  for (let seed = 1; seed <= 3; seed++) {
    const exact = refusedShare(1, seed);
    for (const hosts of sizes) {
      const share = refusedShare(hosts, seed);
      assert.ok(share <= exact + 0.01, `${share} on ${hosts} hosts, ${exact}`);
    }
  }
});

// Guards against an exceeded quota at the same sizes, when an organisation suddenly sends many times as much as before.
test('an organisation that suddenly sends four times its quota stays within the tolerance', () => {
  const large = {rate: 400_000, burst: 400_000};
  for (const quota of [small, large]) {
    const limit = quota.rate * 8 + quota.burst;
    const most = limit * (1 + tolerance.quotaOver) + tolerance.quotaSlack;
    for (const hosts of sizes) {
      const {admitted} = play(hosts, quota, ms => (ms < 6000 ? 0.5 : 4), 3);
      for (let from = 0; from <= 12_000; from += 100) {
        const sum = admitted
          .filter(({ms}) => ms >= from && ms < from + 8000)
          .reduce((total, {units}) => total + units, 0);
        assert.ok(sum <= most, `${sum} of ${most} on ${hosts} hosts`);
      }
    }
  }
});
