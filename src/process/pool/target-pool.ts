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
const connectionShare = 0.85;
/**
 * Time for which a target counts as cold after a connection to it broke, unless its entry is written
 * again in the meantime, in milliseconds: it may have been started anew.
 */
const assumedColdMs = 2500;

/** Parts that the pool uses. */
export interface TargetPoolParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly state: DeploymentState;
  readonly routes: () => RouteTable | undefined;
  readonly coldLimiter: ColdTargetLimiter;
  readonly canaryRouter: CanaryRouter;
  readonly host: string;
  /** Names of all hosts that may be running, this one included. */
  readonly hosts: () => readonly string[];
  /** Random number in [0, 1). */
  readonly random: () => number;
  readonly zone: string;
  readonly regions: ReadonlyMap<string, string>;
  readonly onConnect: () => void;
}

/**
 * Time between two messages of a host from which its requests are heard of too late to choose among all
 * targets, in milliseconds: several requests arrive at a target in this time.
 */
const lateUpdateMs = 300;
/** Targets of other hosts' shares that are looked at for one request, drawn anew each time. */
const sampledTargets = 8;
/**
 * Price of a slot that belongs to another host, in milliseconds of estimated time: its owner may be
 * sending there too.
 */
const remotePenaltyMs = 60;

interface Member {
  readonly target: PooledTarget;
  readonly connections: TargetConnectionPool;
}

/** All targets that requests may be sent to, with their slots and connections. */
export class TargetPool {
  private readonly members = new Map<string, Member>();
  private readonly byService = new Map<string, Member[]>();
  private readonly sessions = new SessionAffinity();
  private readonly loadReports = new LoadReports();
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
        localPendingTokens: pendingPromptTokens,
        localTokenMs: tokenMs,
      } = target;
      if (load > 0 || tokenMs > 0)
        reports[id] = {load, pendingPromptTokens, tokenMs};
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
    this.loadReports.apply(host, reports);
  }

  /**
   * Drops the reports of hosts that are not heard any more.
   *
   * @param heard - Names of the hosts that are heard.
   */
  retainReportsOf(heard: ReadonlySet<string>): void {
    this.loadReports.retainHosts(heard);
    this.shares.setHosts([this.parts.host, ...heard]);
  }

  /** Takes over the targets that the deployment lists now. */
  refresh(): void {
    const {state, clock, coldLimiter, logger} = this.parts;
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
      coldLimiter.forget(id);
      this.loadReports.forget(id);
      this.shares.forget(id);
      logger.event('targetGone', {target: id, replaced});
    }
    this.byService.clear();
    for (const [id, {entry, coldUntilMs}] of state.targets) {
      let member = this.members.get(id);
      if (!member) {
        const {onConnect} = this.parts;
        member = {
          target: new PooledTarget(entry, this.loadReports.of(id)),
          connections: new TargetConnectionPool(entry.address, onConnect),
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
  takeSlot(request: SlotRequest, nowMs: number): PooledTarget | undefined {
    const demand = {
      promptTokens: request.promptTokens,
      outputTokens: request.outputTokens,
      longOutputTokens: request.longOutputTokens,
      objectiveMs: request.objectiveMs,
      remainingMs: request.deadlineAtMs - nowMs,
      cachedAt:
        request.session === undefined
          ? undefined
          : this.sessions.get(request.session),
      zone: this.parts.zone,
      nowMs,
      penaltyMs: (target: PooledTarget) => this.remoteSlotMs(target),
    };
    // A trial does not wait for the new version; the old one serves it just as well.
    const target =
      (request.trial
        ? chooseTarget(this.usable(request, true, nowMs), demand)
        : undefined) ??
      chooseTarget(this.usable(request, false, nowMs), demand);
    if (!target) return undefined;
    if (this.isCold(target, nowMs))
      this.parts.coldLimiter.take(target.entry.id);
    target.localRequests++;
    target.localPendingTokens += request.promptTokens;
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
   * @param pendingTokens - Prompt tokens of the request if it had no first event.
   */
  release(target: PooledTarget, outcome: Outcome, pendingTokens: number): void {
    const {clock, logger} = this.parts;
    const nowMs = clock.nowMs();
    target.localRequests = Math.max(0, target.localRequests - 1);
    this.recordPromptRead(target, pendingTokens);
    if (outcome === outcomes.unreachable) {
      target.coldUntilMs = Math.max(target.coldUntilMs, nowMs + assumedColdMs);
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
    target.localPendingTokens = Math.max(0, target.localPendingTokens - tokens);
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
      new TargetConnectionPool(target.entry.address, this.parts.onConnect)
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
    const {state, routes, canaryRouter, regions, hosts, coldLimiter} =
      this.parts;
    const config = routes()?.service(request.service);
    const known = hosts();
    const limit = config?.maxConnections
      ? Math.max(
          1,
          Math.floor((config.maxConnections * connectionShare) / known.length),
        )
      : Infinity;
    for (const {target, connections} of this.candidates(request.service)) {
      const {entry} = target;
      if (entry.draining || state.evacuatedZones.has(entry.zone)) continue;
      if (request.exclude.has(entry.id)) continue;
      if (target.loadAt(nowMs) >= target.slots) continue;
      if (target.suspendedUntilMs > nowMs) continue;
      if (connections.idleSize === 0 && connections.size >= limit) continue;
      if (!canaryRouter.allows(request.service, entry.version, trial)) {
        continue;
      }
      const region = regions.get(entry.zone) ?? '';
      if (request.regions.length > 0 && !request.regions.includes(region)) {
        continue;
      }
      const coldPerSecond = config?.coldPerSecond ?? 0;
      if (
        this.isCold(target, nowMs) &&
        !coldLimiter.admits(entry.id, coldPerSecond, known, nowMs)
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
    if (!this.updatesAreLate) {
      yield* members;
      return;
    }
    for (const member of members) {
      if (this.hasLocalSlot(member.target)) yield member;
    }
    for (let i = 0; i < sampledTargets && members.length > 0; i++) {
      const member = members[Math.floor(random() * members.length)];
      if (!this.hasLocalSlot(member.target)) yield member;
    }
  }

  /** Whether other hosts' requests are heard of too late to choose among all targets. */
  private get updatesAreLate(): boolean {
    return gossipIntervalMs(this.parts.hosts().length - 1) >= lateUpdateMs;
  }

  private remoteSlotMs(target: PooledTarget): number {
    return this.updatesAreLate && !this.hasLocalSlot(target)
      ? remotePenaltyMs
      : 0;
  }

  /** Whether one more request of this host at a target is within its share of the slots. */
  private hasLocalSlot(target: PooledTarget): boolean {
    return this.shares.of(target.entry.id, target.slots) > target.localRequests;
  }

  private isCold(target: PooledTarget, nowMs: number): boolean {
    const {service} = target.entry;
    const limit = this.parts.routes()?.service(service)?.coldPerSecond ?? 0;
    return limit > 0 && target.coldUntilMs > nowMs;
  }
}
