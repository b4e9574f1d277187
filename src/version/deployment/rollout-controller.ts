import type {SharedStore} from '../../connection/store/shared-store.js';
import {every, type Cancel, type Clock} from '../../process/clock.js';
import {FailureError} from '../../process/errors/catalogue.js';
import type {Logger} from '../../process/logger.js';
import type {DeploymentState, RecordedOrder} from './deployment-state.js';
import {nextRolloutStep} from './rollout-step.js';
import type {StateFeed} from './state-feed.js';
import {
  canaryPhases,
  type CanaryRouter,
  type CanaryPhase,
} from './canary-router.js';
import type {CanaryEvaluator} from './canary-evaluator.js';
import {rolloutStates, type RolloutState} from './types.js';

/** Interval in which rollouts are looked at, in milliseconds. */
const intervalMs = 200;
/**
 * Time by which each further host waits before it records a status itself, in milliseconds. The
 * first host normally needs less; the condition of the append keeps a second one from contradicting.
 */
const turnMs = 700;

/** Parts that the duty uses. */
export interface RolloutControllerParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: SharedStore;
  readonly state: DeploymentState;
  readonly feed: StateFeed;
  readonly router: CanaryRouter;
  readonly evaluator: CanaryEvaluator;
  /** Requests of all hosts on targets of a service that do not run a version. */
  readonly oldVersionRequests: (service: string, version: string) => number;
  /** Number of hosts that are heard and come before this one. */
  readonly position: () => number;
}

interface OpenRollout {
  readonly offset: number;
  /** State that should be recorded, and since when this host knows. */
  due?: {readonly state: RolloutState; readonly sinceMs: number};
  writing: boolean;
}

/** Takes part in rollouts: keeps versions apart, judges the new one and records the status. */
export class RolloutController {
  private readonly open = new Map<string, OpenRollout>();
  private cancel: Cancel = () => {};

  /** @param parts - Parts of the process. */
  constructor(private readonly parts: RolloutControllerParts) {}

  /** What this host does with each service under rollout. */
  get phases(): Map<string, {orderOffset: number; phase: CanaryPhase}> {
    const phases = new Map<string, {orderOffset: number; phase: CanaryPhase}>();
    for (const [service, {offset}] of this.open) {
      const phase = this.parts.router.phase(service);
      if (phase) phases.set(service, {orderOffset: offset, phase});
    }
    return phases;
  }

  /** Starts to look at rollouts. */
  start(): void {
    this.cancel = every(this.parts.clock, intervalMs, () => this.look());
  }

  /** Stops to look at rollouts. */
  stop(): void {
    this.cancel();
  }

  /**
   * Takes over what another host does: a version that it stopped is stopped here too.
   *
   * @param phases - Phases of the other host.
   */
  receivePhases(
    phases: ReadonlyMap<string, {orderOffset: number; phase: CanaryPhase}>,
  ): void {
    const {router: gate} = this.parts;
    for (const [service, {orderOffset, phase}] of phases) {
      if (this.open.get(service)?.offset !== orderOffset) continue;
      const own = gate.phase(service);
      const spreads =
        phase === canaryPhases.stopped ||
        (phase === canaryPhases.moved && own === canaryPhases.trial);
      if (spreads && own !== phase)
        this.setPhase(service, phase, 'another host');
    }
  }

  private look(): void {
    const {router: gate, evaluator: judge, state} = this.parts;
    for (const service of [...this.open.keys()]) {
      if (state.orders.has(service)) continue;
      this.open.delete(service);
      gate.end(service);
    }
    judge.watch(new Set(state.orders.keys()));
    for (const [service, placed] of state.orders) this.lookAt(service, placed);
  }

  private lookAt(service: string, placed: RecordedOrder): void {
    const {
      clock,
      router: gate,
      evaluator: judge,
      oldVersionRequests: oldLoad,
      state,
    } = this.parts;
    const {order, offset, seenAtMs} = placed;
    let rollout = this.open.get(service);
    if (rollout?.offset !== offset) {
      rollout = {offset, writing: false};
      this.open.set(service, rollout);
      gate.begin(order, offset);
      this.parts.logger.event('trialBegun', {service, version: order.version});
    }
    const status = state.statuses.get(service);
    const recorded =
      status?.version === order.version ? status.state : undefined;
    const phase = gate.phase(service) ?? canaryPhases.trial;
    const nowMs = clock.nowMs();
    const verdict = judge.evaluate(service, order.version);
    const step = nextRolloutStep({
      ageMs: nowMs - seenAtMs,
      durationMs: order.durationMs,
      verdict,
      phase,
      recorded,
      oldVersionRequests: oldLoad(service, order.version),
    });
    if (step.phase !== phase) this.setPhase(service, step.phase, verdict);
    this.record(service, order.version, rollout, step.record, nowMs);
  }

  private setPhase(service: string, phase: CanaryPhase, why: string): void {
    this.parts.router.set(service, phase);
    this.parts.logger.event('trialPhase', {service, phase, why});
  }

  private record(
    service: string,
    version: string,
    rollout: OpenRollout,
    wanted: RolloutState | undefined,
    nowMs: number,
  ): void {
    if (wanted === undefined) {
      rollout.due = undefined;
      return;
    }
    if (rollout.due?.state !== wanted) {
      rollout.due = {state: wanted, sinceMs: nowMs};
    }
    const waitedMs = nowMs - rollout.due.sinceMs;
    if (rollout.writing || waitedMs < this.parts.position() * turnMs) return;
    rollout.writing = true;
    void this.write(service, version, wanted).finally(() => {
      rollout.writing = false;
    });
  }

  /** Records a status unless another host has recorded a later one. */
  private async write(
    service: string,
    version: string,
    wanted: RolloutState,
  ): Promise<void> {
    const {feed, logger, state, store} = this.parts;
    try {
      // Everything that was recorded before is known once the log was read to its end.
      await feed.readStatuses();
      const known = state.statuses.get(service);
      if (known?.version === version) {
        const final = known.state !== rolloutStates.running;
        if (final || known.state === wanted) return;
      }
      const end = feed.statusesEnd;
      if (end === undefined) return;
      const status = {service, version, state: wanted};
      const result = await store.appendStatus(status, end);
      logger.event('statusRecorded', {...status, result: result.kind});
      await feed.readStatuses();
    } catch (err) {
      if (!(err instanceof FailureError)) throw err;
      logger.event('statusNotRecorded', {service, version, ...err.failure});
    }
  }
}
