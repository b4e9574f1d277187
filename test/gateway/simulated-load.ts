import {TargetLimits} from '../../src/process/pool/target-limits.js';
import {Logger} from '../../src/process/logger.js';
import {
  outcomes,
  type PooledTarget,
} from '../../src/process/pool/pooled-target.js';
import {TargetPool} from '../../src/process/pool/target-pool.js';
import {createRandom} from '../../src/process/random.js';
import {
  Dispatcher,
  type SlotRequest,
} from '../../src/request/gateway/dispatcher.js';
import {CanaryRouter} from '../../src/version/deployment/canary-router.js';
import {DeploymentState} from '../../src/version/deployment/deployment-state.js';
import {RouteTable} from '../../src/version/deployment/route-table.js';
import {ManualClock} from '../../stand-ins/manual-clock.js';
import {bounds, configuration, targetChange} from './gateway-fakes.js';

/** Slots of each simulated engine. */
const slots = 10;

/** One host with simulated engines; a response takes its length times the token time of its engine. */
export class SimulatedLoad {
  readonly clock = new ManualClock();
  readonly random: () => number;
  readonly dispatcher: Dispatcher;
  private readonly pool: TargetPool;
  private readonly tokenMs = new Map<string, number>();

  /**
   * @param seed - Seed of the random numbers.
   * @param tokenTimesMs - Time per token of each engine, in milliseconds.
   */
  constructor(seed: number, tokenTimesMs: readonly number[]) {
    const {clock} = this;
    const random = createRandom(seed);
    this.random = random;
    const state = new DeploymentState();
    this.pool = new TargetPool({
      clock,
      logger: Logger.create('silent'),
      state,
      routes: () => new RouteTable(configuration),
      limits: new TargetLimits('h1', bounds),
      canaryRouter: new CanaryRouter(0.1),
      isViewCurrent: () => true,
      onSend: () => {},
      host: 'h1',
      hosts: () => ['h1'],
      random,
      zone: 'z',
      regions: new Map(),
      onConnect: () => {},
    });
    const changes = tokenTimesMs.map((ms, i) => {
      this.tokenMs.set(`i-${i}`, ms);
      const change = targetChange(`i-${i}`, `10.0.0.${i}:80`);
      if (change.kind !== 'target' || !change.entry) return change;
      return {...change, entry: {...change.entry, slots}};
    });
    state.apply(
      changes.map((change, offset) => ({offset, change})),
      0,
    );
    this.pool.refresh();
    const speeds = tokenTimesMs.map((tokenMs, i) => [
      `i-${i}`,
      {load: 0, pendingPromptTokens: 0, tokenMs},
    ]);
    this.pool.applyReports('h2', Object.fromEntries(speeds));
    this.dispatcher = new Dispatcher(this.pool, clock);
  }

  /**
   * Requests a slot and, once one is assigned, runs the response to its end or its deadline.
   *
   * @param request - Request to place.
   * @param tokens - Length of the response, in tokens.
   * @returns Whether it was completed before its deadline, once known; `undefined` if it got no slot.
   */
  run(request: SlotRequest, tokens: number): Promise<boolean | undefined> {
    return new Promise(resolve => {
      const onSlot = (target: PooledTarget) => {
        this.pool.recordPromptRead(target, request.promptTokens);
        const tokenMs = this.tokenMs.get(target.entry.id) ?? 0;
        const leftMs = request.deadlineAtMs - this.clock.nowMs();
        const completes = tokens * tokenMs <= leftMs;
        this.clock.after(Math.min(tokens * tokenMs, leftMs), () => {
          const outcome = completes ? outcomes.answered : outcomes.cancelled;
          this.pool.release(target, outcome, 0);
          this.dispatcher.serve(request.service);
          resolve(completes);
        });
      };
      this.dispatcher.requestSlot(request, onSlot, () => resolve(undefined));
    });
  }
}
