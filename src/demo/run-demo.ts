import {seededRandom} from '../../stand-ins/seeded-random.js';
import {every, type Clock} from '../process/clock.js';
import {DemoFleet} from './demo-fleet.js';
import type {Example} from './example.js';
import type {ExampleStandIns} from './example-stand-ins.js';
import {planLoad, type LoadOptions} from './load-plan.js';
import {LoadSender} from './load-sender.js';
import {renderReport} from './report.js';
import {tally, type Tally, type TargetExecution} from './tally.js';

/** Time in which all hosts must be ready, in milliseconds. */
const startTimeoutMs = 15_000;
/** Time between two lines of progress, in milliseconds. */
const progressMs = 1000;

/** What to run. */
export interface DemoOptions extends LoadOptions {
  readonly example: Example;
  readonly seed: number;
  readonly clock: Clock;
  /** Receives each line of output. */
  readonly print: (line: string) => void;
}

/**
 * Runs an example in this process: stand-ins, hosts and a mixed load.
 *
 * @param options - What to run.
 * @returns The counted result.
 */
export async function runDemo(options: DemoOptions): Promise<Tally> {
  const {example, clock, print, seconds} = options;
  const fleet = new DemoFleet(example, clock);
  try {
    await fleet.start(startTimeoutMs);
    print(
      `${example.name}: ${fleet.origins.length} hosts, ${fleet.standIns.engines.size} model engines, ` +
        `${fleet.standIns.services.size} plain targets; seed ${options.seed}`,
    );
    const plan = planLoad(example, options, seededRandom(options.seed));
    const sender = new LoadSender(clock, fleet.origins);
    const startMs = clock.nowMs();
    const stopProgress = every(clock, progressMs, () => {
      const elapsed = Math.round((clock.nowMs() - startMs) / 1000);
      const done = sender.results.length;
      const refused = sender.results.filter(
        ({outcome}) => outcome.kind === 'refused',
      ).length;
      print(
        `${elapsed} s: ${sender.sent} sent, ${done - refused} answered, ${refused} refused, ` +
          `${sender.sent - done} in flight`,
      );
    });
    const results = await sender.run(plan);
    stopProgress();
    const executions = collectExecutions(fleet.standIns);
    const counted = tally(results, executions);
    for (const line of renderReport(counted, executions, seconds)) print(line);
    return counted;
  } finally {
    await fleet.stop();
  }
}

function collectExecutions(standIns: ExampleStandIns): TargetExecution[] {
  const executions: TargetExecution[] = [];
  for (const [target, engine] of standIns.engines) {
    for (const {path, bodySha256, answerSha256} of engine.executions) {
      executions.push({
        target,
        method: 'POST',
        path,
        bodySha256,
        answerSha256,
      });
    }
  }
  for (const [target, service] of standIns.services) {
    for (const execution of service.executions) {
      executions.push({target, ...execution});
    }
  }
  return executions;
}
