import {parentPort, workerData} from 'node:worker_threads';
import {runBaseline, baselineMethods} from './baselines.js';
import {drawScenario} from './scenario.js';
import {Simulation} from './simulate.js';

/** Runs the seeds that this worker was given and posts each outcome. */
for (const seed of workerData as number[]) {
  const scenario = drawScenario(seed);
  const result = await new Simulation(scenario).run();
  const baselines = {
    timed: runBaseline(scenario, baselineMethods.timedCanary),
    rolling: runBaseline(scenario, baselineMethods.rolling),
  };
  parentPort?.postMessage({scenario, result, baselines});
}
