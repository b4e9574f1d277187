import type {AttemptOutcome} from '../../src/request/scheduler/types.js';
import {Policy} from './policy.js';
import type {Attempt, SimEngine} from './simulation.js';
import {blockTokens, type SimRequest} from './workload.js';

/** Times that requests wait for a cached prefix, the same as the scheduler's. */
const topTierHoldMs = 52;
const holdMs = 520;

interface Item {
  readonly req: SimRequest;
  readonly attempt: number;
}

/**
 * One queue over all engines without delay: tier, then earliest deadline; knows the true lengths,
 * speeds, caches and loads, and runs nothing that cannot be answered in time.
 */
export class OraclePolicy extends Policy {
  private readonly queues: Item[][] = [[], [], [], []];
  private readonly running = new Map<SimEngine, Set<Attempt>>();
  private readonly cached = new Map<SimEngine, Map<string, number>>();
  private readonly cancelling = new Set<Attempt>();

  override offer(req: SimRequest, attempt: number): void {
    const queue = this.queues[req.tier];
    const deadline = deadlineOf(req);
    let at = queue.length;
    while (at > 0 && deadlineOf(queue[at - 1].req) > deadline) at--;
    queue.splice(at, 0, {req, attempt});
    this.serve();
  }

  override ended(attempt: Attempt, outcome: AttemptOutcome): void {
    this.cancelling.delete(attempt);
    this.on(attempt.engine).delete(attempt);
    if (outcome.result === 'cancelled' && !this.sim.isDone(attempt.req)) {
      this.sim.metrics.preemptions++;
      this.offer(attempt.req, attempt.number);
    }
    this.serve();
  }

  override callerLeft(req: SimRequest): void {
    const queue = this.queues[req.tier];
    const at = queue.findIndex(item => item.req === req);
    if (at >= 0) queue.splice(at, 1);
  }

  override tick(): void {
    this.serve();
  }

  private serve(): void {
    for (const queue of this.queues) {
      for (let at = 0; at < queue.length;) {
        const free = this.sim.engines.filter(engine => this.hasRoom(engine));
        if (free.length === 0) break;
        const {req, attempt} = queue[at];
        const best = this.best(req, free);
        if (this.holds(req, best.engine)) {
          at++;
          continue;
        }
        if (this.sim.nowMs + best.completionMs > deadlineOf(req)) {
          const fastest = this.best(req, this.sim.engines, true);
          if (this.sim.nowMs + fastest.completionMs > deadlineOf(req)) {
            queue.splice(at, 1);
            this.sim.giveUp(req, 'deadline-unreachable');
          } else {
            at++;
          }
          continue;
        }
        queue.splice(at, 1);
        this.start(req, best.engine, attempt);
      }
    }
    this.preempt();
  }

  /** Whether it is worth waiting a little for a busy engine that holds more of the prompt. */
  private holds(req: SimRequest, engine: SimEngine): boolean {
    const waited = this.sim.nowMs - req.arrivalMs;
    if (waited >= (req.tier === 0 ? topTierHoldMs : holdMs)) return false;
    const least = Math.min(
      ...this.sim.engines.map(other => this.uncached(req, other)),
    );
    return this.uncached(req, engine) - least >= blockTokens;
  }

  private start(req: SimRequest, engine: SimEngine, number: number): void {
    const known = this.cached.get(engine) ?? new Map<string, number>();
    for (const prefix of req.prefixes) known.set(prefix, this.sim.nowMs);
    this.cached.set(engine, known);
    this.on(engine).add(this.sim.send(req, engine, number));
  }

  /** Frees slots for waiting top-tier requests at the cost of the least progress. */
  private preempt(): void {
    let needed = this.queues[0].length - this.cancelling.size;
    if (needed <= 0) return;
    const victims = this.sim.engines
      .flatMap(engine => [...this.on(engine)])
      .filter(({req}) => req.tier > 0)
      .filter(attempt => !this.cancelling.has(attempt))
      .sort((a, b) => b.req.tier - a.req.tier || a.tokens - b.tokens);
    for (const victim of victims) {
      if (needed-- <= 0) break;
      this.cancelling.add(victim);
      this.sim.cancel(victim);
    }
  }

  private hasRoom(engine: SimEngine): boolean {
    const {model, cfg, maxConcurrency} = engine;
    if (!model.isUp) return false;
    const cold = model.isCold(this.sim.nowMs);
    const limit = cold ? cfg.coldConcurrency : maxConcurrency;
    return Math.max(this.on(engine).size, model.inFlight) < limit;
  }

  private best(
    req: SimRequest,
    engines: readonly SimEngine[],
    empty = false,
  ): {engine: SimEngine; completionMs: number} {
    let best = {engine: engines[0], completionMs: Infinity};
    let bestScore = Infinity;
    for (const engine of engines) {
      const {cfg, model} = engine;
      const inFlight = empty ? 0 : this.on(engine).size;
      const cold = model.isCold(this.sim.nowMs) ? cfg.coldFactor : 1;
      const factor = (engine.slowdown * cold) / cfg.speed;
      const prompt =
        factor * cfg.perPrefillTokenMs * this.uncached(req, engine);
      const stepMs = factor * (cfg.stepMs + cfg.perRequestMs * (inFlight + 1));
      const completionMs = prompt + stepMs * (req.outputTokens + 1);
      const others =
        inFlight * (prompt + factor * cfg.perRequestMs * req.outputTokens);
      if (completionMs + others < bestScore) {
        bestScore = completionMs + others;
        best = {engine, completionMs};
      }
    }
    return best;
  }

  private uncached(req: SimRequest, engine: SimEngine): number {
    const known = this.cached.get(engine);
    let count = 0;
    while (
      count < req.prefixes.length &&
      this.sim.nowMs - (known?.get(req.prefixes[count]) ?? -Infinity) < 30_000
    ) {
      count++;
    }
    return Math.max(1, req.promptTokens - count * blockTokens);
  }

  private on(engine: SimEngine): Set<Attempt> {
    let attempts = this.running.get(engine);
    if (!attempts) this.running.set(engine, (attempts = new Set()));
    return attempts;
  }
}

function deadlineOf(req: SimRequest): number {
  return req.arrivalMs + req.timeoutMs;
}
