import {parseArgs} from 'node:util';
import {InvariantViolation} from './invariant-checker.js';
import {RandomRun, startFleet, type RandomResult} from './random-run.js';

const {values} = parseArgs({
  options: {
    seed: {type: 'string', default: '1'},
    steps: {type: 'string', default: '4000'},
    seeds: {type: 'string', default: '1'},
  },
});
const first = Number(values.seed);
const steps = Number(values.steps);
const count = Number(values.seeds);

/** Runs one seed; returns whether every invariant held. */
async function runSeed(
  seed: number,
  total: Record<keyof RandomResult, number>,
): Promise<boolean> {
  const fleet = await startFleet(seed);
  try {
    const result = await new RandomRun(fleet).run(steps);
    for (const key of Object.keys(total) as (keyof RandomResult)[]) {
      total[key] += result[key];
    }
    return true;
  } catch (err) {
    if (!(err instanceof InvariantViolation)) throw err;
    const {invariant, atMs, detail} = err;
    console.log(`seed ${seed}: ${invariant} at step ${atMs / 5}: ${detail}`);
    for (const line of fleet.trace.slice(-40)) console.log(`  ${line}`);
    return false;
  }
}

console.log(`seed ${first}, ${count} seeds of ${steps} steps of 5 ms`);
const total = {answered: 0, refused: 0, broken: 0, executions: 0, faults: 0};
let failed = 0;
for (let seed = first; seed < first + count; seed++) {
  if (!(await runSeed(seed, total))) failed++;
}
console.log(JSON.stringify({seeds: count, failed, ...total}));
process.exitCode = failed > 0 ? 1 : 0;
