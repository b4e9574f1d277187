import type {SharedStore} from '../../connection/store/shared-store.js';
import {every, type Cancel, type Clock} from '../../process/clock.js';
import {FailureError} from '../../process/errors/catalogue.js';
import type {Logger} from '../../process/logger.js';
import type {DeploymentState, RecordedOrder} from './deployment-state.js';
import {isRewritten} from './lost-records.js';
import {nextRolloutStep} from './rollout-step.js';
import type {StateFeed} from './state-feed.js';
import {
  canaryPhases,
  type CanaryRouter,
  type CanaryPhase,
} from './canary-router.js';
import type {CanaryEvaluator} from './canary-evaluator.js';
import {rolloutStates, type RolloutOrder, type RolloutState} from './types.js';

/** Interval between two updates of all rollouts, in milliseconds. */
const intervalMs = 200;
/**
 * Delay, per preceding host, before this host records a status that is still missing, in milliseconds.
 * The first host normally needs less. If two hosts record at the same time, the conditional append lets
 * only one of them succeed.
 */
const takeoverDelayMs = 700;

/** Dependencies of a {@link RolloutController}. */
export interface RolloutControllerParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: SharedStore;
  readonly state: DeploymentState;
  readonly feed: StateFeed;
  readonly router: CanaryRouter;
  readonly evaluator: CanaryEvaluator;
  /** Returns the number of requests of all hosts that run on other versions of a service. */
  readonly oldVersionRequests: (service: string, version: string) => number;
  /** Returns the number of live hosts that precede this one in recording statuses. */
  readonly position: () => number;
}

interface OpenRollout {
  readonly order: RolloutOrder;
  offset: number;
  /** State that has to be recorded, and the monotonic time since which it is due, in milliseconds. */
  due?: {readonly state: RolloutState; readonly sinceMs: number};
  writing: boolean;
}

/** Runs the canary phases of rollouts at this host, evaluates new versions and records rollout statuses. */
export class RolloutController {
  private readonly open = new Map<string, OpenRollout>();
  private cancel: Cancel = () => {};

  /** @param parts - Dependencies. */
  constructor(private readonly parts: RolloutControllerParts) {}

  /** Phase of each service under rollout at this host, with the offset of the rollout order. */
  get phases(): Map<string, {orderOffset: number; phase: CanaryPhase}> {
    const phases = new Map<string, {orderOffset: number; phase: CanaryPhase}>();
    for (const [service, {offset}] of this.open) {
      const phase = this.parts.router.phase(service);
      if (phase) phases.set(service, {orderOffset: offset, phase});
    }
    return phases;
  }

  /** Starts updating rollouts at intervals. */
  start(): void {
    this.cancel = every(this.parts.clock, intervalMs, () => this.updateAll());
  }

  /** Stops updating rollouts. */
  stop(): void {
    this.cancel();
  }

  /**
   * Adopts a later phase of another host, so that a version which one host stopped is stopped on all hosts.
   *
   * @param phases - Phases of the other host, by service. A phase counts for the rollout order at its offset only.
   */
  receivePhases(
    phases: ReadonlyMap<string, {orderOffset: number; phase: CanaryPhase}>,
  ): void {
    const {router} = this.parts;
    for (const [service, {orderOffset, phase}] of phases) {
      if (this.open.get(service)?.offset !== orderOffset) continue;
      const localPhase = router.phase(service);
      const isAdopted =
        phase === canaryPhases.stopped ||
        (phase === canaryPhases.moved && localPhase === canaryPhases.trial);
      if (isAdopted && localPhase !== phase)
        this.setPhase(service, phase, 'another host');
    }
  }

  private updateAll(): void {
    const {router, evaluator, state} = this.parts;
    for (const service of [...this.open.keys()]) {
      if (state.orders.has(service)) continue;
      this.open.delete(service);
      router.end(service);
    }
    evaluator.watch(new Set(state.orders.keys()));
    for (const [service, recordedOrder] of state.orders)
      this.updateRollout(service, recordedOrder);
  }

  private updateRollout(service: string, recordedOrder: RecordedOrder): void {
    const {clock, router, evaluator, oldVersionRequests, state} = this.parts;
    const {order, offset, seenAtMs} = recordedOrder;
    let rollout = this.open.get(service);
    if (rollout?.offset !== offset) {
      router.begin(order, offset);
      if (rollout && isRewritten(rollout, order, offset)) {
        rollout.offset = offset;
      } else {
        rollout = {order, offset, writing: false};
        this.open.set(service, rollout);
        const {version} = order;
        this.parts.logger.event('trialBegun', {service, version});
      }
    }
    const status = state.statuses.get(service);
    const recorded =
      status?.version === order.version ? status.state : undefined;
    const phase = router.phase(service) ?? canaryPhases.trial;
    const nowMs = clock.nowMs();
    const verdict = evaluator.evaluate(service, order.version);
    const step = nextRolloutStep({
      ageMs: nowMs - seenAtMs,
      durationMs: order.durationMs,
      verdict,
      phase,
      recorded,
      oldVersionRequests: oldVersionRequests(service, order.version),
    });
    if (step.phase !== phase) this.setPhase(service, step.phase, verdict);
    const lost = state.lostStatuses.has(service) ? recorded : undefined;
    const desired = step.record ?? lost;
    this.record(service, order.version, rollout, desired, nowMs);
  }

  private setPhase(service: string, phase: CanaryPhase, why: string): void {
    this.parts.router.set(service, phase);
    this.parts.logger.event('trialPhase', {service, phase, why});
  }

  private record(
    service: string,
    version: string,
    rollout: OpenRollout,
    desired: RolloutState | undefined,
    nowMs: number,
  ): void {
    if (desired === undefined) {
      rollout.due = undefined;
      return;
    }
    if (rollout.due?.state !== desired) {
      rollout.due = {state: desired, sinceMs: nowMs};
    }
    const waitedMs = nowMs - rollout.due.sinceMs;
    if (rollout.writing || waitedMs < this.parts.position() * takeoverDelayMs)
      return;
    rollout.writing = true;
    void this.write(service, version, desired).finally(() => {
      rollout.writing = false;
    });
  }

  /** Appends a status unless the log already holds it or a final one of the same version. */
  private async write(
    service: string,
    version: string,
    desired: RolloutState,
  ): Promise<void> {
    const {feed, logger, state, store} = this.parts;
    try {
      // The decision below needs all statuses that were recorded before; the append fails if one is added.
      await feed.readStatuses();
      const known = state.statuses.get(service);
      if (known?.version === version && !state.lostStatuses.has(service)) {
        const final = known.state !== rolloutStates.running;
        if (final || known.state === desired) return;
      }
      const end = feed.statusesEnd;
      if (end === undefined) return;
      const status = {service, version, state: desired};
      const result = await store.appendStatus(status, end);
      logger.event('statusRecorded', {...status, result: result.kind});
      await feed.readStatuses();
    } catch (err) {
      if (!(err instanceof FailureError)) throw err;
      logger.event('statusNotRecorded', {service, version, ...err.failure});
    }
  }
}
