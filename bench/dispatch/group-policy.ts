import {GroupScheduler} from '../../src/request/scheduler/group-scheduler.js';
import type {SchedulerConfig} from '../../src/request/scheduler/scheduler-config.js';
import type {
  AttemptOutcome,
  CacheEvent,
  Decision,
  LoadReport,
  QueuedRequest,
  TargetView,
} from '../../src/request/scheduler/types.js';
import {Policy} from './policy.js';
import type {Attempt, SimEngine, Simulation} from './simulation.js';
import type {SimRequest} from './workload.js';

/** Age of the free slots that hosts know of other zones' owners, in milliseconds. */
const summaryMs = 1000;
/** Time until a new owner has replaced one that died, in milliseconds. */
const takeoverMs = 2000;
const spillReasons = new Set([
  'no-target',
  'queue-full',
  'deadline-unreachable',
]);

/** Queue lengths of the bench, for a group of four to twelve engines. */
export const benchScheduler: Partial<SchedulerConfig> = {
  firstTokenTargetMs: 520,
  tokenTargetMs: 58,
  queueLimits: [512, 512, 512, 512],
  queueTotal: 1024,
};

interface Group {
  readonly index: number;
  readonly zone: number;
  readonly engines: readonly SimEngine[];
  scheduler: GroupScheduler;
  up: boolean;
  generation: number;
  /** Free slots as other hosts know them. */
  summary: number;
}

interface Pending {
  readonly req: SimRequest;
  readonly attempt: number;
  readonly avoid: readonly string[];
  readonly spilled: boolean;
  group: Group;
}

/** Drives the real scheduler: one for each zone, or one at each host with a static share. */
export class GroupPolicy extends Policy {
  private groups: Group[] = [];
  private readonly pending = new Map<string, Pending>();
  private readonly permitGroup = new Map<string, Group>();

  /**
   * @param mode - `owner`: one owner per zone; `local`: one scheduler per host with its part of
   *   every limit.
   */
  constructor(private readonly mode: 'owner' | 'local') {
    super();
  }

  override attach(sim: Simulation): void {
    super.attach(sim);
    const count = this.mode === 'owner' ? sim.fleet.zones : sim.fleet.hosts;
    for (let index = 0; index < count; index++) {
      const zone = this.mode === 'owner' ? index : sim.zoneOf(index);
      const engines = sim.engines.filter(
        engine => this.mode === 'local' || engine.zone === zone,
      );
      const group: Group = {
        index,
        zone,
        engines,
        scheduler: new GroupScheduler({
          ...benchScheduler,
          owner: `g${index}-0`,
        }),
        up: true,
        generation: 0,
        summary: 0,
      };
      this.groups.push(group);
      this.apply(group, group.scheduler.setTargets(this.views(group), 0));
    }
  }

  /** Kills the owner of a zone; another host takes over after a while. */
  killOwner(index: number): void {
    const group = this.groups[index];
    group.up = false;
    this.sim.events.at(this.sim.nowMs + takeoverMs, () => this.takeOver(group));
  }

  override offer(
    req: SimRequest,
    attempt: number,
    avoid: readonly string[],
  ): void {
    const group = this.groups[this.homeOf(req)];
    this.ask({req, attempt, avoid, spilled: false, group});
  }

  override ended(attempt: Attempt, outcome: AttemptOutcome): void {
    const {permitId, req} = attempt;
    const group = this.permitGroup.get(permitId ?? '');
    if (!group || !permitId) return;
    this.permitGroup.delete(permitId);
    this.send(req, group, scheduler =>
      scheduler.complete(permitId, outcome, this.sim.nowMs),
    );
    const preempted = outcome.result === 'cancelled' && !this.sim.isDone(req);
    if (preempted) {
      this.sim.metrics.preemptions++;
      this.offer(req, attempt.number, []);
    }
  }

  override progress(attempt: Attempt): void {
    const {permitId, req, tokens, firstTokenMs} = attempt;
    const group = this.permitGroup.get(permitId ?? '');
    // Whole answers are held back, so nothing is reported of them until their end.
    if (!group || !permitId || !isStreamed(req)) return;
    this.send(req, group, scheduler =>
      scheduler.progress(permitId, tokens, firstTokenMs, this.sim.nowMs),
    );
  }

  override callerLeft(req: SimRequest): void {
    const pending = this.pending.get(req.id);
    if (!pending) return;
    this.pending.delete(req.id);
    this.send(req, pending.group, scheduler =>
      scheduler.cancel(req.id, this.sim.nowMs),
    );
  }

  override loadReport(engine: SimEngine, report: LoadReport): void {
    for (const group of this.groups) {
      if (!group.up || !group.engines.includes(engine)) continue;
      const {scheduler} = group;
      this.apply(
        group,
        scheduler.loadReport(engine.name, report, this.sim.nowMs),
      );
    }
  }

  override cacheEvent(engine: SimEngine, event: CacheEvent): void {
    for (const group of this.groups) {
      if (!group.up || !group.engines.includes(engine)) continue;
      const {scheduler} = group;
      this.apply(
        group,
        scheduler.cacheEvent(engine.name, event, this.sim.nowMs),
      );
    }
  }

  override tick(): void {
    const {nowMs} = this.sim;
    for (const group of this.groups) {
      if (!group.up) continue;
      this.apply(group, group.scheduler.tick(nowMs));
      if (nowMs % summaryMs === 0) group.summary = group.scheduler.freeSlots;
    }
  }

  private homeOf(req: SimRequest): number {
    return this.mode === 'owner' ? this.sim.zoneOf(req.host) : req.host;
  }

  private views(group: Group): TargetView[] {
    const parts = this.mode === 'owner' ? 1 : this.sim.fleet.hosts;
    return group.engines.map(engine => ({
      name: engine.name,
      service: 'chat',
      zone: `z${engine.zone}`,
      address: engine.name,
      version: 'v1',
      hardware: `x${engine.cfg.speed}`,
      // A static share cannot be less than one request, not even of a cold limit.
      maxConcurrency: Math.max(1, Math.floor(engine.maxConcurrency / parts)),
      coldConcurrency: Math.max(
        1,
        Math.floor(engine.cfg.coldConcurrency / parts),
      ),
      usable: true,
    }));
  }

  private delay(host: number, group: Group): number {
    if (this.mode === 'local') return 0;
    return this.sim.delayMs(this.sim.zoneOf(host), group.zone);
  }

  private ask(pending: Pending): void {
    const {req, group} = pending;
    if (this.sim.isDone(req)) return;
    this.pending.set(req.id, pending);
    this.send(req, group, scheduler =>
      this.pending.get(req.id) === pending
        ? scheduler.offer(this.toQueued(pending), this.sim.nowMs)
        : [],
    );
  }

  private toQueued({req, attempt, avoid}: Pending): QueuedRequest {
    return {
      id: req.id,
      host: `h${req.host}`,
      service: 'chat',
      route: '/v1/chat/completions',
      organisation: req.organisation,
      weight: 1,
      tier: req.tier,
      idempotent: true,
      timeoutMs: req.arrivalMs + req.timeoutMs - this.sim.nowMs,
      promptTokens: req.promptTokens,
      maxTokens: req.maxTokens,
      wholeAnswer: !isStreamed(req),
      prefixes: req.prefixes,
      attempt,
      avoid,
    };
  }

  /** Sends a message to a group's scheduler; it is lost if the owner is down or replaced. */
  private send(
    req: SimRequest,
    group: Group,
    run: (scheduler: GroupScheduler) => Decision[],
  ): void {
    const {generation} = group;
    const at = this.sim.nowMs + this.delay(req.host, group);
    this.sim.events.at(at, () => {
      if (!group.up || group.generation !== generation) return;
      this.apply(group, run(group.scheduler));
    });
  }

  private apply(group: Group, decisions: readonly Decision[]): void {
    const {generation} = group;
    for (const decision of decisions) {
      const pending =
        decision.kind === 'preempt'
          ? undefined
          : this.pending.get(decision.requestId);
      const host = pending?.req.host ?? 0;
      const at = this.sim.nowMs + this.delay(host, group);
      if (decision.kind === 'grant') {
        this.permitGroup.set(decision.permitId, group);
      }
      this.sim.events.at(at, () => this.receive(group, generation, decision));
    }
  }

  private receive(group: Group, generation: number, decision: Decision): void {
    if (decision.kind === 'preempt') {
      this.preempt(group, decision);
      return;
    }
    const pending = this.pending.get(decision.requestId);
    if (!pending || pending.group !== group) {
      if (decision.kind === 'grant') this.giveBack(group, decision.permitId);
      return;
    }
    this.pending.delete(decision.requestId);
    const {req, attempt} = pending;
    if (decision.kind === 'grant') {
      const engine = this.sim.engines.find(
        ({name}) => name === decision.target.name,
      );
      if (engine) this.sim.send(req, engine, attempt, decision.permitId);
      return;
    }
    const other = this.spillTo(pending, decision.reason);
    if (other) this.ask({...pending, spilled: true, group: other});
    else this.sim.giveUp(req, decision.reason);
  }

  /** Returns a permit whose request has left in the meantime. */
  private giveBack(group: Group, permitId: string): void {
    this.permitGroup.delete(permitId);
    if (!group.up) return;
    const outcome = {result: 'cancelled', totalMs: 0, tokens: 0} as const;
    this.apply(
      group,
      group.scheduler.complete(permitId, outcome, this.sim.nowMs),
    );
  }

  private spillTo(pending: Pending, reason: string): Group | undefined {
    if (this.mode === 'local' || pending.spilled || !spillReasons.has(reason)) {
      return undefined;
    }
    return this.groups
      .filter(group => group !== pending.group && group.up)
      .sort((a, b) => b.summary - a.summary)[0];
  }

  private preempt(
    group: Group,
    {requestId, permitId, force}: Decision & {kind: 'preempt'},
  ): void {
    const attempt = this.attemptOf(requestId, permitId);
    if (!attempt) return;
    const {req} = attempt;
    const relayed = isStreamed(req) && attempt.firstTokenMs !== undefined;
    if (relayed && !force) {
      this.send(req, group, scheduler =>
        scheduler.declined(permitId, this.sim.nowMs),
      );
      return;
    }
    if (relayed) this.sim.giveUp(req, 'broken-preempted');
    this.sim.cancel(attempt);
  }

  private attemptOf(requestId: string, permitId: string): Attempt | undefined {
    const attempt = this.sim.runningAttempt(requestId);
    return attempt?.permitId === permitId ? attempt : undefined;
  }

  private takeOver(group: Group): void {
    const {nowMs} = this.sim;
    group.generation++;
    group.up = true;
    group.scheduler = new GroupScheduler({
      ...benchScheduler,
      owner: `g${group.index}-${group.generation}`,
      recovering: true,
    });
    const {scheduler} = group;
    this.apply(group, scheduler.setTargets(this.views(group), nowMs));
    for (const attempt of this.sim.runningAttempts()) {
      const {permitId} = attempt;
      if (!permitId || this.permitGroup.get(permitId) !== group) continue;
      const permit = {
        permitId,
        request: this.toQueued({
          req: attempt.req,
          attempt: attempt.number,
          avoid: [],
          spilled: false,
          group,
        }),
        target: attempt.engine.name,
        ageMs: nowMs - attempt.sentMs,
        tokens: attempt.tokens,
      };
      this.apply(group, scheduler.adopt(permit, nowMs));
    }
    this.apply(group, scheduler.recovered(nowMs));
    for (const pending of this.pending.values()) {
      if (pending.group === group) this.ask(pending);
    }
  }
}

/** Share of answers that are streams, relayed from their first token on; that of the demo. */
const streamedShare = 0.6;

function isStreamed({id}: SimRequest): boolean {
  let hash = 0;
  for (let i = 0; i < id.length; i++) {
    hash = (hash * 31 + id.charCodeAt(i)) % 1009;
  }
  return hash < streamedShare * 1009;
}
