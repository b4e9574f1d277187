import {ManualClock} from '../../stand-ins/manual-clock.js';
import {subscribe} from '../../src/process/subject.js';
import type {VersionCap} from '../../src/request/scheduler/types.js';
import {
  EvidenceStore,
  type EvidenceExport,
} from '../../src/version/evidence/evidence-store.js';
import {StoreEvidenceSource} from '../../src/version/evidence/store-evidence-source.js';
import {VersionEvaluator} from '../../src/version/evidence/version-evaluator.js';
import {RolloutEnvironment} from '../../src/version/rollout/ports.js';
import {RolloutTask} from '../../src/version/rollout/rollout-task.js';
import type {RolloutEntry} from '../../src/version/rollout/rollout-state.js';
import type {
  DeclaredRollout,
  RolloutTarget,
} from '../../src/version/rollout/rollout-view.js';
import {Random} from './random.js';
import type {Scenario} from './scenario.js';
import {engineSlots, parallelLoads, SimEngines} from './sim-engines.js';
import {HostClock, SimLog, SimLogClient, SimMembers} from './sim-host.js';
import {SimTraffic, stepMs} from './sim-traffic.js';
import {StatusCheck} from './status-check.js';

/** Zones of both users. */
export const zones = ['zone-a', 'zone-b', 'zone-c'];
/** Traffic before the rollout is declared, in milliseconds. */
const warmUpMs = 40_000;
const gossipMs = 500;
const gossipDelayMs = 200;
/** Time in which the others notice that a host is dead, in milliseconds. */
const deadAfterMs = 2000;
const rolloutName = 'assistant-v2';

/** What came of one rollout. */
export interface Result {
  readonly seed: number;
  readonly phase: string;
  readonly reason: string;
  /** Whether the deadline was kept: completed, or taken back, or refused. */
  readonly inTime: boolean;
  /** Minutes from the declaration to the completion or to the end of taking back. */
  readonly minutes: number;
  /**
   * Part of the requests that a bad version served while it was bad, 0 to 1: of those until the
   * rollout ended, and of those until its deadline.
   */
  readonly badPart: number;
  readonly badPartOfPlan: number;
  readonly shedPart: number;
  /** Time from the sufficient evidence at full knowledge to the last new work, in milliseconds. */
  readonly lateMs: number;
  readonly falseStatuses: readonly string[];
  readonly staleOrders: number;
  readonly repeatedOrders: number;
  readonly canaryPeak: number;
}

class SimWorld extends RolloutEnvironment {
  constructor(private readonly sim: Simulation) {
    super();
  }

  override declared(): readonly DeclaredRollout[] {
    return this.sim.declared;
  }

  override serviceVersion(): string {
    return 'v1';
  }

  override targets(): readonly RolloutTarget[] {
    return this.sim.targets();
  }

  override zonesIn(): readonly string[] {
    return this.sim.zonesIn;
  }

  override inFlight(_service: string, version: string): number {
    return this.sim.traffic.running.get(version) ?? 0;
  }

  override utilisation(): number {
    return this.sim.utilisation();
  }

  override estimates() {
    return {loadMs: 30_000, parallelLoads, drainMs: 10_000};
  }
}

interface SimHost {
  readonly id: string;
  readonly clock: HostClock;
  readonly store: EvidenceStore;
  readonly task: RolloutTask;
  caps: ReadonlyMap<string, readonly VersionCap[]> | undefined;
  diedAtMs: number | undefined;
}

/** One rollout in virtual time: hosts with their tasks, log, engines and traffic. */
export class Simulation {
  readonly clock = new ManualClock();
  readonly log = new SimLog();
  readonly hosts: SimHost[] = [];
  readonly engines: SimEngines;
  readonly traffic: SimTraffic;
  declared: DeclaredRollout[] = [];
  zonesIn: readonly string[] = zones;
  private readonly full = new EvidenceStore('full');
  private readonly judge: VersionEvaluator;
  private readonly check: StatusCheck;
  private readonly rng: Random;
  private firstNewAtMs: number | undefined;
  private shownAtMs: number | undefined;
  private faultDone = false;

  /** Creates the simulation of a scenario; `observe` is called every 500 ms of virtual time. */
  constructor(
    readonly scenario: Scenario,
    private readonly observe: (sim: Simulation) => void = () => {},
  ) {
    const rng = new Random(scenario.seed);
    this.rng = rng;
    this.engines = new SimEngines(scenario, this.clock, rng, zones);
    this.traffic = new SimTraffic(scenario, this.engines, this.clock, rng, {
      caps: zone => this.hosts[this.hostOf(zone)].caps?.get(zone),
      host: zone => this.hostOf(zone),
      zonesIn: () => this.zonesIn,
      bad: () => this.isBad(),
      finished: (host, sample) => {
        // A paused host sees nothing, so its requests are no part of the full knowledge.
        const {clock, store} = this.hosts[host];
        if (!clock.running) return;
        this.full.record(sample, this.clock.wallMs());
        store.record(sample, this.clock.wallMs());
      },
    });
    for (const zone of zones) this.hosts.push(this.createHost(`host-${zone}`));
    this.judge = new VersionEvaluator(
      this.full,
      scenario.spec.service,
      'v1',
      'v2',
    );
    this.check = new StatusCheck(this, this.full, rolloutName);
  }

  /** Runs the rollout to its end. */
  async run(): Promise<Result> {
    await this.advance(warmUpMs);
    const startMs = this.clock.nowMs();
    const deadline = new Date(this.clock.wallMs() + this.scenario.deadlineMs);
    const spec = {...this.scenario.spec, deadline: deadline.toISOString()};
    this.declared = [{name: rolloutName, spec, offset: 0}];
    this.traffic.total = 0;
    this.traffic.shed = 0;
    const limitMs =
      startMs +
      this.scenario.deadlineMs +
      spec.watchPeriodSeconds * 1000 +
      300_000;
    let endMs: number | undefined;
    while (this.clock.nowMs() < limitMs) {
      await this.advance(500);
      this.applyFault(this.clock.nowMs() - startMs);
      this.check.look();
      this.observe(this);
      const entry = this.entry();
      const ended = ['done', 'taken-back', 'refused'].includes(
        entry?.phase ?? '',
      );
      if (ended && endMs === undefined) endMs = this.clock.nowMs();
      if (endMs !== undefined && this.clock.nowMs() - endMs > 5000) break;
    }
    return this.result(startMs);
  }

  /** Targets as the hosts see them. */
  targets(): RolloutTarget[] {
    return this.engines.engines.map(engine => ({
      name: engine.name,
      zone: engine.zone,
      zoneIn: this.zonesIn.includes(engine.zone),
      version: engine.version,
      ...(engine.loading !== undefined && {loading: engine.loading}),
      ready: this.engines.ready(engine),
      capacity: engineSlots,
    }));
  }

  /** Part of the slots in use. */
  utilisation(): number {
    let running = 0;
    let slots = 0;
    for (const engine of this.engines.engines) {
      if (!this.engines.ready(engine)) continue;
      running += engine.running;
      slots += engineSlots;
    }
    return slots > 0 ? running / slots : 1;
  }

  /** The rollout as the first running host has folded it. */
  entry(): RolloutEntry | undefined {
    const host = this.hosts.find(({clock}) => clock.running);
    return host?.task.rollouts.entries.get(rolloutName);
  }

  /** Advances the time and lets the hosts work. */
  async advance(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += stepMs) {
      this.clock.advance(stepMs);
      this.engines.advance();
      this.traffic.advance();
      await flush();
      this.note();
    }
  }

  /**
   * The faults of a version show when the test of the hosts, at the same cadence but with the
   * counters of all hosts at once, passes.
   */
  private note(): void {
    const nowMs = this.clock.nowMs();
    if (this.traffic.newTotal > 0) this.firstNewAtMs ??= nowMs;
    if (nowMs % gossipMs === 0) this.gossip();
    if (nowMs % 5000 === 0) {
      this.full.expire(this.clock.wallMs());
      for (const {store} of this.hosts) store.expire(this.clock.wallMs());
    }
    const judged = this.isBad() && this.shownAtMs === undefined;
    if (!(judged && nowMs % 500 === 0) && nowMs % 5000 !== 0) return;
    if (this.judge.update(this.clock.wallMs()).stop) this.shownAtMs ??= nowMs;
  }

  private isBad(): boolean {
    const {version, onsetMs} = this.scenario;
    if (version === 'good' || this.firstNewAtMs === undefined) return false;
    if (version === 'later')
      return this.clock.nowMs() >= this.firstNewAtMs + onsetMs;
    if (version !== 'after-completion') return true;
    const completed = this.entry()?.completedAtMs;
    return (
      completed !== undefined && this.clock.wallMs() >= completed + onsetMs
    );
  }

  private hostOf(zone: string): number {
    const first = zones.indexOf(zone);
    for (let i = 0; i < zones.length; i++) {
      const index = (first + i) % zones.length;
      if (this.hosts[index].clock.running) return index;
    }
    return first;
  }

  private gossip(): void {
    const from = Math.floor(this.clock.wallMs() / 5000) - 3;
    const exports: EvidenceExport[] = [];
    for (const {clock, store} of this.hosts)
      if (clock.running) exports.push(store.export(from));
    this.clock.after(gossipDelayMs, () => {
      for (const {clock, store} of this.hosts) {
        if (!clock.running) continue;
        for (const other of exports) store.merge(other);
      }
    });
  }

  private applyFault(sinceMs: number): void {
    const {fault, faultAtMs, faultMs} = this.scenario;
    const active = sinceMs >= faultAtMs && sinceMs < faultAtMs + faultMs;
    if (fault === 'log-down') this.log.down = active;
    if (fault === 'lost-answers') this.log.lostAnswers = 0.2;
    if (fault === 'load-jump') this.traffic.loadFactor = active ? 3 : 1;
    if (fault === 'zone-out') this.zonesIn = active ? zones.slice(0, 2) : zones;
    if (fault !== 'leader-killed' && fault !== 'leader-paused') return;
    if (active && !this.faultDone) {
      const leader = this.hosts.find(({task}) => task.leads(rolloutName));
      if (!leader) return;
      this.faultDone = true;
      if (fault === 'leader-paused') leader.clock.pause();
      else leader.clock.kill();
      if (fault === 'leader-killed') leader.diedAtMs = this.clock.nowMs();
    }
    if (!active) for (const {clock} of this.hosts) clock.resume();
  }

  private createHost(id: string): SimHost {
    const clock = new HostClock(this.clock);
    const store = new EvidenceStore(id);
    const task = new RolloutTask({
      host: id,
      clock,
      log: new SimLogClient(this.log, this.clock, clock, this.rng),
      members: new SimMembers(id, () => this.liveIds()),
      environment: new SimWorld(this),
      orders: this.engines.ordersFor(clock),
      gate: this.engines.gate(),
      evidence: new StoreEvidenceSource(store),
    });
    const host: SimHost = {
      id,
      clock,
      store,
      task,
      caps: undefined,
      diedAtMs: undefined,
    };
    subscribe(task.caps, caps => {
      host.caps = caps.zones;
    });
    task.start();
    return host;
  }

  private liveIds(): string[] {
    const nowMs = this.clock.nowMs();
    return this.hosts
      .filter(
        ({diedAtMs}) =>
          diedAtMs === undefined || nowMs < diedAtMs + deadAfterMs,
      )
      .map(({id}) => id);
  }

  private result(startMs: number): Result {
    const entry = this.entry();
    const {scenario, traffic, engines} = this;
    const startWall = this.clock.wallMs() - (this.clock.nowMs() - startMs);
    const endWall = entry?.completedAtMs ?? entry?.changedAtMs ?? Infinity;
    const good = scenario.version === 'good';
    const wanted = good ? ['completed', 'done'] : ['taken-back', 'refused'];
    const late = entry?.takeBackReason === 'late-fault';
    const endMs = endWall - startWall;
    const inTime =
      wanted.includes(entry?.phase ?? '') &&
      (late ||
        (good ? endMs : (entry?.changedAtMs ?? Infinity) - startWall) <=
          scenario.deadlineMs);
    const last = traffic.lastDispatch.get('v2') ?? -Infinity;
    const shown = this.shownAtMs;
    return {
      seed: scenario.seed,
      phase: entry?.phase ?? 'pending',
      reason: entry?.takeBackReason ?? entry?.refuseReason ?? '',
      inTime,
      minutes: endMs / 60_000,
      badPart: traffic.newWhileBad / Math.max(1, traffic.total),
      badPartOfPlan:
        traffic.newWhileBad /
        Math.max(
          traffic.total,
          (scenario.requestsPerSecond * scenario.deadlineMs) / 1000,
        ),
      shedPart: traffic.shed / Math.max(1, traffic.total),
      lateMs: good || shown === undefined ? 0 : Math.max(0, last - shown),
      falseStatuses: [...this.check.found],
      staleOrders: engines.staleOrders,
      repeatedOrders: engines.repeatedOrders,
      canaryPeak: this.check.canaryPeak,
    };
  }
}

function flush(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
