import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FailureError} from '../../../src/process/errors/catalogue.js';
import type {ClaimEntry} from '../../../src/version/claims/claim-ledger.js';
import {LocalClaimSubmitter} from '../../../src/version/claims/claim-submitter.js';
import {
  AttemptStatusSource,
  LogClaimGate,
  type AttemptStatus,
} from '../../../src/version/claims/log-claim-gate.js';
import {ManualClock} from '../../../stand-ins/manual-clock.js';
import {SharedLog, TestLog, type AppendFault} from '../test-log.js';

const hostCount = 4;
const keyCount = 12;
const requestCount = 300;
const retentionMs = 3_600_000;

/** Creates a reproducible generator of numbers from 0 to 1 (linear congruential). */
function seeded(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
    return state / 2 ** 32;
  };
}

/** Queries the gates of the same run; 10 % of the queries fail. */
class GateStatusSource extends AttemptStatusSource {
  constructor(
    private readonly gates: Map<string, LogClaimGate>,
    private readonly random: () => number,
  ) {
    super();
  }

  override async getStatus(holder: ClaimEntry): Promise<AttemptStatus> {
    await Promise.resolve();
    const gate = this.gates.get(holder.host.split('/')[0]);
    if (!gate || this.random() < 0.1) return {kind: 'unknown'};
    return gate.getAttemptStatus(holder);
  }
}

/** Runs hosts that crash and claim the same keys in a log that loses, delays and drops appends. */
async function run(seed: number) {
  const random = seeded(seed);
  const clock = new ManualClock();
  const shared = new SharedLog();
  const gates = new Map<string, LogClaimGate>();
  const logs: TestLog[] = [];
  const alive: LocalClaimSubmitter[] = [];
  const executions = new Map<string, number>();
  const executed = new Set<string>();
  const outcomes = new Map<string, number>();
  const wrong: string[] = [];
  let crashes = 0;

  const start = (index: number) => {
    const log = new TestLog(shared);
    log.fault = () => {
      const x = random();
      const fault: AppendFault =
        x < 0.1 ? 'lost' : x < 0.2 ? 'delayed' : x < 0.3 ? 'dropped' : 'none';
      return x > 0.95 ? 'limited' : fault;
    };
    logs[index] = log;
    alive[index] = new LocalClaimSubmitter({
      log,
      clock,
      random,
      ledgerRetentionMs: retentionMs,
      appendsPerSecond: () => 100,
    });
    gates.set(
      `h${index}`,
      new LogClaimGate({
        host: `h${index}`,
        clock,
        submitter: alive[index],
        statusSource: new GateStatusSource(gates, random),
        partitions: 2,
        retentionMs,
      }),
    );
  };
  for (let i = 0; i < hostCount; i++) start(i);

  const count = (kind: string) =>
    outcomes.set(kind, (outcomes.get(kind) ?? 0) + 1);
  const request = async (id: number) => {
    const host = Math.floor(random() * hostCount);
    const gate = gates.get(`h${host}`) as LogClaimGate;
    const key = `o s key${Math.floor(random() * keyCount)}`;
    const requestId = `q${id}`;
    try {
      const result = await gate.claim({
        scopeKey: key,
        requestHash: 'r',
        requestId,
      });
      count(result.kind);
      if (result.kind === 'answered' && !executed.has(key)) {
        wrong.push(`${key} answered without an execution`);
      }
      if (result.kind !== 'granted') return;
      // A host that crashed between read-back and dispatch does not dispatch the request.
      if (gates.get(`h${host}`) !== gate) return;
      if (random() < 0.3) return gate.release(result.token);
      executions.set(key, (executions.get(key) ?? 0) + 1);
      executed.add(key);
      const body = Buffer.from(key);
      gate.finish(
        result.token,
        random() < 0.5 ? {status: 200, headers: {}, body} : undefined,
      );
    } catch (err) {
      if (!(err instanceof FailureError)) throw err;
      count(err.failure.kind === 'refused' ? err.failure.reason : 'other');
    }
  };

  const pending: Promise<void>[] = [];
  for (let id = 0; id < requestCount; id++) {
    pending.push(request(id));
    for (const log of logs) {
      if (random() < 0.03) log.down = !log.down;
      else if (log.down && random() < 0.2) log.down = false;
    }
    if (random() < 0.02) shared.releaseDelayed();
    if (random() < 0.02) {
      const index = Math.floor(random() * hostCount);
      alive[index].stop();
      start(index);
      crashes++;
    }
    for (let i = 0; i < 3; i++) await new Promise(next => setImmediate(next));
    clock.advance(random() * 100);
  }
  let open = true;
  void Promise.all(pending).then(() => (open = false));
  for (const log of logs) log.down = false;
  while (open) {
    await new Promise(next => setImmediate(next));
    clock.advance(50);
  }
  return {executions, outcomes, wrong, crashes};
}

test('no key is executed twice, whichever appends the log loses and whichever host crashes', async () => {
  const total = new Map<string, number>();
  let executed = 0;
  let crashes = 0;
  for (let seed = 1; seed <= 12; seed++) {
    const result = await run(seed);
    for (const [key, times] of result.executions) {
      assert.equal(times, 1, `seed ${seed}: ${key} ran ${times} times`);
    }
    assert.deepEqual(result.wrong, [], `seed ${seed}`);
    executed += result.executions.size;
    crashes += result.crashes;
    for (const [kind, n] of result.outcomes)
      total.set(kind, (total.get(kind) ?? 0) + n);
  }
  // Checks that the runs cover all the intended cases.
  assert.ok(executed > 40, `${executed} executions`);
  assert.ok(crashes > 10, `${crashes} crashes`);
  for (const kind of ['granted', 'answered', 'unknown', 'claim-unavailable']) {
    assert.ok((total.get(kind) ?? 0) > 10, `${kind}: ${total.get(kind)}`);
  }
});
