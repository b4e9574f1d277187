import type {Verdict} from '../evidence/version-evaluator.js';
import type {
  DeclaredRollout,
  RolloutEstimates,
  RolloutTarget,
} from './rollout-view.js';

/** Access of the rollouts to the configuration and the counters of the host. */
export abstract class RolloutEnvironment {
  /** @returns Declared rollouts, in the order of their configuration records. */
  abstract declared(): readonly DeclaredRollout[];

  /**
   * Reads the version that the configuration declares for a service.
   *
   * @param service - Name of the service.
   */
  abstract serviceVersion(service: string): string;

  /**
   * Lists the targets of a service, including those in zones that are out of service.
   *
   * @param service - Name of the service.
   */
  abstract targets(service: string): readonly RolloutTarget[];

  /** @returns Names of the zones that are in service (state `in`). */
  abstract zonesIn(): readonly string[];

  /**
   * Counts the requests in flight on a version, summed over all hosts.
   *
   * @param service - Name of the service.
   * @param version - Version of the service.
   */
  abstract inFlight(service: string, version: string): number;

  /**
   * Computes the share of the capacity of a service that is in use, 0 to 1.
   *
   * @param service - Name of the service.
   */
  abstract utilisation(service: string): number;

  /** @returns Estimated load and drain times, on which plans are based. */
  abstract estimates(): RolloutEstimates;
}

/** Versions that an engine reports. */
export interface EngineVersion {
  readonly version: string;
  /** Version that it is loading, if any. */
  readonly loading?: string;
}

/** Reads the versions of engines and orders them to load another one. */
export abstract class EngineOrders {
  /**
   * Reads the version of an engine.
   *
   * @param target - Name of the target.
   * @returns The version that it runs, and the one that it loads.
   */
  abstract read(target: string): Promise<EngineVersion>;

  /**
   * Orders an engine to load a version.
   *
   * @param target - Name of the target.
   * @param version - Version to load.
   * @param fencing - Fencing number of the leader.
   * @throws {@link FailureError} of kind `order-rejected` or `order-failed`.
   */
  abstract load(
    target: string,
    version: string,
    fencing: number,
  ): Promise<void>;
}

/** Admission control of the rate-limited weight store. */
export abstract class LoadGate {
  /**
   * Requests permission to load a version from the weight store.
   *
   * @param target - Name of the target.
   * @param version - Version to load.
   * @returns 0 if the load may begin, otherwise the time until the next attempt, in milliseconds.
   */
  abstract request(target: string, version: string): Promise<number>;
}

/** Evidence for and against versions, from the counters of all hosts. */
export abstract class EvidenceSource {
  /**
   * Evaluates a version by the counters of all hosts.
   *
   * @param service - Name of the service.
   * @param oldVersion - Version in effect.
   * @param newVersion - Version to evaluate.
   * @param wallMs - Wall-clock time, in milliseconds since the Unix epoch.
   */
  abstract verdict(
    service: string,
    oldVersion: string,
    newVersion: string,
    wallMs: number,
  ): Verdict;

  /**
   * Resets the evidence for growth at the start of a step.
   *
   * @param service - Name of the service.
   * @param oldVersion - Version in effect.
   * @param newVersion - Version to evaluate.
   */
  abstract startStep(
    service: string,
    oldVersion: string,
    newVersion: string,
  ): void;
}
