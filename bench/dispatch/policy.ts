import type {
  AttemptOutcome,
  CacheEvent,
  LoadReport,
} from '../../src/request/scheduler/types.js';
import type {Attempt, SimEngine, Simulation} from './simulation.js';
import type {SimRequest} from './workload.js';

/** A way to assign requests to engines. */
export abstract class Policy {
  protected sim!: Simulation;

  /** Connects the policy to a run, before its start. */
  attach(sim: Simulation): void {
    this.sim = sim;
  }

  /** Takes a request that arrived at its host, or that is tried again. */
  abstract offer(
    req: SimRequest,
    attempt: number,
    avoid: readonly string[],
  ): void;

  /** Takes the end of an execution. */
  abstract ended(attempt: Attempt, outcome: AttemptOutcome): void;

  /** Takes a sign of progress. */
  progress(_attempt: Attempt): void {}

  /** Takes the departure of a caller whose request does not run. */
  callerLeft(_req: SimRequest): void {}

  /** Takes a load report. */
  loadReport(_engine: SimEngine, _report: LoadReport): void {}

  /** Takes a cache event. */
  cacheEvent(_engine: SimEngine, _event: CacheEvent): void {}

  /** Called twenty times a second. */
  tick(): void {}
}
