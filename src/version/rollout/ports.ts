import type {Verdict} from '../evidence/version-evaluator.js';
import type {
  DeclaredRollout,
  RolloutEstimates,
  RolloutTarget,
} from './rollout-view.js';

/** What the rollouts need to know of the rest of the host. */
export abstract class RolloutEnvironment {
  /** @returns Declared rollouts, in the order of their configuration. */
  abstract declared(): readonly DeclaredRollout[];

  /**
   * Reads the version of a service in the configuration.
   *
   * @param service - Service.
   */
  abstract serviceVersion(service: string): string;

  /**
   * Lists the targets of a service, of zones that are out as well.
   *
   * @param service - Service.
   */
  abstract targets(service: string): readonly RolloutTarget[];

  /** @returns Zones that are in. */
  abstract zonesIn(): readonly string[];

  /**
   * Counts the requests that run on a version, all hosts together.
   *
   * @param service - Service.
   * @param version - Version.
   */
  abstract inFlight(service: string, version: string): number;

  /**
   * Part of the capacity of a service that is in use, 0 to 1.
   *
   * @param service - Service.
   */
  abstract utilisation(service: string): number;

  /** @returns Times that plans start from. */
  abstract estimates(): RolloutEstimates;
}

/** State of an engine as it says itself. */
export interface EngineVersion {
  readonly version: string;
  /** Version that it is loading. */
  readonly loading?: string;
}

/** Orders to engines. */
export abstract class EngineOrders {
  /**
   * Reads the version of an engine.
   *
   * @param target - Name of the target.
   * @returns What it runs and loads.
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

/** Entry to the rate-limited weight store. */
export abstract class LoadGate {
  /**
   * Asks for a load.
   *
   * @param target - Name of the target.
   * @param version - Version to load.
   * @returns 0 if the load may begin, else the time to wait in milliseconds.
   */
  abstract request(target: string, version: string): Promise<number>;
}

/** Counted evidence of versions. */
export abstract class EvidenceSource {
  /**
   * Judges a version by the counters of all hosts.
   *
   * @param service - Service.
   * @param oldVersion - Version in effect.
   * @param newVersion - Version to judge.
   * @param wallMs - Wall time, in milliseconds.
   */
  abstract verdict(
    service: string,
    oldVersion: string,
    newVersion: string,
    wallMs: number,
  ): Verdict;

  /**
   * Starts to count evidence for growth afresh, after a step.
   *
   * @param service - Service.
   * @param oldVersion - Version in effect.
   * @param newVersion - Version to judge.
   */
  abstract startStep(
    service: string,
    oldVersion: string,
    newVersion: string,
  ): void;
}
