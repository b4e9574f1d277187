import {getResource, type ConfigState} from '../src/version/config-state.js';
import {listResources} from '../src/version/config-state.js';
import type {HeldGrant} from '../src/process/groups/held-grant.js';
import type {Call, CallResult, SimFleet} from './sim-fleet.js';
import type {SimHost} from './sim-host.js';
import {answerOf, type Run} from './sim-targets.js';

/** Bounds of design section 2.1, in milliseconds. */
const zoneOutMs = 3000;
const leavingMs = 2000;
const configMs = 4000;
/** A host that was paused for this long counts as dead, and its permits as ended, in milliseconds. */
const pauseMs = 1000;
/** Completions after which a cold limit doubles. */
const coldWindow = 8;

/** An invariant did not hold. */
export class InvariantViolation extends Error {
  constructor(
    readonly invariant: string,
    readonly detail: string,
    readonly atMs: number,
  ) {
    super(`${invariant} violated at ${atMs} ms: ${detail}`);
  }
}

/** Checks the invariants of a {@link SimFleet} from outside of the code under test. */
export class InvariantChecker {
  private violation: InvariantViolation | undefined;
  private readonly executions = new Map<string, number>();
  private readonly bySend = new Map<string, number>();
  private readonly outMs = new Map<string, number>();
  private readonly leavingMs = new Map<string, number>();
  private readonly offsets = new WeakMap<SimHost, number>();
  private readonly notRun = new Set<string>();
  private readonly grants = new WeakSet<HeldGrant>();
  private readonly excused = new WeakSet<HeldGrant>();
  private whole = new Map<Call, number>();

  constructor(private readonly fleet: SimFleet) {}

  violated(invariant: string, detail: string): void {
    const nowMs = this.fleet.clock.nowMs();
    this.violation ??= new InvariantViolation(invariant, detail, nowMs);
  }

  /** I1, I7, I8: an execution begins at a target. */
  onStart(run: Run): void {
    const {operation, send, target} = run;
    const count = (this.executions.get(operation) ?? 0) + 1;
    this.executions.set(operation, count);
    this.bySend.set(send, (this.bySend.get(send) ?? 0) + 1);
    if (!run.idempotent && count > 1) {
      this.violated('I1/I8', `${operation} ran ${count} times, at ${target}`);
    }
    if (this.notRun.has(send)) {
      this.violated('I7', `${send} ran at ${target} after it was refused`);
    }
  }

  /** I2, I6, I7, I10: a caller got its answer. */
  onEnd(call: Call, result: CallResult): void {
    const {send, operation} = call;
    if (result.kind === 'answered' && result.body !== answerOf(operation)) {
      this.violated('I6', `${send} of ${operation} got "${result.body}"`);
    }
    if (result.kind === 'refused') {
      if (result.execution === 'not-run') {
        this.notRun.add(send);
        if (this.bySend.has(send)) {
          this.violated('I7', `${send} ran and was refused: ${result.reason}`);
        }
      }
      if (call.tier === 0) this.checkShedding(call, result.reason);
    }
    const drainEndMs = this.whole.get(call);
    this.whole.delete(call);
    if (
      result.kind === 'broken' &&
      drainEndMs !== undefined &&
      this.fleet.clock.nowMs() < drainEndMs
    ) {
      this.violated('I10', `${send} was broken off by a graceful stop`);
    }
  }

  private checkShedding(call: Call, reason: string): void {
    if (reason !== 'shed' && reason !== 'queue-full') return;
    const {zone} = this.fleet.host(call.host).self;
    for (const run of this.fleet.targets.live) {
      const target = this.fleet.targets.get(run.target);
      const spec = getResource(this.fleet.reference, 'target', run.target);
      const same = target.zone === zone && spec?.spec.service === call.service;
      if (same && run.idempotent && run.tier > 0) {
        this.violated('I2', `${call.send}: ${reason} while ${run.send} runs`);
      }
    }
  }

  /** I10: these calls must not be broken off before a time. */
  expectWhole(calls: readonly Call[], untilMs: number): void {
    for (const call of calls) this.whole.set(call, untilMs);
  }

  /** A host that is killed during its graceful stop breaks its calls. */
  forgetWhole(host: string): void {
    for (const call of this.whole.keys()) {
      if (call.host === host) this.whole.delete(call);
    }
  }

  /** I5, I9: notes the times of accepted changes. */
  onConfig(before: ConfigState, after: ConfigState): void {
    const nowMs = this.fleet.clock.nowMs();
    for (const {name, spec} of listResources(after, 'zone')) {
      const old = getResource(before, 'zone', name)?.spec.state;
      if (spec.state === 'out') {
        if (old !== 'out') this.outMs.set(name, nowMs);
        continue;
      }
      const outMs = this.outMs.get(name);
      this.outMs.delete(name);
      // Hosts that read the end of the outage together with its start never took the zone out.
      const seen =
        outMs !== undefined &&
        nowMs - outMs > configMs &&
        this.fleet.connectivity.since(name, outMs);
      if (seen) this.cool(name);
    }
    for (const {name, spec} of listResources(after, 'target')) {
      if (spec.state !== 'leaving') this.leavingMs.delete(name);
      else if (!this.leavingMs.has(name)) this.leavingMs.set(name, nowMs);
    }
  }

  /** The targets of a zone that comes back in are cold. */
  private cool(zone: string): void {
    for (const target of this.fleet.targets.targets.values()) {
      if (target.zone === zone) target.completions = 0;
    }
  }

  /** Checks the state of all hosts; throws the first violation. */
  check(): void {
    for (const host of this.fleet.hosts.values()) this.checkConfig(host);
    this.checkPermits();
    if (this.violation) throw this.violation;
  }

  /** I11. */
  private checkConfig(host: SimHost): void {
    if (host.state === 'dead') return;
    const {offset} = host.config.state;
    const known = this.offsets.get(host) ?? 0;
    if (offset < known) {
      const fall = `offset of ${host.self.id} fell from ${known} to ${offset}`;
      this.violated('I11', fall);
    }
    this.offsets.set(host, offset);
    const {acceptedMs, clock, connectivity} = this.fleet;
    const sinceMs = clock.nowMs() - configMs;
    const accepted = acceptedMs[offset];
    if (
      accepted !== undefined &&
      accepted < sinceMs &&
      host.state === 'running' &&
      host.runningSinceMs < sinceMs &&
      connectivity.since(host.self.zone, sinceMs)
    ) {
      this.violated('I11', `${host.self.id} lacks record ${offset}`);
    }
  }

  private checkPermits(): void {
    const counts = new Map<string, number>();
    const fresh: {grant: HeldGrant; host: SimHost}[] = [];
    for (const host of this.fleet.hosts.values()) {
      if (host.state === 'dead') continue;
      for (const grant of this.held(host)) {
        if (this.isExcused(host, grant)) continue;
        const {name} = grant.target;
        counts.set(name, (counts.get(name) ?? 0) + 1);
        if (this.grants.has(grant)) continue;
        this.grants.add(grant);
        fresh.push({grant, host});
      }
    }
    for (const {grant, host} of fresh) {
      const {name, zone, maxConcurrency} = grant.target;
      const count = counts.get(name) ?? 0;
      const {completions} = this.fleet.targets.get(name);
      const cold =
        grant.target.coldConcurrency *
        2 ** Math.floor(completions / coldWindow);
      const limit = Math.min(maxConcurrency, cold);
      if (count > limit) {
        this.violated('I4', `${name} has ${count} permits of ${limit}`);
      }
      this.checkTimes(host, name, zone);
    }
  }

  private *held(host: SimHost): Generator<HeldGrant> {
    for (const follower of host.permits.manager.followed.values()) {
      yield* follower.permits.values();
    }
  }

  /** Permits end for the owner with the death of their host, which a long pause looks like. */
  private isExcused(host: SimHost, grant: HeldGrant): boolean {
    const {clock, network} = this.fleet;
    const away =
      (host.state === 'paused' && clock.nowMs() - host.pausedAtMs >= pauseMs) ||
      network.isZoneCut(host.self.zone, grant.target.zone);
    if (away) this.excused.add(grant);
    return this.excused.has(grant);
  }

  /** I5 and I9, for zones that can hear of the change. */
  private checkTimes(host: SimHost, target: string, zone: string): void {
    const {clock, connectivity} = this.fleet;
    const late = (sinceMs: number | undefined, boundMs: number) =>
      sinceMs !== undefined &&
      clock.nowMs() - sinceMs > boundMs &&
      host.runningSinceMs < clock.nowMs() - boundMs &&
      connectivity.since(host.self.zone, clock.nowMs() - boundMs);
    if (late(this.outMs.get(zone), zoneOutMs)) {
      this.violated('I5', `${host.self.id} got a permit of ${target}`);
    }
    if (late(this.leavingMs.get(target), leavingMs)) {
      this.violated('I9', `${host.self.id} got a permit of ${target}`);
    }
  }
}
