import {isRewritten} from './lost-records.js';
import {rolloutStates, type RolloutOrder, type RolloutState} from './types.js';

/** Fraction of the allowed share that is used; the rest is a margin, because each host counts on its own. */
const usableShare = 0.7;

/** Phases of a rollout at a host. */
export const canaryPhases = {
  /** Canary: a small share of the requests goes to the new version. */
  trial: 'trial',
  /** All requests go to the new version. */
  moved: 'moved',
  /** No request goes to the new version. */
  stopped: 'stopped',
} as const;

/** One of {@link canaryPhases}. */
export type CanaryPhase = (typeof canaryPhases)[keyof typeof canaryPhases];

/** Rollout of one service, with the numbers of requests that were assigned during the canary. */
interface Canary {
  readonly order: RolloutOrder;
  orderOffset: number;
  phase: CanaryPhase;
  requests: number;
  canaryRequests: number;
}

/** Divides the requests of services under rollout between the old and the new version. */
export class CanaryRouter {
  private readonly canaries = new Map<string, Canary>();
  private readonly share: number;

  /** @param exposeShare - Maximum share of a service's requests that a bad version may get, 0 to 1. */
  constructor(exposeShare: number) {
    this.share = exposeShare * usableShare;
  }

  /**
   * Begins the canary of an order, unless it was begun before. It goes on if the order is only written again.
   *
   * @param order - Rollout order.
   * @param orderOffset - Offset of its record, which identifies the order.
   */
  begin(order: RolloutOrder, orderOffset: number): void {
    const known = this.canaries.get(order.service);
    if (known?.orderOffset === orderOffset) return;
    if (
      known &&
      isRewritten({...known, offset: known.orderOffset}, order, orderOffset)
    ) {
      known.orderOffset = orderOffset;
      return;
    }
    const phase = canaryPhases.trial;
    const canary = {order, orderOffset, phase, requests: 0, canaryRequests: 0};
    this.canaries.set(order.service, canary);
  }

  /**
   * Drops the rollout of a service whose order was withdrawn; all versions get requests again.
   *
   * @param service - Name of the service.
   */
  end(service: string): void {
    this.canaries.delete(service);
  }

  /**
   * Sets the phase of a rollout; ignored for a service without one.
   *
   * @param service - Name of the service.
   * @param phase - New phase.
   */
  set(service: string, phase: CanaryPhase): void {
    const canary = this.canaries.get(service);
    if (canary) canary.phase = phase;
  }

  /**
   * Looks up the phase of a rollout.
   *
   * @param service - Name of the service.
   * @returns The phase, or `undefined` if the service is not under rollout.
   */
  phase(service: string): CanaryPhase | undefined {
    return this.canaries.get(service)?.phase;
  }

  /**
   * Counts a request and decides whether it goes to the canary.
   *
   * @param service - Service of the request.
   * @returns Whether the request is assigned to the new version.
   */
  assignToCanary(service: string): boolean {
    const canary = this.canaries.get(service);
    if (!canary || canary.phase !== canaryPhases.trial) return false;
    canary.requests++;
    if (canary.canaryRequests + 1 > canary.requests * this.share) return false;
    canary.canaryRequests++;
    return true;
  }

  /**
   * Checks whether a request may be sent to a target of a version in the current phase.
   *
   * @param service - Service of the request.
   * @param version - Version of a target.
   * @param isCanary - Whether the request was assigned to the canary.
   */
  allows(service: string, version: string, isCanary: boolean): boolean {
    const canary = this.canaries.get(service);
    if (!canary) return true;
    const isNew = version === canary.order.version;
    switch (canary.phase) {
      case canaryPhases.trial:
        return isNew === isCanary;
      case canaryPhases.moved:
        return isNew;
      case canaryPhases.stopped:
        return !isNew;
    }
  }
}

/**
 * Maps the recorded state of a rollout to the phase that hosts apply.
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
