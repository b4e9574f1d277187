import {
  EngineOrders,
  LoadGate,
  type EngineVersion,
} from '../../src/version/rollout/ports.js';
import {FailureError} from '../../src/process/errors/catalogue.js';
import type {Clock} from '../../src/process/clock.js';
import type {Random} from './random.js';
import type {Scenario} from './scenario.js';

/** Requests that an engine runs at most; the scheduler's learnt limit holds it there. */
export const engineSlots = 8;
const loadMs = 25_000;
const coldMs = 15_000;
/** Loads that the weight store serves at the same time. */
export const parallelLoads = 3;

/** Simulated engine. */
export interface SimEngine {
  readonly name: string;
  readonly zone: string;
  readonly speed: number;
  version: string;
  loading: string | undefined;
  readyAtMs: number;
  epoch: number;
  running: number;
  newestFencing: number;
  /** Orders that took effect, for the check that none is repeated. */
  readonly orders: {version: string; fencing: number; atMs: number}[];
}

/** All engines of a simulation and the times that requests take on them. */
export class SimEngines {
  readonly engines: SimEngine[] = [];
  /** Orders that were accepted from a leader that another had already replaced. */
  staleOrders = 0;
  /** Orders for a version that the engine had or was loading. */
  repeatedOrders = 0;

  /** Creates the engines of a scenario. */
  constructor(
    private readonly scenario: Scenario,
    readonly clock: Clock,
    private readonly rng: Random,
    zones: readonly string[],
  ) {
    const surge = scenario.spec.strategy === 'surge';
    for (let i = 0; i < scenario.engines; i++) {
      const base = {
        zone: zones[i % zones.length],
        speed: i % 4 === 3 ? 0.8 : 1,
      };
      this.add(`engine-${i}`, 'v1', -60_000, base);
      if (surge)
        this.add(`engine-${i}-new`, 'v2', rng.between(20_000, 60_000), base);
    }
  }

  /** Moves the loads on. */
  advance(): void {
    const nowMs = this.clock.nowMs();
    for (const engine of this.engines) {
      if (!engine.loading || nowMs < engine.readyAtMs) continue;
      engine.version = engine.loading;
      engine.loading = undefined;
      engine.epoch++;
    }
  }

  /** Whether an engine takes requests. */
  ready(engine: SimEngine): boolean {
    return !engine.loading && this.clock.nowMs() >= engine.readyAtMs;
  }

  /** Draws how one request goes on an engine. */
  run(
    engine: SimEngine,
    route: string,
    badNow: boolean,
  ): {
    failed: boolean;
    harmed: boolean;
    firstTokenMs: number;
    tokenMs: number;
    totalMs: number;
  } {
    const {rng, scenario} = this;
    const load = engine.running / engineSlots;
    const over = Math.max(1, load);
    const cold = this.clock.nowMs() < engine.readyAtMs + coldMs ? 2 : 1;
    let factor = (over * cold) / engine.speed;
    let failure = 0.003;
    let harmed = badNow;
    if (badNow) {
      const {version, severity} = scenario;
      if (version === 'slow-at-once' || version === 'slightly-slow')
        factor *= severity;
      else if (version === 'under-load') {
        harmed = load >= 0.25;
        if (harmed) factor *= severity;
      } else if (version !== 'one-route' || route === 'tagging')
        failure = severity;
    }
    if (rng.next() < failure) {
      const ms = rng.between(50, 300);
      return {failed: true, harmed, firstTokenMs: ms, tokenMs: 0, totalMs: ms};
    }
    const firstTokenMs = 150 * (1 + load) * factor * rng.spread(0.35);
    const tokenMs = 20 * (1 + 0.5 * load) * factor * rng.spread(0.12);
    const tokens = 60 * rng.spread(0.7);
    return {
      failed: false,
      harmed,
      firstTokenMs,
      tokenMs,
      totalMs: firstTokenMs + tokens * tokenMs,
    };
  }

  /** Orders of one host. */
  ordersFor(hostClock: Clock): EngineOrders {
    return new SimOrders(this, hostClock, this.scenario.checksFencing);
  }

  /** Weight store as one host sees it. */
  gate(): LoadGate {
    return new SimGate(this);
  }

  /** Begins a load. */
  begin(engine: SimEngine, version: string, fencing: number): void {
    const nowMs = this.clock.nowMs();
    if (fencing < engine.newestFencing) this.staleOrders++;
    if ((engine.loading ?? engine.version) === version) this.repeatedOrders++;
    engine.newestFencing = Math.max(engine.newestFencing, fencing);
    engine.orders.push({version, fencing, atMs: nowMs});
    engine.loading = version;
    engine.readyAtMs = nowMs + loadMs * this.rng.between(0.8, 1.3);
  }

  private add(
    name: string,
    version: string,
    readyAtMs: number,
    base: {zone: string; speed: number},
  ): void {
    this.engines.push({
      ...base,
      name,
      version,
      readyAtMs,
      loading: undefined,
      epoch: 0,
      running: 0,
      newestFencing: -1,
      orders: [],
    });
  }
}

class SimOrders extends EngineOrders {
  constructor(
    private readonly sim: SimEngines,
    private readonly clock: Clock,
    private readonly checksFencing: boolean,
  ) {
    super();
  }

  override read(target: string): Promise<EngineVersion> {
    return new Promise(resolve =>
      this.sim.clock.after(20, () => {
        const {version, loading} = this.find(target);
        const answer = {version, ...(loading !== undefined && {loading})};
        this.clock.after(20, () => resolve(answer));
      }),
    );
  }

  override load(
    target: string,
    version: string,
    fencing: number,
  ): Promise<void> {
    return new Promise((resolve, reject) =>
      // What was sent before a pause arrives during it; only the answer waits for the host.
      this.sim.clock.after(20, () => {
        const engine = this.find(target);
        const newest = engine.newestFencing;
        if (this.checksFencing && fencing < newest) {
          const err = new FailureError({
            kind: 'order-rejected',
            target,
            fencing,
            newest,
          });
          this.clock.after(20, () => reject(err));
          return;
        }
        this.sim.begin(engine, version, fencing);
        this.clock.after(20, resolve);
      }),
    );
  }

  private find(name: string): SimEngine {
    return this.sim.engines.find(engine => engine.name === name)!;
  }
}

class SimGate extends LoadGate {
  constructor(private readonly sim: SimEngines) {
    super();
  }

  override request(): Promise<number> {
    const loads = this.sim.engines.filter(({loading}) => loading).length;
    return Promise.resolve(loads < parallelLoads ? 0 : 5000);
  }
}
