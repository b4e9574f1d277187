import {TargetConnectionPool} from '../../connection/gateway/target-connections.js';
import type {SlotRequest} from '../../request/gateway/dispatcher.js';
import type {DeploymentState} from '../../version/deployment/deployment-state.js';
import type {RouteTable} from '../../version/deployment/route-table.js';
import type {CanaryRouter} from '../../version/deployment/canary-router.js';
import type {Clock} from '../clock.js';
import type {ColdTargetLimiter} from '../limits/cold-target-limiter.js';
import {gossipIntervalMs} from '../fleet/gossip-interval.js';
import type {TargetReport} from '../fleet/gossip-message.js';
import type {Logger} from '../logger.js';
import {chooseTarget} from './choose-target.js';
import {LoadReports} from './load-reports.js';
import {outcomes, PooledTarget, type Outcome} from './pooled-target.js';
import {SlotShares} from './slot-shares.js';
import {SessionAffinity} from './session-affinity.js';

/** Part of a target's connections that all hosts together use. */
const connectionPart = 0.85;
/**
 * Time for which a target counts as cold after a connection to it broke, unless its entry is written
 * again in the meantime, in milliseconds: it may have been started anew.
 */
const suspectColdMs = 2500;

/** Parts that the pool uses. */
export interface TargetPoolParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly state: DeploymentState;
  readonly routes: () => RouteTable | undefined;
  readonly coldGate: ColdTargetLimiter;
  readonly trials: CanaryRouter;
  readonly host: string;
  /** Names of all hosts that may be running, this one included. */
  readonly hosts: () => readonly string[];
  /** Random number in [0, 1). */
  readonly random: () => number;
  readonly zone: string;
  readonly regions: ReadonlyMap<string, string>;
  readonly onOpened: () => void;
}

/**
 * Time between two messages of a host from which its requests are heard of too late to choose among all
 * targets, in milliseconds: several requests arrive at a target in this time.
 */
const lateNewsMs = 300;
/** Targets of other hosts' shares that are looked at for one request, drawn anew each time. */
const drawnTargets = 8;
/**
 * Price of a slot that belongs to another host, in milliseconds of estimated time: its owner may be
 * sending there too.
 */
const foreignSlotMs = 60;

interface Member {
  readonly target: PooledTarget;
  readonly connections: TargetConnectionPool;
}

/** All targets that requests may be sent to, with their slots and connections. */
export class TargetPool {
  private readonly members = new Map<string, Member>();
  private readonly byService = new Map<string, Member[]>();
  private readonly sessions = new SessionAffinity();
  private readonly reported = new LoadReports();
  private readonly shares: SlotShares;

  /** @param parts - Parts of the process. */
  constructor(private readonly parts: TargetPoolParts) {
    this.shares = new SlotShares(parts.host);
  }

  /** What this host tells others of each target. */
  get reports(): Record<string, TargetReport> {
    const reports: Record<string, TargetReport> = {};
    for (const [id, {target}] of this.members) {
      const {
        localRequests: load,
        localPromptTokens: prompts,
        localTokenMs: tokenMs,
      } = target;
      if (load > 0 || tokenMs > 0)
        reports[id] = {load, pendingPromptTokens: prompts, tokenMs};
    }
    return reports;
  }

  /**
   * Takes over what another host reports of targets.
   *
   * @param host - Name of the host.
   * @param reports - Its reports by target.
   */
  applyReports(
    host: string,
    reports: Readonly<Record<string, TargetReport>>,
  ): void {
    this.reported.apply(host, reports);
  }

  /**
   * Drops the reports of hosts that are not heard any more.
   *
   * @param heard - Names of the hosts that are heard.
   */
  retainReportsOf(heard: ReadonlySet<string>): void {
    this.reported.retainHosts(heard);
    this.shares.setHosts([this.parts.host, ...heard]);
  }

  /** Takes over the targets that the deployment lists now. */
  refresh(): void {
    const {state, clock, coldGate, logger} = this.parts;
    const nowMs = clock.nowMs();
    for (const [id, {target, connections}] of this.members) {
      const known = state.targets.get(id);
      const replaced =
        known !== undefined &&
        (known.entry.address !== target.entry.address ||
          known.entry.bornMs !== target.entry.bornMs);
      if (known && !replaced) continue;
      this.members.delete(id);
      connections.closeIdle();
      coldGate.forget(id);
      this.reported.forget(id);
      this.shares.forget(id);
      logger.event('targetGone', {target: id, replaced});
    }
    this.byService.clear();
    for (const [id, {entry, coldUntilMs}] of state.targets) {
      let member = this.members.get(id);
      if (!member) {
        const {onOpened} = this.parts;
        member = {
          target: new PooledTarget(entry, this.reported.of(id)),
          connections: new TargetConnectionPool(entry.address, onOpened),
        };
        this.members.set(id, member);
        const {service, zone, version} = entry;
        const coldMs = Math.max(0, Math.round(coldUntilMs - nowMs));
        logger.event('targetKnown', {
          target: id,
          service,
          zone,
          version,
          coldMs,
        });
      }
      if (entry.draining && !member.target.entry.draining) {
        logger.event('targetDraining', {target: id});
      }
      member.target.entry = entry;
      member.target.coldUntilMs = coldUntilMs;
      const list = this.byService.get(entry.service);
      if (list) list.push(member);
      else this.byService.set(entry.service, [member]);
    }
  }

  /**
   * Takes a slot of the best target for a request.
   *
   * @param request - What the request asks for.
   * @param nowMs - Time on the process's clock, in milliseconds.
   * @returns The target, or `undefined` if none has room now.
   */
  take(request: SlotRequest, nowMs: number): PooledTarget | undefined {
    const demand = {
      promptTokens: request.promptTokens,
      outputTokens: request.outputTokens,
      longOutputTokens: request.longOutputTokens,
      objectiveMs: request.objectiveMs,
      leftMs: request.deadlineAtMs - nowMs,
      cachedAt:
        request.session === undefined
          ? undefined
          : this.sessions.get(request.session),
      zone: this.parts.zone,
      nowMs,
      extraMs: (target: PooledTarget) => this.foreignMs(target),
    };
    // A trial does not wait for the new version; the old one serves it just as well.
    const target =
      (request.trial
        ? chooseTarget(this.usable(request, true, nowMs), demand)
        : undefined) ??
      chooseTarget(this.usable(request, false, nowMs), demand);
    if (!target) return undefined;
    if (this.isCold(target, nowMs)) this.parts.coldGate.take(target.entry.id);
    target.localRequests++;
    target.localPromptTokens += request.promptTokens;
    if (request.session !== undefined) {
      this.sessions.set(request.session, target.entry.id);
    }
    return target;
  }

  /**
   * Tells whether a request could be sent somewhere now.
   *
   * @param request - What the request asks for.
   * @param nowMs - Time on the process's clock, in milliseconds.
   */
  hasRoom(request: SlotRequest, nowMs: number): boolean {
    return !this.usable(request, false, nowMs).next().done;
  }

  /**
   * Returns a slot.
   *
   * @param target - Target of the request.
   * @param outcome - How the request ended there.
   * @param unreadTokens - Prompt tokens of the request if it had no first event.
   */
  release(target: PooledTarget, outcome: Outcome, unreadTokens: number): void {
    const {clock, logger} = this.parts;
    const nowMs = clock.nowMs();
    target.localRequests = Math.max(0, target.localRequests - 1);
    this.recordPromptRead(target, unreadTokens);
    if (outcome === outcomes.unreachable) {
      target.coldUntilMs = Math.max(target.coldUntilMs, nowMs + suspectColdMs);
    }
    if (target.recordOutcome(outcome, nowMs)) {
      logger.event('targetSuspended', {
        target: target.entry.id,
        outcome,
        failureRate: Number(target.failureRate.toFixed(2)),
        forMs: Math.round(target.suspendedUntilMs - nowMs),
      });
    }
  }

  /**
   * Notes that a target has read a prompt.
   *
   * @param target - Target of the request.
   * @param tokens - Tokens of the prompt.
   */
  recordPromptRead(target: PooledTarget, tokens: number): void {
    target.localPromptTokens = Math.max(0, target.localPromptTokens - tokens);
  }

  /**
   * Looks up the connections to a target.
   *
   * @param target - Target whose slot was taken.
   */
  connections(target: PooledTarget): TargetConnectionPool {
    const member = this.members.get(target.entry.id);
    // A target that was removed between the choice and the send still has this one connection.
    return (
      member?.connections ??
      new TargetConnectionPool(target.entry.address, this.parts.onOpened)
    );
  }

  /**
   * Counts the slots of a service that this host would have if hosts shared them evenly.
   *
   * @param service - Name of the service.
   */
  localSlotShare(service: string): number {
    let slots = 0;
    for (const {target} of this.byService.get(service) ?? []) {
      if (!target.entry.draining) slots += target.slots;
    }
    return slots / Math.max(1, this.parts.hosts().length);
  }

  /**
   * Tells how full the targets of a service are.
   *
   * @param service - Name of the service.
   * @returns Requests and slots of all usable targets.
   */
  occupancy(service: string): {readonly load: number; readonly slots: number} {
    const nowMs = this.parts.clock.nowMs();
    let load = 0;
    let slots = 0;
    for (const {target} of this.byService.get(service) ?? []) {
      if (target.entry.draining) continue;
      load += target.loadAt(nowMs);
      slots += target.slots;
    }
    return {load, slots};
  }

  /**
   * Counts the requests on targets of a service that do not run a version.
   *
   * @param service - Name of the service.
   * @param version - Version that does not count.
   */
  loadOnOtherVersions(service: string, version: string): number {
    let load = 0;
    for (const {target} of this.byService.get(service) ?? []) {
      if (target.entry.version !== version) load += target.hostReportedLoad;
    }
    return load;
  }

  private *usable(
    request: SlotRequest,
    trial: boolean,
    nowMs: number,
  ): Generator<PooledTarget> {
    const {state, routes, trials, regions, hosts, coldGate} = this.parts;
    const traits = routes()?.service(request.service);
    const known = hosts();
    const limit = traits?.maxConnections
      ? Math.max(
          1,
          Math.floor((traits.maxConnections * connectionPart) / known.length),
        )
      : Infinity;
    for (const {target, connections} of this.candidates(request.service)) {
      const {entry} = target;
      if (entry.draining || state.evacuatedZones.has(entry.zone)) continue;
      if (request.exclude.has(entry.id)) continue;
      if (target.loadAt(nowMs) >= target.slots) continue;
      if (target.suspendedUntilMs > nowMs) continue;
      if (connections.idleSize === 0 && connections.size >= limit) continue;
      if (!trials.allows(request.service, entry.version, trial)) {
        continue;
      }
      const region = regions.get(entry.zone) ?? '';
      if (request.regions.length > 0 && !request.regions.includes(region)) {
        continue;
      }
      const coldPerSecond = traits?.coldPerSecond ?? 0;
      if (
        this.isCold(target, nowMs) &&
        !coldGate.admits(entry.id, coldPerSecond, known, nowMs)
      ) {
        continue;
      }
      yield target;
    }
  }

  /**
   * Lists the targets that are looked at for one request: all of them where hosts hear of each other in
   * time, or else those of which this host owns a slot, and a few others.
   */
  private *candidates(service: string): Generator<Member> {
    const members = this.byService.get(service) ?? [];
    const {random} = this.parts;
    if (!this.newsIsLate) {
      yield* members;
      return;
    }
    for (const member of members) {
      if (this.ownsSlot(member.target)) yield member;
    }
    for (let i = 0; i < drawnTargets && members.length > 0; i++) {
      const member = members[Math.floor(random() * members.length)];
      if (!this.ownsSlot(member.target)) yield member;
    }
  }

  /** Whether other hosts' requests are heard of too late to choose among all targets. */
  private get newsIsLate(): boolean {
    return gossipIntervalMs(this.parts.hosts().length - 1) >= lateNewsMs;
  }

  private foreignMs(target: PooledTarget): number {
    return this.newsIsLate && !this.ownsSlot(target) ? foreignSlotMs : 0;
  }

  /** Whether one more request of this host at a target is within its share of the slots. */
  private ownsSlot(target: PooledTarget): boolean {
    return this.shares.of(target.entry.id, target.slots) > target.localRequests;
  }

  private isCold(target: PooledTarget, nowMs: number): boolean {
    const {service} = target.entry;
    const limit = this.parts.routes()?.service(service)?.coldPerSecond ?? 0;
    return limit > 0 && target.coldUntilMs > nowMs;
  }
}
