import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  decodeStatements,
  encodeStatements,
} from '../../src/process/fleet/statement-codec.js';
import {outcomes} from '../../src/process/pool/pooled-target.js';
import {Dispatcher} from '../../src/request/gateway/dispatcher.js';
import {createRequest, LimitedHosts} from './limited-hosts.js';

const seed = 20261205;
const periodMs = 4000;
/** Time after which hosts that got a response with a limit have to keep it, in milliseconds. */
const noticeMs = 500;

/** Requests that a target may get in one period. */
const allowed = (limit: number) => 1.5 * limit * (periodMs / 1000) + 5;

const noop = () => {};

function names(count: number): string[] {
  return Array.from({length: count}, (_, i) => `h${i}`);
}

// Guards against targets that get far more requests than they have stated: each host sends as if it were alone, or no
// host keeps the limit at all.
test('hosts that receive no messages from each other keep the limit that a target states', () => {
  fc.assert(
    fc.property(
      fc.integer({min: 1, max: 40}),
      fc.double({min: 0.1, max: 20, noNaN: true}),
      (hostCount, limit) => {
        const fleet = new LimitedHosts(names(hostCount), 2, () => limit);
        fleet.run(10_000);
        for (const target of ['i-0', 'i-1']) {
          const counted = fleet.arrivals.filter(({target: id, host, atMs}) => {
            const toldAtMs = fleet.toldAtMs.get(`${host} ${id}`) ?? Infinity;
            return id === target && atMs >= toldAtMs + noticeMs;
          });
          for (let fromMs = 0; fromMs <= 6000; fromMs += 100) {
            const count = counted.filter(
              ({atMs}) => atMs >= fromMs && atMs < fromMs + periodMs,
            ).length;
            assert.ok(count <= allowed(limit), `${count} at ${fromMs}`);
          }
        }
      },
    ),
    {seed, numRuns: 25},
  );
});

// Guards against a limit of the hosts that is much stricter than that of the target.
test('hosts use most of the rate that a target states', () => {
  for (const [hostCount, limit] of [
    [9, 2.7],
    [7, 6.1],
    [40, 1],
    [1, 3.4],
  ]) {
    const fleet = new LimitedHosts(names(hostCount), 1, () => limit);
    fleet.run(13_000);
    const count = fleet.count('i-0', 5000, 8000);
    assert.ok(count >= 0.85 * limit * 8, `${hostCount} hosts: ${count}`);
  }
});

// Guards against targets that stay limited after they have recovered, also for hosts that send nothing to them.
test('a target gets more requests again once it states no limit any more', () => {
  const fleet = new LimitedHosts(names(9), 1, ms =>
    ms < 6000 ? 1 : undefined,
  );
  fleet.run(6000);
  assert.ok(fleet.count('i-0', 2000, periodMs) <= allowed(1));
  fleet.run(6000);
  assert.ok(fleet.count('i-0', 8000, periodMs) > 10 * allowed(1));
});

// Guards against a restarted host that sends as if no target had stated a limit, and against hosts that never learn of the
// end of a limit because they send nothing to the target.
test('hosts learn from each other of limits and of their end', () => {
  const fleet = new LimitedHosts(names(9), 1, ms =>
    ms < 8000 ? 1 : undefined,
  );
  fleet.idle.add('h8');
  const exchange = () => {
    const nowMs = fleet.clock.nowMs();
    if (nowMs % 160 !== 0) return;
    for (const [from, sender] of fleet.pools) {
      const reports = decodeStatements(
        JSON.parse(
          JSON.stringify(encodeStatements(sender.reportStatements()) ?? null),
        ),
      );
      for (const pool of fleet.pools.values()) {
        if (pool !== sender) pool.applyStatements(from, reports, nowMs - 5);
      }
    }
  };
  fleet.run(4000, exchange);
  fleet.start('h0');
  fleet.start('h8');
  // The first message of another host, before it has an echo of a message by which it can be dated.
  for (const host of ['h0', 'h8']) {
    const reports = fleet.pools.get('h1')?.reportStatements() ?? [];
    fleet.pools.get(host)?.applyStatements('h1', reports, -Infinity);
  }
  fleet.idle.delete('h8');
  fleet.run(4000, exchange);
  assert.ok(fleet.count('i-0', 4000, periodMs) <= allowed(1));
  fleet.run(8000, exchange);
  const last = new Set(
    fleet.arrivals.filter(({atMs}) => atMs > 12_000).map(({host}) => host),
  );
  assert.equal(last.size, 9);
});

// Guards against callers that are asked to come back long before limited targets have room for them.
test('the time to come back takes the limits of the targets into account', () => {
  const backlogMs = (limit?: number) => {
    const fleet = new LimitedHosts(['h0'], 2, () => limit);
    fleet.run(1000);
    const pool = fleet.pools.get('h0');
    assert.ok(pool);
    const dispatcher = new Dispatcher(pool, fleet.clock);
    for (let i = 0; i < 28; i++) {
      const nowMs = fleet.clock.nowMs();
      const slotRequest = {...createRequest(nowMs), untilMs: nowMs + 9000};
      dispatcher.requestSlot({...slotRequest, costMs: 500}, noop, noop);
    }
    assert.ok(dispatcher.waiting >= 20);
    return dispatcher.backlogMs('s') / dispatcher.waiting;
  };
  // Eight slots that are occupied for 500 ms each; two requests a second.
  assert.ok(Math.abs(backlogMs() - 500 / 8) < 1);
  assert.ok(Math.abs(backlogMs(1) - 500) < 1);
});

// Guards against short requests that use up the rate of a limited target, so that long ones fill the slots of the others.
// Load: a mix of short and long responses, one target with a limit and free slots, one with slots that barely suffice.
test('a target that states a limit gets the requests that occupy a slot for longest', () => {
  const fleet = new LimitedHosts(['h0'], 2, () => 2);
  const {clock} = fleet;
  const pool = fleet.pools.get('h0');
  assert.ok(pool);
  const limited = pool.takeSlot(createRequest(0), 0);
  assert.ok(typeof limited !== 'string');
  pool.release(limited, outcomes.answered, 0);
  pool.recordStatement(limited, {limitPerSecond: 2, leaving: false}, 0);
  const counts = {longAtLimited: 0, atLimited: 0, all: 0, refused: 0};
  const send = (costMs: number) => {
    const nowMs = clock.nowMs();
    const target = pool.takeSlot({...createRequest(nowMs), costMs}, nowMs);
    counts.all++;
    if (typeof target === 'string') {
      counts.refused++;
      return;
    }
    if (target === limited) counts.atLimited++;
    if (target === limited && costMs > 1000) counts.longAtLimited++;
    clock.after(costMs, () => pool.release(target, outcomes.answered, 0));
  };
  for (let ms = 0; ms < 30_000; ms += 20) {
    if (ms % 160 === 0) send(300);
    if (ms % 340 === 0) send(1500);
    clock.advance(20);
  }
  assert.ok(
    counts.longAtLimited > 0.85 * counts.atLimited,
    JSON.stringify(counts),
  );
  assert.ok(counts.refused < 0.03 * counts.all, JSON.stringify(counts));
});
