import type {CrashSimulation, SimulatedRequest} from './simulated-crashes.js';

/** Seeds of the runs; `SEEDS` sets their number. */
export const seeds = Array.from(
  {length: Number(process.env.SEEDS ?? 6)},
  (_, i) => 20261204 + i,
);
/** One prompt part that all requests of a route share. */
export const common = 'pcommon';

let next = 0;

/** A sound request with a part of its own, one of 40 documents and the common part. */
export function soundRequest(random: () => number): SimulatedRequest {
  const document = `pdocument${Math.floor(random() * 40)}`;
  const workMs = 50 + Math.floor(random() * 1500);
  return {fingerprints: [`r${next++}`, document, common], workMs, maxRuns: 2};
}

/** Sends sound requests at a rate through random hosts. */
export function soundTraffic(
  sim: CrashSimulation,
  perSecond: number,
): () => void {
  return () => {
    if (sim.random() < perSecond / 100) sim.send(soundRequest(sim.random));
  };
}
