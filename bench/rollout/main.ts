import {Worker} from 'node:worker_threads';
import {renderReport, type Outcome} from './report.js';

const fullCount = 210;
const quickCount = 28;
/** Threads of the measurement; each takes one core. */
const threads = 4;

/**
 * Measures rollouts in virtual time. `--quick` runs fewer seeds; `--from N` begins at another seed.
 */
export async function run(): Promise<void> {
  const args = process.argv.slice(3);
  const count = args.includes('--quick') ? quickCount : fullCount;
  const at = args.indexOf('--from');
  const first = at >= 0 ? Number(args[at + 1]) : 1;
  const startedMs = performance.now();
  const seeds = Array.from({length: count}, (_, i) => first + i);
  process.stdout.write(`rollout: seeds ${first} to ${first + count - 1}\n`);
  const parts = Array.from({length: threads}, (_, i) =>
    seeds.filter((_seed, j) => j % threads === i),
  );
  const outcomes = (await Promise.all(parts.map(runPart))).flat();
  outcomes.sort((a, b) => a.scenario.seed - b.scenario.seed);
  process.stdout.write(renderReport(outcomes));
  const seconds = (performance.now() - startedMs) / 1000;
  process.stdout.write(`took ${seconds.toFixed(0)} s\n`);
}

function runPart(seeds: number[]): Promise<Outcome[]> {
  return new Promise((resolve, reject) => {
    const outcomes: Outcome[] = [];
    const worker = new Worker(new URL('./worker.js', import.meta.url), {
      workerData: seeds,
    });
    worker.on('message', (outcome: Outcome) => outcomes.push(outcome));
    worker.on('error', reject);
    worker.on('exit', () => resolve(outcomes));
  });
}
