import type {CacheEvent, LoadReport} from '../src/request/scheduler/types.js';
import type {
  EngineEvent,
  EngineFailure,
  EngineFault,
  EngineModelCfg,
  EngineRequest,
} from './engine-model-types.js';
import {LoadHistory} from './load-history.js';
import {PrefixCache} from './prefix-cache.js';
import type {Random} from './seeded-random.js';

export * from './engine-model-types.js';

interface Running {
  readonly req: EngineRequest;
  readonly cachedTokens: number;
  prefillLeft: number;
  /** Prompt tokens processed in the current step. */
  chunk: number;
  tokens: number;
  /** Tokens not yet reported by an event. */
  unreported: number;
  /** Token at which the request fails, if it does. */
  readonly failAt: number | undefined;
  /** Steps to sit out, for a slow fault on one route. */
  skip: number;
  active: boolean;
}

/**
 * Model of an engine with continuous batching, in virtual time and without timers: it admits every
 * request in order of arrival, knows no priorities, and does what its configuration and the
 * seed of its random numbers determine. A caller advances it to {@link EngineModel.nextEventMs}.
 */
export class EngineModel {
  private readonly cache: PrefixCache;
  private readonly waiting: EngineRequest[] = [];
  private readonly running = new Map<string, Running>();
  private events: EngineEvent[] = [];
  private readonly history: LoadHistory;
  private stepEndMs: number | undefined;
  private startAtMs: number | undefined;
  private up = true;
  private epoch = 1;
  private coldUntilMs: number;
  private coldTokensLeft: number;
  private reservedTokens = 0;
  private slowdown = 1;
  private fault: EngineFault | undefined;
  private nowMs = 0;

  /**
   * Starts an engine at time 0.
   *
   * @param cfg - Properties of the engine.
   * @param random - Source of random numbers.
   */
  constructor(
    private readonly cfg: EngineModelCfg,
    private readonly random: Random,
  ) {
    this.cache = new PrefixCache(
      cfg.cacheEventDelayMs,
      cfg.cacheEventGapShare,
      random,
    );
    this.history = new LoadHistory(cfg.loadLagMs);
    this.coldUntilMs = cfg.startsCold === false ? 0 : cfg.coldMs;
    this.coldTokensLeft = cfg.coldTokens;
  }

  /** Whether the engine takes requests. */
  get isUp(): boolean {
    return this.up;
  }

  /** Requests that run or wait in the engine. */
  get inFlight(): number {
    return this.running.size + this.waiting.length;
  }

  /** Whether the engine is cold at a time. */
  isCold(nowMs: number): boolean {
    return nowMs < this.coldUntilMs && this.coldTokensLeft > 0;
  }

  /**
   * Hands in a request.
   *
   * @returns Whether the engine took it; an engine that is down takes none.
   */
  submit(req: EngineRequest, nowMs: number): boolean {
    this.runTo(nowMs);
    if (!this.up) return false;
    if (req.promptTokens + req.outputTokens > this.cfg.memoryTokens) {
      this.fail(req.id, 'too-long');
      return true;
    }
    this.waiting.push(req);
    const marker = this.fault?.crashMarker;
    if (
      marker !== undefined &&
      req.content?.includes(marker) &&
      this.faultApplies(req)
    ) {
      this.crash();
    } else if (this.isCold(nowMs) && this.inFlight > this.cfg.coldConcurrency) {
      if (this.cfg.coldOverload === 'crash') {
        this.crash();
      } else {
        this.waiting.pop();
        this.fail(req.id, 'overloaded');
      }
    }
    this.startStep();
    this.sample();
    return true;
  }

  /** Removes a request; its events end. Returns whether it was in the engine. */
  cancel(id: string, nowMs: number): boolean {
    this.runTo(nowMs);
    const index = this.waiting.findIndex(req => req.id === id);
    if (index >= 0) this.waiting.splice(index, 1);
    const found = index >= 0 || this.running.has(id);
    this.remove(id);
    this.sample();
    return found;
  }

  /** Time at which {@link advance} has something to report, if anything is going on. */
  nextEventMs(): number | undefined {
    if (this.events.length > 0) return this.nowMs;
    return this.stepEndMs ?? this.startAtMs;
  }

  /** Advances the model and takes the events up to that time. */
  advance(nowMs: number): EngineEvent[] {
    this.runTo(nowMs);
    for (const run of this.running.values()) this.reportTokens(run);
    const events = this.events;
    this.events = [];
    return events;
  }

  /** Load as the engine reports it, `loadLagMs` old. */
  loadReport(nowMs: number): LoadReport {
    this.runTo(nowMs);
    return this.history.report(this.epoch, nowMs);
  }

  /** Takes the cache events that can be read by now. */
  cacheEvents(nowMs: number): CacheEvent[] {
    this.runTo(nowMs);
    return this.cache.take(nowMs);
  }

  /** Ends all requests as crashed and starts the engine again, cold and with an empty cache. */
  restart(nowMs: number): void {
    this.runTo(nowMs);
    if (this.up) this.crash();
    this.start();
  }

  /** Crashes the engine; it starts again after `restartMs`. */
  crashNow(nowMs: number): void {
    this.runTo(nowMs);
    if (this.up) this.crash();
  }

  /** Makes a running engine cold again; requests in it go on. */
  goCold(nowMs: number): void {
    this.runTo(nowMs);
    this.coldUntilMs = nowMs + this.cfg.coldMs;
    this.coldTokensLeft = this.cfg.coldTokens;
  }

  /** Makes every further step this many times slower. */
  setSlowdown(factor: number): void {
    this.slowdown = factor;
  }

  /** Sets the fault of the version that runs. */
  setFault(fault: EngineFault | undefined): void {
    this.fault = fault;
  }

  private runTo(nowMs: number): void {
    if (this.startAtMs !== undefined && this.startAtMs <= nowMs) {
      this.nowMs = this.startAtMs;
      this.start();
    }
    while (this.stepEndMs !== undefined && this.stepEndMs <= nowMs) {
      this.nowMs = this.stepEndMs;
      this.stepEndMs = undefined;
      this.endStep();
      this.startStep();
    }
    this.nowMs = Math.max(this.nowMs, nowMs);
  }

  private startStep(): void {
    if (this.stepEndMs !== undefined || !this.up) return;
    this.admit();
    if (this.running.size === 0) return;
    let budget = this.cfg.maxPrefillTokens;
    let decoding = 0;
    for (const run of this.running.values()) {
      run.active = run.skip === 0;
      run.chunk = 0;
      if (!run.active) {
        run.skip--;
        continue;
      }
      if (run.prefillLeft > 0) {
        run.chunk = Math.min(run.prefillLeft, budget);
        budget -= run.chunk;
      } else {
        decoding++;
      }
      run.skip = this.stepsToSkip(run.req);
    }
    this.stepEndMs = this.nowMs + this.stepCost(decoding, budget);
  }

  private stepCost(decoding: number, budget: number): number {
    const {cfg, fault} = this;
    const work =
      cfg.stepMs +
      cfg.perRequestMs * decoding +
      cfg.perPrefillTokenMs * (cfg.maxPrefillTokens - budget);
    let factor = this.slowdown;
    if (this.isCold(this.nowMs)) factor *= cfg.coldFactor;
    if (fault?.slowFactor && fault.route === undefined && this.faultIsOn()) {
      factor *= fault.slowFactor;
    }
    return (work * factor) / cfg.speed;
  }

  private stepsToSkip(req: EngineRequest): number {
    const {fault} = this;
    if (!fault?.slowFactor || fault.route === undefined) return 0;
    return this.faultApplies(req) ? Math.round(fault.slowFactor) - 1 : 0;
  }

  private endStep(): void {
    for (const run of [...this.running.values()]) {
      if (!run.active) continue;
      if (run.prefillLeft > 0) {
        run.prefillLeft -= run.chunk;
        if (run.prefillLeft > 0 || run.chunk === 0) continue;
        this.cache.store(run.req.prefixes, this.nowMs);
        this.fitCache();
      }
      this.generate(run);
    }
    this.sample();
  }

  private generate(run: Running): void {
    const {id, outputTokens} = run.req;
    if (run.failAt === run.tokens) return this.fail(id, 'fault');
    run.tokens++;
    run.unreported++;
    this.coldTokensLeft--;
    if (run.tokens === 1) {
      const {cachedTokens} = run;
      this.events.push({
        kind: 'firstToken',
        id,
        atMs: this.nowMs,
        cachedTokens,
      });
    }
    if (run.tokens < outputTokens) return;
    this.reportTokens(run);
    this.remove(id);
    this.events.push({
      kind: 'finished',
      id,
      atMs: this.nowMs,
      tokens: run.tokens,
      cachedTokens: run.cachedTokens,
    });
  }

  /** Moves waiting requests into the batch, in order, as long as memory allows. */
  private admit(): void {
    const {cfg} = this;
    while (this.waiting.length > 0) {
      const req = this.waiting[0];
      const need = req.promptTokens + req.outputTokens;
      if (this.reservedTokens + need > cfg.memoryTokens) return;
      this.waiting.shift();
      const cachedTokens = Math.min(
        this.cache.match(req.prefixes) * cfg.blockTokens,
        req.promptTokens - 1,
      );
      this.reservedTokens += need;
      this.running.set(req.id, {
        req,
        cachedTokens,
        prefillLeft: req.promptTokens - cachedTokens,
        chunk: 0,
        tokens: 0,
        unreported: 0,
        failAt: this.drawFailure(req),
        skip: 0,
        active: true,
      });
      this.fitCache();
    }
  }

  private drawFailure(req: EngineRequest): number | undefined {
    const share = this.fault?.failShare;
    if (!share || !this.faultApplies(req)) return undefined;
    if (this.random() >= share) return undefined;
    return Math.floor(this.random() * req.outputTokens);
  }

  private faultIsOn(): boolean {
    const {aboveBatch = -1, fromMs = 0} = this.fault ?? {};
    return this.inFlight > aboveBatch && this.nowMs >= fromMs;
  }

  private faultApplies(req: EngineRequest): boolean {
    const route = this.fault?.route;
    return this.faultIsOn() && (route === undefined || route === req.route);
  }

  /** Cached blocks get the memory that no request has reserved. */
  private fitCache(): void {
    const free = this.cfg.memoryTokens - this.reservedTokens;
    this.cache.shrink(Math.floor(free / this.cfg.blockTokens), this.nowMs);
  }

  private reportTokens(run: Running): void {
    if (run.unreported === 0) return;
    const {id} = run.req;
    const count = run.unreported;
    this.events.push({kind: 'token', id, atMs: this.nowMs, count});
    run.unreported = 0;
  }

  private remove(id: string): void {
    const run = this.running.get(id);
    if (!run) return;
    this.running.delete(id);
    this.reservedTokens -= run.req.promptTokens + run.req.outputTokens;
  }

  private fail(id: string, reason: EngineFailure): void {
    const run = this.running.get(id);
    if (run) this.reportTokens(run);
    this.remove(id);
    this.events.push({kind: 'failed', id, atMs: this.nowMs, reason});
  }

  private crash(): void {
    const ids = [...this.running.keys(), ...this.waiting.map(req => req.id)];
    this.waiting.length = 0;
    for (const id of ids) this.fail(id, 'crashed');
    this.events.push({kind: 'crashed', atMs: this.nowMs});
    this.up = false;
    this.stepEndMs = undefined;
    const {restartMs} = this.cfg;
    this.startAtMs =
      restartMs === undefined ? undefined : this.nowMs + restartMs;
    this.cache.clear(this.nowMs);
    this.sample();
  }

  private start(): void {
    this.up = true;
    this.startAtMs = undefined;
    this.epoch++;
    this.coldUntilMs = this.nowMs + this.cfg.coldMs;
    this.coldTokensLeft = this.cfg.coldTokens;
    this.sample();
  }

  private sample(): void {
    const {memoryTokens, blockTokens} = this.cfg;
    const used = this.reservedTokens + this.cache.size * blockTokens;
    this.history.add(
      {
        running: this.running.size,
        waiting: this.waiting.length,
        cacheUse: Math.min(1, used / memoryTokens),
        epoch: this.epoch,
      },
      this.nowMs,
    );
  }
}
