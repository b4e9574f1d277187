import type {Random} from '../../stand-ins/seeded-random.js';
import type {
  AttemptOutcome,
  LoadReport,
} from '../../src/request/scheduler/types.js';
import {Policy} from './policy.js';
import type {Attempt, SimEngine, Simulation} from './simulation.js';
import type {SimRequest} from './workload.js';

/** Time for which a host avoids an engine that refused a connection. */
const avoidMs = 1000;

/** Sends each request at once, without a queue; hosts know nothing of each other. */
abstract class DirectPolicy extends Policy {
  private readonly downUntil = new Map<string, number>();

  override offer(
    req: SimRequest,
    attempt: number,
    avoid: readonly string[],
  ): void {
    const up = this.sim.engines.filter(
      engine =>
        (this.downUntil.get(key(req.host, engine)) ?? 0) <= this.sim.nowMs,
    );
    const others = up.filter(engine => !avoid.includes(engine.name));
    const usable = others.length > 0 ? others : up;
    if (usable.length === 0) {
      this.sim.giveUp(req, 'no-target');
      return;
    }
    const engine = this.pick(req.host, usable);
    this.sent(req.host, engine);
    this.sim.send(req, engine, attempt);
  }

  override ended(attempt: Attempt, outcome: AttemptOutcome): void {
    const {req, engine} = attempt;
    if (outcome.result === 'not-started' || outcome.result === 'broken') {
      this.downUntil.set(key(req.host, engine), this.sim.nowMs + avoidMs);
    }
    this.released(req.host, engine);
  }

  protected abstract pick(
    host: number,
    engines: readonly SimEngine[],
  ): SimEngine;

  protected sent(_host: number, _engine: SimEngine): void {}

  protected released(_host: number, _engine: SimEngine): void {}
}

/** Takes the engines in turn. */
export class RoundRobin extends DirectPolicy {
  private readonly next = new Map<number, number>();

  protected override pick(
    host: number,
    engines: readonly SimEngine[],
  ): SimEngine {
    const turn = this.next.get(host) ?? host;
    this.next.set(host, turn + 1);
    return engines[turn % engines.length];
  }
}

/** Takes the engine with the fewest requests of the same host. */
export class LeastOutstanding extends DirectPolicy {
  private readonly counts = new Map<string, number>();

  protected override pick(
    host: number,
    engines: readonly SimEngine[],
  ): SimEngine {
    const turn = host % engines.length;
    const order = [...engines.slice(turn), ...engines.slice(0, turn)];
    return order.reduce((a, b) =>
      this.load(host, b) < this.load(host, a) ? b : a,
    );
  }

  protected load(host: number, engine: SimEngine): number {
    return this.counts.get(key(host, engine)) ?? 0;
  }

  protected override sent(host: number, engine: SimEngine): void {
    this.counts.set(key(host, engine), this.load(host, engine) + 1);
  }

  protected override released(host: number, engine: SimEngine): void {
    this.counts.set(key(host, engine), this.load(host, engine) - 1);
  }
}

/** Takes the better of two random engines by their last load reports. */
export class TwoChoices extends DirectPolicy {
  private readonly reported = new Map<string, number>();
  private readonly sentSince = new Map<string, number>();

  /**
   * @param random - Chooses the two engines.
   */
  constructor(private readonly random: Random) {
    super();
  }

  override attach(sim: Simulation): void {
    super.attach(sim);
  }

  override loadReport(engine: SimEngine, report: LoadReport): void {
    this.reported.set(engine.name, report.running + report.waiting);
    for (let host = 0; host < this.sim.fleet.hosts; host++) {
      this.sentSince.delete(key(host, engine));
    }
  }

  protected override pick(
    host: number,
    engines: readonly SimEngine[],
  ): SimEngine {
    const a = engines[Math.floor(this.random() * engines.length)];
    const b = engines[Math.floor(this.random() * engines.length)];
    return this.load(host, b) < this.load(host, a) ? b : a;
  }

  protected override sent(host: number, engine: SimEngine): void {
    const name = key(host, engine);
    this.sentSince.set(name, (this.sentSince.get(name) ?? 0) + 1);
  }

  private load(host: number, engine: SimEngine): number {
    return (
      (this.reported.get(engine.name) ?? 0) +
      (this.sentSince.get(key(host, engine)) ?? 0)
    );
  }
}

function key(host: number, engine: SimEngine): string {
  return `${host} ${engine.name}`;
}
