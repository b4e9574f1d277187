import {GroupScheduler} from '../../src/request/scheduler/group-scheduler.js';
import type {Decision} from '../../src/request/scheduler/types.js';
import {seededRandom} from '../../stand-ins/seeded-random.js';
import {drawRequests} from './workload.js';

/**
 * Measures the real time that the scheduler needs for one request: its offer, its first token and
 * its completion, with all targets busy to about two thirds.
 *
 * @param targets - Number of targets in view.
 * @param count - Number of requests to measure.
 * @param seed - Seed of the requests.
 * @returns Microseconds per request.
 */
export function decisionMicros(
  targets: number,
  count: number,
  seed: number,
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
  const keep = Math.floor((targets * 32 * 2) / 3);
  let nowMs = 0;
  let micros = 0;
  let measured = 0;
  const note = (decisions: readonly Decision[]): void => {
    for (const decision of decisions) {
      if (decision.kind === 'grant') open.push(decision.permitId);
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
      const full = open.length - oldest > keep;
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
      if (full) {
        micros += Number(process.hrtime.bigint() - started) / 1000;
        measured++;
      }
      if (measured >= count) return micros / measured;
    }
  }
  return micros / Math.max(1, measured);
}
