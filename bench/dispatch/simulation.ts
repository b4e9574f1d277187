import {
  EngineModel,
  type EngineEvent,
  type EngineModelCfg,
} from '../../stand-ins/engine-model.js';
import {seededRandom} from '../../stand-ins/seeded-random.js';
import type {AttemptOutcome} from '../../src/request/scheduler/types.js';
import {EventQueue} from './event-queue.js';
import {Metrics} from './metrics.js';
import type {Policy} from './policy.js';
import {blockTokens, type SimRequest} from './workload.js';

/** An engine of the bench. */
export interface SimEngine {
  readonly index: number;
  readonly name: string;
  readonly zone: number;
  readonly cfg: EngineModelCfg;
  readonly model: EngineModel;
  readonly maxConcurrency: number;
  slowdown: number;
  wakeAtMs: number;
  overSinceMs: number | undefined;
}

/** One execution of a request. */
export interface Attempt {
  readonly id: string;
  readonly req: SimRequest;
  readonly engine: SimEngine;
  readonly sentMs: number;
  readonly number: number;
  /** Permit under which the attempt runs, if the policy has permits. */
  readonly permitId: string | undefined;
  firstTokenMs: number | undefined;
  cachedTokens: number;
  tokens: number;
  ended: boolean;
}

/** Sizes and delays of a fleet. */
export interface FleetCfg {
  readonly zones: number;
  readonly hosts: number;
  readonly engines: readonly EngineModelCfg[];
  readonly maxConcurrency: number;
  /** One-way delay within a zone, in milliseconds. */
  readonly zoneDelayMs: number;
  /** One-way delay between zones, in milliseconds. */
  readonly crossDelayMs: number;
}

/** Longest time that a prompt block is assumed to stay useful in some cache. */
const reuseMs = 60_000;
const maxAttempts = 3;

/** Drives engines, hosts and one policy in virtual time. */
export class Simulation {
  readonly events = new EventQueue();
  readonly engines: SimEngine[];
  private readonly attempts = new Map<string, Attempt>();
  private readonly running = new Map<string, Attempt>();
  private readonly done = new Set<string>();
  private readonly processedAt = new Map<string, number>();
  private sequence = 0;

  /**
   * @param fleet - Sizes and delays.
   * @param metrics - Collects the results.
   * @param policy - Decides where requests go.
   * @param seed - Seed of the engines' random numbers.
   */
  constructor(
    readonly fleet: FleetCfg,
    readonly metrics: Metrics,
    private readonly policy: Policy,
    seed: number,
  ) {
    this.engines = fleet.engines.map((cfg, index) => ({
      index,
      name: `e${index}`,
      zone: index % fleet.zones,
      cfg,
      model: warmEngine(cfg, seed + index),
      maxConcurrency: fleet.maxConcurrency,
      slowdown: 1,
      wakeAtMs: Infinity,
      overSinceMs: undefined,
    }));
    policy.attach(this);
  }

  /** Current time, in milliseconds. */
  get nowMs(): number {
    return this.events.nowMs;
  }

  /** Runs the requests and everything that follows from them. */
  run(requests: readonly SimRequest[], untilMs: number): void {
    for (const req of requests) {
      this.events.at(req.arrivalMs, () => {
        this.events.at(req.arrivalMs + req.timeoutMs, () => this.expire(req));
        this.policy.offer(req, 0, []);
      });
    }
    this.every(50, untilMs, () => this.policy.tick());
    this.every(200, untilMs, () => {
      for (const engine of this.engines) {
        for (const event of engine.model.cacheEvents(this.nowMs)) {
          this.policy.cacheEvent(engine, event);
        }
        this.wake(engine);
      }
    });
    this.every(1000, untilMs, () => {
      for (const engine of this.engines) {
        const report = engine.model.loadReport(this.nowMs);
        if (engine.model.isUp) this.policy.loadReport(engine, report);
      }
      for (const attempt of this.running.values()) {
        if (attempt.firstTokenMs !== undefined) this.policy.progress(attempt);
      }
    });
    this.events.runUntil(untilMs);
    for (const engine of this.engines) this.countOver(engine, true);
    this.metrics.engineMs = untilMs * this.engines.length;
  }

  /** Zone of a host. */
  zoneOf(host: number): number {
    return host % this.fleet.zones;
  }

  /** One-way delay between two zones, in milliseconds. */
  delayMs(a: number, b: number): number {
    return a === b ? this.fleet.zoneDelayMs : this.fleet.crossDelayMs;
  }

  /** Whether a request was answered, refused or given up. */
  isDone(req: SimRequest): boolean {
    return this.done.has(req.id);
  }

  /** Execution of a request that has not ended, if there is one. */
  runningAttempt(requestId: string): Attempt | undefined {
    return this.running.get(requestId);
  }

  /** All executions that have not ended. */
  runningAttempts(): Iterable<Attempt> {
    return this.running.values();
  }

  /** Sends a request to an engine. */
  send(
    req: SimRequest,
    engine: SimEngine,
    number: number,
    permitId?: string,
  ): Attempt {
    const attempt: Attempt = {
      id: `${req.id}.${++this.sequence}`,
      req,
      engine,
      sentMs: this.nowMs,
      number,
      permitId,
      firstTokenMs: undefined,
      cachedTokens: 0,
      tokens: 0,
      ended: false,
    };
    this.attempts.set(attempt.id, attempt);
    this.running.set(req.id, attempt);
    const delay = this.link(attempt);
    this.events.at(this.nowMs + delay, () => this.submit(attempt, delay));
    return attempt;
  }

  /** Cancels an execution; the policy is told when the engine has confirmed it. */
  cancel(attempt: Attempt): void {
    const delay = this.link(attempt);
    this.events.at(this.nowMs + delay, () => {
      attempt.engine.model.cancel(attempt.id, this.nowMs);
      this.countOver(attempt.engine);
      this.wake(attempt.engine);
      this.events.at(this.nowMs + delay, () => this.end(attempt, 'cancelled'));
    });
  }

  /** Ends a request without an answer. */
  giveUp(req: SimRequest, reason: string): void {
    if (this.done.has(req.id)) return;
    this.done.add(req.id);
    this.metrics.ended(req, false, reason);
  }

  /** Calls a function at regular times. */
  every(periodMs: number, untilMs: number, run: () => void): void {
    const next = (): void => {
      run();
      if (this.nowMs + periodMs < untilMs) {
        this.events.at(this.nowMs + periodMs, next);
      }
    };
    this.events.at(this.nowMs + periodMs, next);
  }

  /** Sets a factor on an engine's step time. */
  slow(engine: SimEngine, factor: number): void {
    engine.slowdown = factor;
    engine.model.setSlowdown(factor);
  }

  /** Makes sure that the engine is advanced when it has something to report. */
  wake(engine: SimEngine): void {
    const next = engine.model.nextEventMs();
    if (next === undefined || next >= engine.wakeAtMs) return;
    engine.wakeAtMs = next;
    this.events.at(next, () => {
      if (engine.wakeAtMs !== next) return;
      engine.wakeAtMs = Infinity;
      for (const event of engine.model.advance(this.nowMs)) {
        this.engineEvent(engine, event);
      }
      this.countOver(engine);
      this.wake(engine);
    });
  }

  private link(attempt: Attempt): number {
    return this.delayMs(this.zoneOf(attempt.req.host), attempt.engine.zone);
  }

  private submit(attempt: Attempt, delay: number): void {
    const {engine, req} = attempt;
    if (attempt.ended) return;
    const now = this.nowMs;
    const wasCold = engine.model.isCold(now);
    const before = engine.model.inFlight;
    const taken = engine.model.submit(
      {
        id: attempt.id,
        promptTokens: req.promptTokens,
        outputTokens: req.outputTokens,
        prefixes: req.prefixes,
      },
      now,
    );
    if (taken && wasCold && before + 1 > engine.cfg.coldConcurrency) {
      this.metrics.overCold++;
    }
    this.countOver(engine);
    this.wake(engine);
    if (!taken) {
      this.events.at(now + delay, () => this.end(attempt, 'not-started'));
    }
  }

  private engineEvent(engine: SimEngine, event: EngineEvent): void {
    if (event.kind === 'crashed') {
      this.metrics.crashes++;
      return;
    }
    const attempt = this.attempts.get(event.id);
    if (!attempt) return;
    const atMs = this.nowMs + this.link(attempt);
    if (event.kind === 'firstToken') {
      attempt.cachedTokens = event.cachedTokens;
      this.countPrefill(attempt);
      this.events.at(atMs, () => {
        if (attempt.ended) return;
        attempt.firstTokenMs = this.nowMs - attempt.sentMs;
        this.policy.progress(attempt);
      });
    } else if (event.kind === 'token') {
      attempt.tokens += event.count;
    } else if (event.kind === 'finished') {
      this.events.at(atMs, () => this.end(attempt, 'ok'));
    } else {
      this.events.at(atMs, () =>
        this.end(attempt, event.reason === 'crashed' ? 'broken' : 'failed'),
      );
    }
  }

  private countPrefill(attempt: Attempt): void {
    const {req, cachedTokens} = attempt;
    let reusable = 0;
    for (let i = 0; i < req.sharedBlocks; i++) {
      const last = this.processedAt.get(req.prefixes[i]);
      if (last !== undefined && this.nowMs - last < reuseMs) {
        reusable += blockTokens;
      }
      this.processedAt.set(req.prefixes[i], this.nowMs);
    }
    if (this.metrics.counts(req)) {
      this.metrics.avoidable += Math.max(0, reusable - cachedTokens);
    }
  }

  private end(attempt: Attempt, result: AttemptOutcome['result']): void {
    if (attempt.ended) return;
    attempt.ended = true;
    this.attempts.delete(attempt.id);
    const {req} = attempt;
    if (this.running.get(req.id) === attempt) this.running.delete(req.id);
    const good = result === 'ok' && this.isGood(attempt);
    if (
      !good &&
      attempt.firstTokenMs !== undefined &&
      this.metrics.counts(req)
    ) {
      this.metrics.undelivered += req.promptTokens - attempt.cachedTokens;
    }
    if (result === 'ok' && !this.done.has(req.id)) {
      this.done.add(req.id);
      this.metrics.ended(req, good, 'late-first-token');
    }
    this.policy.ended(attempt, {
      result,
      firstTokenMs: attempt.firstTokenMs,
      totalMs: this.nowMs - attempt.sentMs,
      tokens: result === 'ok' ? req.outputTokens : attempt.tokens,
      cachedTokens: attempt.cachedTokens,
    });
    if (result === 'ok' || result === 'cancelled' || this.isDone(req)) return;
    if (attempt.number + 1 >= maxAttempts) {
      this.giveUp(req, 'retries-exhausted');
      return;
    }
    this.metrics.retries++;
    this.policy.offer(req, attempt.number + 1, [engineName(attempt)]);
  }

  private isGood(attempt: Attempt): boolean {
    const {req} = attempt;
    if (this.done.has(req.id)) return false;
    if (this.nowMs > req.arrivalMs + req.timeoutMs) return false;
    if (req.firstTokenMs === undefined) return true;
    const firstMs = attempt.sentMs + (attempt.firstTokenMs ?? Infinity);
    return firstMs - req.arrivalMs <= req.firstTokenMs;
  }

  private expire(req: SimRequest): void {
    if (this.done.has(req.id)) return;
    const attempt = this.running.get(req.id);
    this.giveUp(req, attempt ? 'late-answer' : 'late-waiting');
    if (attempt) this.cancel(attempt);
    else this.policy.callerLeft(req);
  }

  private countOver(engine: SimEngine, final = false): void {
    const over = engine.model.inFlight > engine.maxConcurrency;
    if (engine.overSinceMs !== undefined && (!over || final)) {
      this.metrics.overWarmMs += this.nowMs - engine.overSinceMs;
      engine.overSinceMs = undefined;
    } else if (over && engine.overSinceMs === undefined) {
      engine.overSinceMs = this.nowMs;
    }
  }
}

function engineName(attempt: Attempt): string {
  return attempt.engine.name;
}

/** Creates an engine that is warm at time 0 and cold after every later start. */
function warmEngine(cfg: EngineModelCfg, seed: number): EngineModel {
  const own = {...cfg, coldMs: 0};
  const model = new EngineModel(own, seededRandom(seed));
  own.coldMs = cfg.coldMs;
  return model;
}
