import {GroupScheduler} from '../../src/request/scheduler/group-scheduler.js';
import type {Decision} from '../../src/request/scheduler/types.js';
import {seededRandom} from '../../stand-ins/seeded-random.js';
import {drawRequests} from './workload.js';

/**
 * Measures the real time that the scheduler needs for one request: its offer, its first token and
 * its completion.
 *
 * @param targets - Number of targets in view.
 * @param count - Number of requests to measure.
 * @param seed - Seed of the requests.
 * @param waiting - Requests that wait while all targets are full; 0 keeps the targets two thirds busy.
 * @returns Microseconds per request.
 */
export function decisionMicros(
  targets: number,
  count: number,
  seed: number,
  waiting: number,
): number {
  const scheduler = new GroupScheduler({owner: 'bench'});
  const views = Array.from({length: targets}, (_, i) => ({
    name: `t${i}`,
    service: 'chat',
    zone: 'z',
    address: '',
    version: 'v1',
    hardware: 'x',
    maxConcurrency: 32,
    coldConcurrency: 32,
    usable: true,
  }));
  scheduler.setTargets(views, 0);
  const rate = 100;
  const untilMs = ((count * 1.2) / rate) * 1000 + 1000;
  const requests = drawRequests(
    {
      hosts: 8,
      organisations: 290,
      ratePerTier: [rate / 4, rate / 4, rate / 4, rate / 4],
      fromMs: 0,
      untilMs,
    },
    seededRandom(seed),
  ).slice(0, count);
  const open: string[] = [];
  // The oldest permit by position, since shift() on a long array would count as decision time.
  let oldest = 0;
  const slots = targets * 32;
  const keep = waiting > 0 ? slots + waiting : Math.floor((slots * 2) / 3);
  const cancelled: string[] = [];
  let nowMs = 0;
  let micros = 0;
  let measured = 0;
  const note = (decisions: readonly Decision[]): void => {
    for (const decision of decisions) {
      if (decision.kind === 'grant') open.push(decision.permitId);
      else if (decision.kind === 'preempt') cancelled.push(decision.permitId);
    }
  };
  const repeat = Math.ceil((keep + count) / requests.length);
  let number = 0;
  for (let round = 0; round < repeat; round++) {
    for (const req of requests) {
      nowMs += 1000 / (10 * targets);
      const started = process.hrtime.bigint();
      note(
        scheduler.offer(
          {
            id: `d${number++}`,
            host: 'h',
            service: 'chat',
            route: '/v1/chat/completions',
            organisation: req.organisation,
            weight: 1,
            tier: req.tier,
            idempotent: true,
            timeoutMs: req.timeoutMs,
            promptTokens: req.promptTokens,
            prefixes: req.prefixes,
            attempt: 0,
            avoid: [],
          },
          nowMs,
        ),
      );
      const full = scheduler.outstanding + scheduler.waiting > keep;
      if (full) {
        const permitId = open[oldest++];
        note(scheduler.progress(permitId, 1, 200, nowMs));
        const outcome = {
          result: 'ok',
          firstTokenMs: 200,
          totalMs: 200 + 20 * req.outputTokens,
          tokens: req.outputTokens,
        } as const;
        note(scheduler.complete(permitId, outcome, nowMs));
      }
      for (let id = cancelled.shift(); id; id = cancelled.shift()) {
        const stopped = {result: 'cancelled', totalMs: 1, tokens: 0} as const;
        note(scheduler.complete(id, stopped, nowMs));
      }
      if (full) {
        micros += Number(process.hrtime.bigint() - started) / 1000;
        measured++;
      }
      if (measured >= count) return micros / measured;
    }
  }
  throw new Error(`only ${measured} of ${count} requests were measured`);
}
