import {rolloutStates, type RolloutOrder, type RolloutState} from './types.js';

/** Part of the share that a bad version may get which is used, since hosts count on their own. */
const usedPart = 0.7;

/** What this host does with the two versions of a service under rollout. */
export const canaryPhases = {
  /** A small part of the requests goes to the new version. */
  trial: 'trial',
  /** All requests go to the new version. */
  moved: 'moved',
  /** No request goes to the new version. */
  stopped: 'stopped',
} as const;

/** One of {@link canaryPhases}. */
export type CanaryPhase = (typeof canaryPhases)[keyof typeof canaryPhases];

interface Trial {
  readonly order: RolloutOrder;
  readonly orderOffset: number;
  phase: CanaryPhase;
  requests: number;
  trials: number;
}

/** Keeps the versions of services under rollout apart. */
export class CanaryRouter {
  private readonly trials = new Map<string, Trial>();
  private readonly share: number;

  /** @param exposeShare - Part of a service's requests that a bad version may get. */
  constructor(exposeShare: number) {
    this.share = exposeShare * usedPart;
  }

  /**
   * Begins a trial unless it has begun.
   *
   * @param order - Order of the operator.
   * @param orderOffset - Offset of its record.
   */
  begin(order: RolloutOrder, orderOffset: number): void {
    const known = this.trials.get(order.service);
    if (known?.orderOffset === orderOffset) return;
    const phase = canaryPhases.trial;
    const trial = {order, orderOffset, phase, requests: 0, trials: 0};
    this.trials.set(order.service, trial);
  }

  /**
   * Ends the separation of versions of a service whose order was withdrawn.
   *
   * @param service - Name of the service.
   */
  end(service: string): void {
    this.trials.delete(service);
  }

  /**
   * Sets what is done with the versions.
   *
   * @param service - Name of the service.
   * @param phase - What to do.
   */
  set(service: string, phase: CanaryPhase): void {
    const trial = this.trials.get(service);
    if (trial) trial.phase = phase;
  }

  /**
   * Tells what is done with the versions of a service.
   *
   * @param service - Name of the service.
   */
  phase(service: string): CanaryPhase | undefined {
    return this.trials.get(service)?.phase;
  }

  /**
   * Decides whether a request tries the new version.
   *
   * @param service - Service of the request.
   * @returns Whether it belongs to the part that does.
   */
  assignToCanary(service: string): boolean {
    const trial = this.trials.get(service);
    if (!trial || trial.phase !== canaryPhases.trial) return false;
    trial.requests++;
    if (trial.trials + 1 > trial.requests * this.share) return false;
    trial.trials++;
    return true;
  }

  /**
   * Tells whether a request may go to a version.
   *
   * @param service - Service of the request.
   * @param version - Version of a target.
   * @param trial - Whether the request tries the new version.
   */
  allows(service: string, version: string, trial: boolean): boolean {
    const known = this.trials.get(service);
    if (!known) return true;
    const isNew = version === known.order.version;
    switch (known.phase) {
      case canaryPhases.trial:
        return isNew === trial;
      case canaryPhases.moved:
        return isNew;
      case canaryPhases.stopped:
        return !isNew;
    }
  }
}

/**
 * Tells what hosts do once the status of a rollout is recorded.
 *
 * @param state - Recorded state.
 */
export function canaryPhaseOf(state: RolloutState): CanaryPhase {
  switch (state) {
    case rolloutStates.running:
      return canaryPhases.trial;
    case rolloutStates.completed:
      return canaryPhases.moved;
    case rolloutStates.rolledBack:
      return canaryPhases.stopped;
  }
}
