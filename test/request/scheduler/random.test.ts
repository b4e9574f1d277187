import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {GroupScheduler} from '../../../src/request/scheduler/group-scheduler.js';
import type {Decision} from '../../../src/request/scheduler/types.js';
import {outcome, request, view} from './helpers.js';

const results = [
  'ok',
  'not-started',
  'busy',
  'failed',
  'broken',
  'cancelled',
  'crashed',
] as const;
const step = fc.record({
  op: fc.constantFrom(
    ...['offer', 'offer', 'offer', 'complete', 'complete', 'progress'],
    ...['tick', 'cancel', 'targets', 'share', 'caps', 'report', 'cache'],
  ),
  a: fc.nat(1000),
  b: fc.nat(1000),
  idempotent: fc.boolean(),
  passMs: fc.nat(400),
});

/** Checks the scheduler's decisions against a plain record of waiting and running requests. */
class Model {
  readonly waiting = new Set<string>();
  readonly running = new Map<string, {requestId: string; target: string}>();
  readonly idempotent = new Map<string, boolean>();
  private readonly preempted = new Set<string>();
  unusable = '';

  check(decisions: readonly Decision[]): void {
    for (const one of decisions) {
      if (one.kind === 'grant') {
        assert.ok(this.waiting.delete(one.requestId), 'granted twice');
        assert.ok(!this.running.has(one.permitId), 'permit used twice');
        assert.notEqual(one.target.name, this.unusable);
        const {name} = one.target;
        this.running.set(one.permitId, {
          requestId: one.requestId,
          target: name,
        });
        const count = [...this.running.values()].filter(
          ({target}) => target === name,
        ).length;
        assert.ok(count <= 4, `${count} permits at ${name}`);
      } else if (one.kind === 'refuse') {
        assert.ok(this.waiting.delete(one.requestId), 'refused twice');
      } else {
        assert.ok(this.running.has(one.permitId), 'preempted without a permit');
        assert.ok(this.idempotent.get(one.requestId), 'not idempotent');
        assert.ok(!this.preempted.has(one.permitId), 'preempted twice');
        this.preempted.add(one.permitId);
      }
    }
  }
}

test('random events never break an invariant or lose a request', () => {
  const names = ['a', 'b', 'c'];
  fc.assert(
    fc.property(fc.array(step, {maxLength: 150}), steps => {
      const scheduler = new GroupScheduler({queueTotal: 8});
      const model = new Model();
      const views = (unusable: string) =>
        names.map(name =>
          view(name, {
            maxConcurrency: 4,
            coldConcurrency: 1,
            usable: name !== unusable,
            version: name === 'c' ? 'v2' : 'v1',
          }),
        );
      let nowMs = 0;
      model.check(scheduler.setTargets(views(''), nowMs));
      steps.forEach(({op, a, b, idempotent, passMs}, i) => {
        nowMs += passMs;
        const permits = [...model.running.keys()];
        const permitId = permits[a % Math.max(1, permits.length)] ?? 'none';
        const target = names[a % 3];
        let decisions: Decision[] = [];
        if (op === 'offer') {
          const id = `r${i}`;
          model.waiting.add(id);
          model.idempotent.set(id, idempotent);
          decisions = scheduler.offer(
            request(id, {
              idempotent,
              tier: (a % 4) as 0 | 1 | 2 | 3,
              organisation: `o${b % 5}`,
              timeoutMs: 100 + 20 * b,
              attempt: b % 3,
              avoid: b % 7 === 0 ? [target] : [],
              prefixes: [`p${b % 4}`],
            }),
            nowMs,
          );
        } else if (op === 'complete') {
          model.running.delete(permitId);
          const result = results[b % results.length];
          decisions = scheduler.complete(permitId, outcome(result), nowMs);
        } else if (op === 'progress') {
          decisions = scheduler.progress(permitId, b, b, nowMs);
        } else if (op === 'tick') {
          decisions = scheduler.tick(nowMs);
        } else if (op === 'cancel') {
          const [id] = model.waiting;
          if (id) {
            model.waiting.delete(id);
            decisions = scheduler.cancel(id, nowMs);
          }
        } else if (op === 'targets') {
          model.unusable = b % 2 ? target : '';
          decisions = scheduler.setTargets(views(model.unusable), nowMs);
        } else if (op === 'share') {
          decisions = scheduler.setShare((a % 9) / 8, nowMs);
        } else if (op === 'caps') {
          const cap = {version: 'v2', share: (a % 3) / 2, inFlight: b % 3};
          decisions = scheduler.setVersionCaps([cap], nowMs);
        } else if (op === 'report') {
          const report = {
            running: b % 9,
            waiting: a % 9,
            ageMs: 0,
            cacheUse: 1,
          };
          decisions = scheduler.loadReport(
            target,
            {...report, epoch: b % 2},
            nowMs,
          );
        } else {
          const cacheOps = ['stored', 'evicted', 'cleared'] as const;
          decisions = scheduler.cacheEvent(
            target,
            {op: cacheOps[b % 3], prefixes: [`p${b % 4}`], sequence: i},
            nowMs,
          );
        }
        model.check(decisions);
        assert.equal(scheduler.waiting, model.waiting.size);
        assert.equal(scheduler.outstanding, model.running.size);
      });
      // After the last deadline no request is left waiting without a decision.
      model.check(scheduler.tick(nowMs + 30_000));
      assert.equal(model.waiting.size, 0);
    }),
    {seed: 20261204, numRuns: 400},
  );
});
