import {EngineModel} from '../../stand-ins/engine-model.js';
import {seededRandom} from '../../stand-ins/seeded-random.js';
import type {FleetCfg} from './simulation.js';
import {drawRequests} from './workload.js';

const settleMs = 20_000;
const measureMs = 60_000;

/**
 * Measures how many requests a second the engines of a fleet answer when each of them always runs
 * as many as it can bear.
 *
 * @param fleet - Fleet to measure.
 * @param seed - Seed of the requests.
 * @returns Requests per second over all engines.
 */
export function measureCapacity(fleet: FleetCfg, seed: number): number {
  const random = seededRandom(seed);
  const requests = drawRequests(
    {
      hosts: 1,
      organisations: 5,
      ratePerTier: [200],
      fromMs: 0,
      untilMs: settleMs + measureMs,
    },
    random,
  );
  const bySpeed = new Map<number, number>();
  let total = 0;
  for (const cfg of fleet.engines) {
    const known = bySpeed.get(cfg.speed);
    if (known !== undefined) {
      total += known;
      continue;
    }
    const model = new EngineModel({...cfg, coldMs: 0}, seededRandom(seed));
    let next = 0;
    let finished = 0;
    const submit = (nowMs: number): void => {
      const req = requests[next++ % requests.length];
      model.submit({...req, id: `c${next}`}, nowMs);
    };
    for (let i = 0; i < fleet.maxConcurrency; i++) submit(0);
    for (let nowMs = 0; nowMs < settleMs + measureMs;) {
      nowMs = model.nextEventMs() ?? Infinity;
      for (const event of model.advance(nowMs)) {
        if (event.kind !== 'finished') continue;
        if (nowMs > settleMs) finished++;
        submit(nowMs);
      }
      model.cacheEvents(nowMs);
    }
    const rate = finished / (measureMs / 1000);
    bySpeed.set(cfg.speed, rate);
    total += rate;
  }
  return total;
}
