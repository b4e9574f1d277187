import assert from 'node:assert/strict';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {PermitManager} from '../../../src/process/groups/permit-manager.js';
import type {SchedulerCore} from '../../../src/process/groups/scheduler-core.js';
import {MemberView, type Member} from '../../../src/process/member-view.js';
import {Subject} from '../../../src/process/subject.js';
import type {Grant} from '../../../src/request/dispatcher.js';
import type {QueuedRequest} from '../../../src/request/scheduler/types.js';
import {
  emptyConfig,
  foldRecord,
  type ConfigState,
} from '../../../src/version/config-state.js';
import type {ResourceKind} from '../../../src/version/resources/kinds.js';
import {HostClock} from '../../../stand-ins/host-clock.js';
import {ManualClock} from '../../../stand-ins/manual-clock.js';
import {FifoCore} from './fifo-core.js';
import {MemoryNetwork} from './memory-network.js';

/** Creates a generator of random numbers in [0, 1) from a seed. */
export function seeded(seed: number): () => number {
  const rng = xoroshiro128plus(seed);
  return () => uniformInt(rng, 0, 0x3fffffff) / 0x40000000;
}

/** Member list of one host, which the test changes. */
export class FakeMembers extends MemberView {
  private readonly subject = new Subject<Member>();
  private readonly members = new Map<string, Member>();
  override readonly changes = this.subject.stream;

  constructor(override readonly self: Member) {
    super();
    this.members.set(self.id, self);
  }

  override live(zone?: string): readonly Member[] {
    return [...this.members.values()]
      .filter(m => m.state === 'alive' || m.state === 'suspect')
      .filter(m => zone === undefined || m.zone === zone)
      .sort((a, b) => (a.id < b.id ? -1 : 1));
  }

  set(member: Member): void {
    const known = this.members.get(member.id);
    if (known && known.state === member.state) return;
    this.members.set(member.id, member);
    this.subject.next(member);
  }
}

/** A host of the fleet under test. */
export interface FleetHost {
  readonly id: string;
  readonly zone: string;
  readonly members: FakeMembers;
  readonly manager: PermitManager;
  paused: boolean;
  dead: boolean;
  config: ConfigState;
  /** Callbacks that run when the paused host resumes. */
  readonly deferred: (() => void)[];
}

/** Outcome of a request: a grant, a refusal, or neither while it waits. */
export interface Outcome {
  readonly id: string;
  readonly host: string;
  grant?: Grant;
  refusal?: string;
}

/** Hosts with real permit managers over an in-memory network and a manual clock. */
export class PermitFleet {
  readonly clock = new ManualClock();
  readonly random: () => number;
  readonly network: MemoryNetwork;
  readonly hosts = new Map<string, FleetHost>();
  config: ConfigState = emptyConfig;
  /** Permits that no longer count because their host was confirmed dead while it was paused. */
  private readonly excludedPermits = new Set<unknown>();
  private sequence = 0;
  private writes = 0;

  constructor(
    seed: number,
    private readonly core: (group: string) => SchedulerCore = g =>
      new FifoCore(g),
  ) {
    this.random = seeded(seed);
    this.network = new MemoryNetwork(this.clock, this.random, (id, fn) => {
      const host = this.hosts.get(id);
      if (!host || host.dead) return;
      if (host.paused) host.deferred.push(fn);
      else fn();
    });
  }

  /** Writes a resource to the configuration of all hosts, each after a random delay. */
  put(kind: ResourceKind, name: string, spec: unknown, maxDelayMs = 0): void {
    const record = {
      writeId: `w${++this.writes}`,
      actor: 'test',
      time: '',
      op: 'put',
      kind,
      name,
      baseGeneration: -1,
      spec,
    } as Parameters<typeof foldRecord>[1];
    this.config = foldRecord(this.config, record, this.writes).state;
    const state = this.config;
    for (const host of this.hosts.values()) {
      this.clock.after(this.random() * maxDelayMs, () => {
        this.network.gate(host.id, () => {
          if (host.config.offset > state.offset) return;
          host.config = state;
          host.manager.configChanged();
        });
      });
    }
    if (maxDelayMs === 0) this.clock.advance(0);
  }

  /** Declares a zone, the service `s` and its targets in the zone. */
  declare(zone: string, targets: number, max: number, cold = 1): void {
    this.put('zone', zone, {region: 'r', state: 'in'});
    this.put('service', 's', {
      type: 'model',
      version: 'v1',
      defaultTimeoutMs: 10_000,
      firstTokenTargetMs: 500,
      tokenTargetMs: 50,
    });
    for (let i = 0; i < targets; i++) {
      this.put('target', `${zone}${i}`, this.target(zone, max, cold));
    }
  }

  target(zone: string, max: number, cold = 1) {
    return {
      service: 's',
      zone,
      address: 'http://127.0.0.1:1',
      version: 'v1',
      maxConcurrency: max,
      coldConcurrency: cold,
      state: 'active',
    };
  }

  member(id: string, zone: string): Member {
    return {
      id,
      zone,
      region: 'r',
      peerAddress: '',
      incarnation: 1,
      state: 'alive',
      configOffset: 0,
    };
  }

  /** Starts hosts that know each other and all running hosts. */
  start(zone: string, ids: readonly string[]): void {
    const joined = ids.map(id => this.member(id, zone));
    for (const member of joined) {
      const members = new FakeMembers(member);
      for (const other of [...this.hosts.values()]) {
        if (!other.dead) members.set(other.members.self);
      }
      for (const other of joined) members.set(other);
      this.create(member, members);
    }
    for (const host of this.hosts.values()) {
      for (const member of joined) {
        if (!host.dead) host.members.set(member);
      }
    }
    for (const id of ids) this.host(id).manager.start();
  }

  private create(member: Member, members: FakeMembers): void {
    const {id, zone} = member;
    const host = {
      id,
      zone,
      members,
      paused: false,
      dead: false,
      config: this.config,
      deferred: [] as (() => void)[],
    } as unknown as FleetHost & {manager: PermitManager};
    const gate = (fn: () => void) => this.network.gate(id, fn);
    host.manager = new PermitManager({
      clock: new HostClock(this.clock, gate),
      members,
      transport: this.network.transport(id),
      config: () => host.config,
      createCore: this.core,
      firstSerial: Math.floor(this.random() * 1e9),
    });
    this.hosts.set(id, host);
  }

  host(id: string): FleetHost {
    const host = this.hosts.get(id);
    assert.ok(host, `host ${id} exists`);
    return host;
  }

  /** Changes the state of a host in the member lists of the others, each after a random delay. */
  announceState(
    id: string,
    state: Member['state'],
    fromMs: number,
    toMs: number,
  ): void {
    const member = {...this.host(id).members.self, state};
    for (const other of this.hosts.values()) {
      if (other.id === id) continue;
      const delayMs = fromMs + this.random() * (toMs - fromMs);
      this.clock.after(delayMs, () =>
        this.network.gate(other.id, () => other.members.set(member)),
      );
    }
  }

  /** Lets a host hand over its groups, and stops it 2 s later. */
  leave(id: string): void {
    const host = this.host(id);
    host.manager.handOver();
    this.clock.after(2000, () => {
      if (host.dead) return;
      host.dead = true;
      this.network.crash(id);
      host.manager.stop();
      this.announceState(id, 'left', 0, 500);
    });
  }

  /** Crashes a host; each of the others confirms its death between the given times. */
  kill(id: string, fromMs = 1000, toMs = 1500): void {
    const host = this.host(id);
    host.dead = true;
    this.network.crash(id);
    host.manager.stop();
    this.announceState(id, 'dead', fromMs, toMs);
  }

  resume(id: string): void {
    const host = this.host(id);
    host.paused = false;
    for (const fn of host.deferred.splice(0)) this.network.gate(id, fn);
  }

  /** Excludes the permits that a host holds now from the checks. */
  excludePermits(id: string): void {
    for (const follower of this.host(id).manager.followed.values()) {
      for (const grant of follower.permits.values())
        this.excludedPermits.add(grant);
    }
  }

  request(id = `r${++this.sequence}`, timeoutMs = 10_000): QueuedRequest {
    return {
      id,
      host: '',
      service: 's',
      route: '/v1/completions',
      organisation: 'o',
      weight: 1,
      tier: 1,
      idempotent: true,
      timeoutMs,
      promptTokens: 10,
      prefixes: [],
      attempt: 0,
      avoid: [],
    };
  }

  /** Requests a permit at a host. */
  acquire(
    id: string,
    req = this.request(),
    group = `${this.host(id).zone}/s/0`,
    signal: AbortSignal = new AbortController().signal,
  ): Outcome {
    const outcome: Outcome = {id: req.id, host: id};
    this.host(id)
      .manager.acquire(group, req, signal)
      .then(
        grant => {
          assert.equal(outcome.grant, undefined);
          outcome.grant = grant;
        },
        err => {
          outcome.refusal = err.failure?.reason ?? String(err);
        },
      );
    return outcome;
  }

  release(outcome: Outcome): void {
    outcome.grant?.release({result: 'ok', totalMs: 10, tokens: 1});
  }

  /** Number of permits of a target that live hosts hold. */
  held(target: string): number {
    return this.permits().filter(grant => grant.target.name === target).length;
  }

  private permits() {
    const all = [];
    for (const host of this.hosts.values()) {
      if (host.dead) continue;
      for (const follower of host.manager.followed.values()) {
        for (const grant of follower.permits.values()) {
          if (!this.excludedPermits.has(grant)) all.push(grant);
        }
      }
    }
    return all;
  }

  /** Asserts that no target has more permits than its limit and no request more than one. */
  check(): void {
    const counts = new Map<string, number>();
    const requests = new Set<string>();
    for (const {target, request} of this.permits()) {
      const count = (counts.get(target.name) ?? 0) + 1;
      counts.set(target.name, count);
      assert.ok(
        count <= target.maxConcurrency,
        `at ${this.clock.nowMs()} ms target ${target.name} has ${count} permits of ${target.maxConcurrency}`,
      );
      assert.ok(!requests.has(request.id), `${request.id} has two permits`);
      requests.add(request.id);
    }
  }

  /** Advances the clock in steps and checks the permits after each. */
  async run(
    ms: number,
    each: () => void = () => {},
    stepMs = 1,
  ): Promise<void> {
    for (let t = 0; t < ms; t += stepMs) {
      this.clock.advance(stepMs);
      for (let i = 0; i < 4; i++) await null;
      this.check();
      each();
    }
  }

  /** Returns the one host that all live hosts follow for a group. */
  owner(group = 'a/s/0'): string {
    const owners = new Set<string>();
    for (const host of this.hosts.values()) {
      const owner = host.manager.followed.get(group)?.currentOwner;
      if (!host.dead && owner !== undefined) owners.add(owner);
    }
    assert.equal(owners.size, 1, `one owner of ${group}: ${[...owners]}`);
    return [...owners][0];
  }
}
