import {Logger} from '../../src/process/logger.js';
import {outcomes} from '../../src/process/pool/pooled-target.js';
import {TargetLimits} from '../../src/process/pool/target-limits.js';
import {TargetPool} from '../../src/process/pool/target-pool.js';
import {createRandom} from '../../src/process/random.js';
import type {SlotRequest} from '../../src/request/gateway/dispatcher.js';
import {CanaryRouter} from '../../src/version/deployment/canary-router.js';
import {DeploymentState} from '../../src/version/deployment/deployment-state.js';
import {RouteTable} from '../../src/version/deployment/route-table.js';
import {ManualClock} from '../../stand-ins/manual-clock.js';
import {bounds, configuration, targetChange} from './gateway-fakes.js';

/** Time from a request to its response, in milliseconds. */
const responseMs = 60;
/** Interval at which each host tries to send one request, in milliseconds. */
const demandMs = 20;

/** A request that reached a target. */
export interface Arrival {
  readonly target: string;
  readonly host: string;
  readonly atMs: number;
}

/** Hosts that send as many requests as they may to targets which can state a limit in each response. */
export class LimitedHosts {
  readonly clock = new ManualClock();
  readonly arrivals: Arrival[] = [];
  /** Time at which each host first got a response with a limit, by host and target. */
  readonly toldAtMs = new Map<string, number>();
  readonly pools = new Map<string, TargetPool>();
  private readonly state = new DeploymentState();
  /** Targets that state that they leave. */
  readonly leaving = new Set<string>();
  /** Hosts that send no requests. */
  readonly idle = new Set<string>();

  /**
   * @param hosts - Names of all hosts.
   * @param targets - Number of targets.
   * @param limitAt - Limit that all targets state at a time, in requests per second.
   */
  constructor(
    private readonly hosts: readonly string[],
    targets: number,
    private readonly limitAt: (nowMs: number) => number | undefined,
  ) {
    const records = Array.from({length: targets}, (_, i) => ({
      offset: i,
      change: targetChange(`i-${i}`, `10.0.0.${i}:80`),
    }));
    this.state.apply(records, 0);
    for (const host of hosts) this.start(host);
  }

  /** Starts a host, or restarts it without what it knew. */
  start(host: string): void {
    const pool = new TargetPool({
      clock: this.clock,
      logger: Logger.create('silent'),
      state: this.state,
      routes: () => new RouteTable(configuration),
      limits: new TargetLimits(host, bounds),
      canaryRouter: new CanaryRouter(0.1),
      isViewCurrent: () => true,
      onSend: () => {},
      host,
      hosts: () => this.hosts,
      random: createRandom(1),
      zone: 'z',
      regions: new Map(),
      onConnect: () => {},
    });
    pool.refresh();
    this.pools.set(host, pool);
  }

  /** Lets time pass while all hosts send. */
  run(ms: number, everyStep: () => void = () => {}): void {
    for (let passed = 0; passed < ms; passed += demandMs) {
      for (const host of this.hosts) {
        if (!this.idle.has(host)) this.send(host);
      }
      everyStep();
      this.clock.advance(demandMs);
    }
  }

  /** Counts the requests that reached a target in a period. */
  count(target: string, fromMs: number, periodMs: number): number {
    return this.arrivals.filter(
      ({target: id, atMs}) =>
        id === target && atMs >= fromMs && atMs < fromMs + periodMs,
    ).length;
  }

  private send(host: string): void {
    const pool = this.pools.get(host);
    const sentAtMs = this.clock.nowMs();
    const target = pool?.takeSlot(createRequest(sentAtMs), sentAtMs);
    if (!pool || !target || typeof target === 'string') return;
    const {id} = target.entry;
    this.arrivals.push({target: id, host, atMs: sentAtMs});
    const limitPerSecond = this.limitAt(sentAtMs);
    this.clock.after(responseMs, () => {
      const nowMs = this.clock.nowMs();
      const key = `${host} ${id}`;
      if (limitPerSecond !== undefined && !this.toldAtMs.has(key)) {
        this.toldAtMs.set(key, nowMs);
      }
      const leaving = this.leaving.has(id);
      pool.recordStatement(target, {leaving, limitPerSecond}, sentAtMs);
      pool.release(target, outcomes.answered, 0);
    });
  }
}

/** Creates a request for a slot that does not wait. */
export function createRequest(nowMs: number): SlotRequest {
  return {
    service: 's',
    rank: 0,
    organisationRank: 0,
    costMs: responseMs,
    dueAtMs: nowMs + 1000,
    objectiveMs: 1000,
    deadlineAtMs: nowMs + 10_000,
    untilMs: nowMs,
    promptTokens: 0,
    outputTokens: 0,
    longOutputTokens: 0,
    regions: [],
    exclude: new Set(),
    trial: false,
  };
}
